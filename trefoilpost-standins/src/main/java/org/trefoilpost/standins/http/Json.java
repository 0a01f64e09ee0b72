package org.trefoilpost.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Conversions between bytes and JSON objects.
 */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Creates an empty JSON object.
     *
     * @return the object, not null
     */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Writes a JSON value.
     *
     * @param node  the value, not null
     * @return the bytes in UTF-8, not null
     */
    public static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON value could not be written", e);
        }
    }

    /**
     * Parses a JSON object.
     *
     * @param bytes  the bytes in UTF-8, not null
     * @return the object, not null
     * @throws BadCallException if the bytes are not a JSON object
     */
    public static ObjectNode parse(byte[] bytes) {
        try {
            if (MAPPER.readTree(bytes) instanceof ObjectNode node) {
                return node;
            }
        } catch (IOException e) {
            throw new BadCallException("the body is not JSON", e);
        }
        throw new BadCallException("the body is not a JSON object");
    }
}
