package org.trefoilpost.model.configuration;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;

/**
 * Reads configurations from YAML or JSON and writes them as JSON.
 *
 * <p>The JSON is canonical: equal configurations have equal texts. Every field is written, also one with its default
 * value, so that a program with other defaults reads the same configuration.
 */
public final class ConfigurationCodec {
    /** The largest document, in bytes of UTF-8. */
    public static final int MAX_DOCUMENT_BYTES = 1_048_576;

    /** The format of the documents that hold a part. */
    public static final int PART_FORMAT = 1;

    private static final String FORMAT_FIELD = "format";
    private static final String SETTINGS_FIELD = "settings";

    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private static final ObjectMapper YAML = YAMLMapper.builder(YAMLFactory.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private ConfigurationCodec() {}

    /**
     * Parses a configuration.
     *
     * @param text  the YAML or JSON, not null
     * @return the configuration, not null
     * @throws ConfigurationException if the text has faults; carries all of them
     */
    public static Configuration parse(String text) {
        checkSize(text);
        ConfigurationReader reader = new ConfigurationReader();
        Configuration configuration = reader.readDocument(parseTree(text));
        throwIfAny(reader.faults());
        return configuration;
    }

    /**
     * Writes a configuration as canonical JSON.
     *
     * @param configuration  the configuration, not null
     * @return the JSON, not null
     */
    public static String write(Configuration configuration) {
        return ConfigurationWriter.document(configuration).toString();
    }

    /**
     * Writes one part of a configuration as a document of its own.
     *
     * @param configuration  the configuration, not null
     * @param part  the part, not null
     * @return the canonical JSON, not null
     * @throws IllegalArgumentException if the configuration does not have the part
     */
    public static String writePart(Configuration configuration, ConfigurationPart part) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put(FORMAT_FIELD, PART_FORMAT);
        document.set(SETTINGS_FIELD, ConfigurationWriter.part(configuration, part));
        return document.toString();
    }

    /**
     * Parses the document of one part and puts the part into a configuration that is being built.
     *
     * @param part  the part, not null
     * @param text  the JSON, not null
     * @param builder  the configuration that is being built, not null
     * @throws ConfigurationException if the document has faults; carries all of them
     * @throws NewerFormatException if the document has a newer format
     */
    public static void parsePart(ConfigurationPart part, String text, Configuration.Builder builder) {
        checkSize(text);
        JsonNode document = parseJsonTree(text);
        int format = document.path(FORMAT_FIELD).asInt();
        if (format > PART_FORMAT) {
            throw new NewerFormatException("configuration part " + part, format, PART_FORMAT);
        }
        ConfigurationReader reader = new ConfigurationReader();
        reader.readPart(part, document.path(SETTINGS_FIELD), builder);
        throwIfAny(reader.faults());
    }

    private static void checkSize(String text) {
        Objects.requireNonNull(text, "text");
        int bytes = text.length() > MAX_DOCUMENT_BYTES ? text.length() : text.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_DOCUMENT_BYTES) {
            throw documentFault(bytes + " bytes", "at most " + MAX_DOCUMENT_BYTES + " bytes are allowed");
        }
    }

    private static JsonNode parseTree(String text) {
        if (text.stripLeading().startsWith("{")) {
            return parseJsonTree(text);
        }
        return parseTree(YAML, text);
    }

    private static JsonNode parseJsonTree(String text) {
        return parseTree(JSON, text);
    }

    private static JsonNode parseTree(ObjectMapper mapper, String text) {
        try {
            return mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw documentFault(describeLocation(e.getLocation()), firstLine(e.getOriginalMessage()));
        }
    }

    private static String describeLocation(JsonLocation location) {
        return location == null
                ? "syntax error"
                : "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("syntax error");
    }

    private static ConfigurationException documentFault(String value, String allowed) {
        return new ConfigurationException(List.of(ConfigurationFault.of("", value, allowed)));
    }

    private static void throwIfAny(List<ConfigurationFault> faults) {
        if (!faults.isEmpty()) {
            throw new ConfigurationException(faults);
        }
    }
}
