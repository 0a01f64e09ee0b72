package org.trefoilpost.model.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reads the fields of one object of a document and collects every fault instead of stopping at the first.
 *
 * <p>A field with a fault yields a harmless substitute, so that reading goes on.
 */
final class FieldReader {
    private static final int MAX_SHOWN_CHARACTERS = 80;
    private static final String MISSING = "missing";

    private final String path;
    private final JsonNode node;
    private final List<ConfigurationFault> faults;
    private final Set<String> knownFields = new TreeSet<>();

    FieldReader(String path, JsonNode node, List<ConfigurationFault> faults) {
        this.path = path;
        this.faults = faults;
        this.node = node.isObject() ? node : MissingNode.getInstance();
        if (!node.isObject()) {
            faults.add(ConfigurationFault.of(path, displayText(node), "an object with named fields is expected"));
        }
    }

    /** Returns the names of the fields, for an object whose field names are not fixed. */
    List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Reads a required object; the reader of a missing one has no fields. */
    FieldReader object(String field) {
        knownFields.add(field);
        return new FieldReader(pathOf(field), node.path(field), faults);
    }

    /** Reads an object that may be missing. */
    Optional<FieldReader> optionalObject(String field) {
        knownFields.add(field);
        return isAbsent(field) ? Optional.empty() : Optional.of(object(field));
    }

    /** Reads a required whole number; a fault yields the least value. */
    int integer(String field, int least, int most) {
        if (isAbsent(field)) {
            reportMissing(field, expectedInteger(least, most));
            return least;
        }
        return (int) integerOr(field, least, most, least);
    }

    /** Reads a whole number that may be missing; a fault yields the default. */
    long integerOr(String field, long least, long most, long absent) {
        knownFields.add(field);
        if (isAbsent(field)) {
            return absent;
        }
        JsonNode value = node.get(field);
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= least
                && value.longValue() <= most;
        if (!valid) {
            report(field, displayText(value), expectedInteger(least, most));
        }
        return valid ? value.longValue() : absent;
    }

    /** Reads a required number; a fault yields the least value. */
    double number(String field, double least, double most) {
        if (isAbsent(field)) {
            reportMissing(field, expectedNumber(least, most));
            return least;
        }
        return numberOr(field, least, most, least);
    }

    /** Reads a number that may be missing; a fault yields the default. */
    double numberOr(String field, double least, double most, double absent) {
        knownFields.add(field);
        if (isAbsent(field)) {
            return absent;
        }
        JsonNode value = node.get(field);
        boolean valid = value.isNumber() && value.doubleValue() >= least && value.doubleValue() <= most;
        if (!valid) {
            report(field, displayText(value), expectedNumber(least, most));
        }
        return valid ? value.doubleValue() : absent;
    }

    /** Reads a required text that stands for one of several choices; a fault yields the substitute. */
    <T> T choice(String field, Function<String, Optional<T>> ofCode, String allowed, T substitute) {
        if (isAbsent(field)) {
            reportMissing(field, allowed);
            return substitute;
        }
        knownFields.add(field);
        JsonNode value = node.get(field);
        Optional<T> choice = value.isTextual() ? ofCode.apply(value.textValue()) : Optional.empty();
        if (choice.isEmpty()) {
            report(field, displayText(value), allowed);
        }
        return choice.orElse(substitute);
    }

    /** Reads a list of names that may be missing; names with a fault are left out. */
    <T extends Comparable<? super T>> SortedSet<T> names(String field, Function<String, T> parser) {
        knownFields.add(field);
        SortedSet<T> names = new TreeSet<>();
        if (isAbsent(field)) {
            return names;
        }
        JsonNode list = node.get(field);
        if (!list.isArray()) {
            report(field, displayText(list), "a list of names is expected");
        }
        for (int index = 0; list.isArray() && index < list.size(); index++) {
            String place = field + "[" + index + "]";
            readName(place, list.get(index), parser).ifPresent(name -> {
                if (!names.add(name)) {
                    report(place, name.toString(), "each name may be listed once");
                }
            });
        }
        return names;
    }

    private <T> Optional<T> readName(String place, JsonNode value, Function<String, T> parser) {
        if (!value.isTextual()) {
            report(place, displayText(value), "a name is expected");
            return Optional.empty();
        }
        return parseName(place, value.textValue(), parser);
    }

    /** Parses a name and reports a fault if it is not valid. */
    <T> Optional<T> parseName(String place, String text, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(text));
        } catch (IllegalArgumentException e) {
            report(place, truncate(text), e.getMessage());
            return Optional.empty();
        }
    }

    /** Reports each field that was not asked for. */
    void reportUnknown() {
        Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!knownFields.contains(field.getKey())) {
                report(
                        truncate(field.getKey()),
                        displayText(field.getValue()),
                        "unknown field; known are " + knownFields);
            }
        }
    }

    private boolean isAbsent(String field) {
        return node.path(field).isMissingNode() || node.path(field).isNull();
    }

    private void reportMissing(String field, String allowed) {
        knownFields.add(field);
        report(field, MISSING, allowed);
    }

    private void report(String field, String value, String allowed) {
        faults.add(ConfigurationFault.of(pathOf(field), value, allowed));
    }

    private String pathOf(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    private static String expectedInteger(long least, long most) {
        return most == Long.MAX_VALUE
                ? "a whole number of at least " + least + " is expected"
                : "a whole number from " + least + " to " + most + " is expected";
    }

    private static String expectedNumber(double least, double most) {
        return "a number from " + least + " to " + most + " is expected";
    }

    private static String displayText(JsonNode value) {
        return value.isMissingNode() ? MISSING : truncate(value.toString());
    }

    private static String truncate(String text) {
        return text.length() <= MAX_SHOWN_CHARACTERS ? text : text.substring(0, MAX_SHOWN_CHARACTERS) + "…";
    }
}
