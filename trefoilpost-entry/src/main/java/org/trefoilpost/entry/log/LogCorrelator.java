package org.trefoilpost.entry.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects from the logs of the entries the lines that concern one request or job: its own lines, and the lines without
 * a job that name one of its workers or its pool. For a request that was refused by a configuration, also those that tell
 * when entries applied that version and the next one.
 */
public final class LogCorrelator {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> RELATING_FIELDS = Set.of("worker", "pool");
    private static final String CONFIGURATION_EVENT = "configuration-in-force";

    private final List<JsonNode> lines;

    private LogCorrelator(List<JsonNode> lines) {
        this.lines = lines;
    }

    /**
     * Parses log lines. Lines without an event are skipped, and so is text before the JSON object of a line.
     *
     * @param text  the lines, in any order, not null
     * @return the parsed lines, sorted by time, not null
     */
    public static LogCorrelator of(Iterable<String> text) {
        List<JsonNode> lines = new ArrayList<>();
        for (String line : text) {
            int begin = line.indexOf('{');
            JsonNode node = begin < 0 ? null : parse(line.substring(begin));
            if (node != null && node.hasNonNull("event")) {
                lines.add(node);
            }
        }
        lines.sort(Comparator.comparing(node -> node.path("time").asText()));
        return new LogCorrelator(Collections.unmodifiableList(lines));
    }

    private static JsonNode parse(String line) {
        try {
            return MAPPER.readTree(line);
        } catch (IOException e) {
            // The log may contain lines of other programs, which are not events.
            return null;
        }
    }

    /**
     * Returns the lines that concern a request or job, in the order of time.
     *
     * @param id  the identifier that the caller gave, not null
     * @return one text for each line, empty if no line matches, not null
     */
    public List<String> linesFor(String id) {
        Set<String> related = new HashSet<>();
        for (JsonNode line : lines) {
            if (line.path("job").asText().equals(id)) {
                RELATING_FIELDS.forEach(field -> related.add(line.path(field).asText()));
            }
        }
        related.remove("");
        Set<Long> versions = decidingVersions(id);
        List<String> selected = new ArrayList<>();
        for (JsonNode line : lines) {
            boolean applied = line.path("event").asText().equals(CONFIGURATION_EVENT)
                    && versions.contains(line.path("version").asLong());
            if (isOwn(line, id) || applied || !line.has("job") && isRelated(line, related)) {
                selected.add(render(line));
            }
        }
        return selected;
    }

    private static boolean isOwn(JsonNode line, String id) {
        return line.path("job").asText().equals(id)
                || line.path("request").asText().contains(id);
    }

    /**
     * Returns the versions of the configuration by which a request was refused, each with the next higher one.
     */
    private Set<Long> decidingVersions(String id) {
        TreeSet<Long> applied = new TreeSet<>();
        lines.stream()
                .filter(line -> line.path("event").asText().equals(CONFIGURATION_EVENT))
                .forEach(line -> applied.add(line.path("version").asLong()));
        Set<Long> versions = new HashSet<>();
        for (JsonNode line : lines) {
            if (isOwn(line, id) && line.has("version")) {
                long version = line.path("version").asLong();
                versions.add(version);
                Optional.ofNullable(applied.higher(version)).ifPresent(versions::add);
            }
        }
        return versions;
    }

    private static boolean isRelated(JsonNode line, Set<String> related) {
        return RELATING_FIELDS.stream()
                .anyMatch(field -> related.contains(line.path(field).asText()));
    }

    private static String render(JsonNode line) {
        StringBuilder text = new StringBuilder();
        text.append(line.path("time").asText())
                .append(' ')
                .append(line.path("event").asText());
        for (Iterator<String> names = line.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!Set.of("time", "level", "event").contains(name)) {
                text.append(' ').append(name).append('=').append(line.path(name).asText());
            }
        }
        return text.toString();
    }
}
