package org.trefoilpost.decision.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilpost.model.configuration.ConfigurationPart;
import org.trefoilpost.model.configuration.NewerFormatException;

/**
 * Writes and reads the JSON of heads, for the store, and of updates, for peers.
 */
public final class ConfigurationDocumentCodec {
    /** The format of both documents. */
    public static final int FORMAT = 1;

    private static final JsonMapper JSON = new JsonMapper();
    private static final String FORMAT_FIELD = "format";
    private static final String VERSION_FIELD = "version";
    private static final String REVISION_FIELD = "revision";
    private static final String TEXT_FIELD = "text";
    private static final String PARTS_FIELD = "parts";
    private static final String CHANGES_FIELD = "changes";
    private static final String BASE_FIELD = "base";
    private static final String REMOVED_FIELD = "removed";

    private ConfigurationDocumentCodec() {}

    /**
     * Writes a head.
     *
     * @param head  the head, not null
     * @return the JSON, not null
     */
    public static String writeHead(ConfigurationHead head) {
        ObjectNode document = JsonNodeFactory.instance.objectNode().put(FORMAT_FIELD, FORMAT);
        ObjectNode changes = document.putObject(CHANGES_FIELD);
        head.changes().forEach((version, change) -> changes.put(Long.toString(version), change.text()));
        ObjectNode parts = document.putObject(PARTS_FIELD);
        head.parts().forEach((part, version) -> parts.set(part.path(), versionNode(version)));
        return document.toString();
    }

    /**
     * Reads a head.
     *
     * @param text  the JSON, not null
     * @return the head, not null
     * @throws NewerFormatException if the document has a newer format
     * @throws IllegalArgumentException if the document is not a head
     */
    public static ConfigurationHead readHead(String text) {
        JsonNode document = read("configuration head", text);
        SortedMap<Long, ChangeId> changes = new TreeMap<>();
        document.path(CHANGES_FIELD)
                .fields()
                .forEachRemaining(field -> changes.put(
                        Long.valueOf(field.getKey()),
                        ChangeId.of(field.getValue().asText())));
        SortedMap<ConfigurationPart, ChangeVersion> parts = new TreeMap<>();
        document.path(PARTS_FIELD)
                .fields()
                .forEachRemaining(
                        field -> parts.put(ConfigurationPart.parse(field.getKey()), versionNode(field.getValue())));
        return ConfigurationHead.of(changes, parts);
    }

    /**
     * Writes an update.
     *
     * @param update  the update, not null
     * @return the JSON, not null
     */
    public static String writeUpdate(ConfigurationUpdate update) {
        ObjectNode document = JsonNodeFactory.instance.objectNode().put(FORMAT_FIELD, FORMAT);
        update.base().ifPresent(base -> document.set(BASE_FIELD, versionNode(base)));
        document.setAll(versionNode(update.version()));
        ObjectNode parts = document.putObject(PARTS_FIELD);
        update.written()
                .forEach((part, written) ->
                        parts.set(part.path(), versionNode(written.version()).put(TEXT_FIELD, written.text())));
        ArrayNode removed = document.putArray(REMOVED_FIELD);
        update.removed().forEach(part -> removed.add(part.path()));
        return document.toString();
    }

    /**
     * Reads an update.
     *
     * @param text  the JSON, not null
     * @return the update, not null
     * @throws NewerFormatException if the document has a newer format
     * @throws IllegalArgumentException if the document is not an update
     */
    public static ConfigurationUpdate readUpdate(String text) {
        JsonNode document = read("configuration update", text);
        Optional<ChangeVersion> base =
                document.has(BASE_FIELD) ? Optional.of(versionNode(document.path(BASE_FIELD))) : Optional.empty();
        SortedMap<ConfigurationPart, PartDocument> written = new TreeMap<>();
        document.path(PARTS_FIELD).fields().forEachRemaining(field -> {
            PartDocument part = PartDocument.of(
                    versionNode(field.getValue()),
                    field.getValue().path(TEXT_FIELD).asText());
            written.put(ConfigurationPart.parse(field.getKey()), part);
        });
        Set<ConfigurationPart> removed = new TreeSet<>();
        document.path(REMOVED_FIELD).forEach(part -> removed.add(ConfigurationPart.parse(part.asText())));
        return ConfigurationUpdate.of(base, versionNode(document), written, removed);
    }

    private static JsonNode read(String name, String text) {
        try {
            JsonNode document = JSON.readTree(text);
            int format = document.path(FORMAT_FIELD).asInt();
            if (format > FORMAT) {
                throw new NewerFormatException(name, format, FORMAT);
            }
            return document;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(name + " is not JSON", e);
        }
    }

    private static ObjectNode versionNode(ChangeVersion version) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(VERSION_FIELD, version.toString())
                .put(REVISION_FIELD, version.revision());
    }

    private static ChangeVersion versionNode(JsonNode node) {
        return ChangeVersion.parse(
                node.path(VERSION_FIELD).asText(), node.path(REVISION_FIELD).asLong());
    }
}
