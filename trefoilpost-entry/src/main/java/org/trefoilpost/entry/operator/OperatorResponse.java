package org.trefoilpost.entry.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * An answer to an operator.
 */
final class OperatorResponse {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final int status;
    private final String contentType;
    private final byte[] body;

    private OperatorResponse(int status, String contentType, byte[] body) {
        this.status = status;
        this.contentType = contentType;
        this.body = body;
    }

    static OperatorResponse json(int status, JsonNode body) {
        return new OperatorResponse(status, "application/json", bytes(Objects.requireNonNull(body, "body")));
    }

    static OperatorResponse text(int status, String body) {
        return new OperatorResponse(status, "text/plain; charset=utf-8", body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Obtains an error.
     *
     * @param status  the HTTP status
     * @param type  the stable code of the error, not null
     * @param detail  what is wrong, not null
     * @return the answer, not null
     */
    static OperatorResponse problem(int status, String type, String detail) {
        return problem(status, type, detail, MAPPER.createObjectNode());
    }

    /**
     * Obtains an error with further members.
     *
     * @param status  the HTTP status
     * @param type  the stable code of the error, not null
     * @param detail  what is wrong, not null
     * @param members  the further members, not null
     * @return the answer, not null
     */
    static OperatorResponse problem(int status, String type, String detail, ObjectNode members) {
        ObjectNode problem = MAPPER.createObjectNode()
                .put("type", "urn:trefoilpost:" + type)
                .put("title", type)
                .put("status", status)
                .put("detail", detail);
        problem.setAll(members);
        return new OperatorResponse(status, "application/problem+json", bytes(problem));
    }

    static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    int status() {
        return status;
    }

    String contentType() {
        return contentType;
    }

    byte[] body() {
        return body;
    }

    private static byte[] bytes(JsonNode node) {
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }
}
