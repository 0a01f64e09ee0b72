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
 * Reads the fields of one JSON object and collects all faults instead of stopping at the first.
 *
 * <p>An invalid field yields a valid substitute, so that the remaining fields are checked too.
 */
final class FieldReader {
    private static final int MAX_DISPLAYED_CHARACTERS = 80;
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

    /** Returns the names of the fields, for an object that maps names to objects. */
    List<String> names() {
        List<String> names = new ArrayList<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Reads a required object; a missing object is reported and read as one without fields. */
    FieldReader object(String field) {
        knownFields.add(field);
        return new FieldReader(pathOf(field), node.path(field), faults);
    }

    /** Reads an optional object. */
    Optional<FieldReader> optionalObject(String field) {
        knownFields.add(field);
        return isAbsent(field) ? Optional.empty() : Optional.of(object(field));
    }

    /** Reads a required integer; a fault yields the minimum. */
    int integer(String field, int min, int max) {
        if (isAbsent(field)) {
            reportMissing(field, expectedInteger(min, max));
            return min;
        }
        return (int) integerOr(field, min, max, min);
    }

    /** Reads an optional integer; a missing or invalid value yields the default. */
    long integerOr(String field, long min, long max, long defaultValue) {
        knownFields.add(field);
        if (isAbsent(field)) {
            return defaultValue;
        }
        JsonNode value = node.get(field);
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max;
        if (!valid) {
            report(field, displayText(value), expectedInteger(min, max));
        }
        return valid ? value.longValue() : defaultValue;
    }

    /** Reads a required number; a fault yields the minimum. */
    double number(String field, double min, double max) {
        if (isAbsent(field)) {
            reportMissing(field, expectedNumber(min, max));
            return min;
        }
        return numberOr(field, min, max, min);
    }

    /** Reads an optional number; a missing or invalid value yields the default. */
    double numberOr(String field, double min, double max, double defaultValue) {
        knownFields.add(field);
        if (isAbsent(field)) {
            return defaultValue;
        }
        JsonNode value = node.get(field);
        boolean valid = value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max;
        if (!valid) {
            report(field, displayText(value), expectedNumber(min, max));
        }
        return valid ? value.doubleValue() : defaultValue;
    }

    /** Reads a required code of one of several values; a fault yields the substitute. */
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

    /** Reads an optional list of names; invalid names are reported and left out. */
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
            String location = field + "[" + index + "]";
            readName(location, list.get(index), parser).ifPresent(name -> {
                if (!names.add(name)) {
                    report(location, name.toString(), "is listed more than once: each name is expected once");
                }
            });
        }
        return names;
    }

    private <T> Optional<T> readName(String location, JsonNode value, Function<String, T> parser) {
        if (!value.isTextual()) {
            report(location, displayText(value), "a name is expected");
            return Optional.empty();
        }
        return parseName(location, value.textValue(), parser);
    }

    /** Parses a name; an invalid name is reported and yields an empty result. */
    <T> Optional<T> parseName(String location, String text, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(text));
        } catch (IllegalArgumentException e) {
            report(location, truncate(text), e.getMessage());
            return Optional.empty();
        }
    }

    /** Reports the fields that were not read; call it after reading all known fields. */
    void reportUnknown() {
        Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!knownFields.contains(field.getKey())) {
                report(
                        truncate(field.getKey()),
                        displayText(field.getValue()),
                        "unknown field; expected fields are " + knownFields);
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

    private static String expectedInteger(long min, long max) {
        return max == Long.MAX_VALUE
                ? "a whole number of at least " + min + " is expected"
                : "a whole number from " + min + " to " + max + " is expected";
    }

    private static String expectedNumber(double min, double max) {
        return "a number from " + min + " to " + max + " is expected";
    }

    private static String displayText(JsonNode value) {
        return value.isMissingNode() ? MISSING : truncate(value.toString());
    }

    private static String truncate(String text) {
        return text.length() <= MAX_DISPLAYED_CHARACTERS ? text : text.substring(0, MAX_DISPLAYED_CHARACTERS) + "…";
    }
}
