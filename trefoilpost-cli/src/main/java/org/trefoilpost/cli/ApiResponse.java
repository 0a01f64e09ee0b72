package org.trefoilpost.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * The answer of an entry to a call.
 */
final class ApiResponse {
    private static final JsonMapper JSON = new JsonMapper();
    private static final int CONFLICT_STATUS = 409;
    private static final int FIRST_NON_SUCCESS_STATUS = 300;
    private static final int BAD_GATEWAY_STATUS = 502;
    private static final int GATEWAY_TIMEOUT_STATUS = 504;

    private final int status;
    private final String body;
    private final JsonNode tree;

    ApiResponse(int status, String body) {
        this.status = status;
        this.body = body;
        this.tree = tree(body);
    }

    private static JsonNode tree(String body) {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    String body() {
        return body;
    }

    JsonNode tree() {
        return tree;
    }

    boolean isOk() {
        return status < FIRST_NON_SUCCESS_STATUS;
    }

    boolean isVoidPlan() {
        return tree.path("state").asText().equals("void");
    }

    ExitCode exitCode() {
        if (isOk()) {
            return ExitCode.OK;
        }
        if (status == CONFLICT_STATUS) {
            return ExitCode.CONFLICT;
        }
        boolean unknown = tree.path("outcome").asText().equals("unknown")
                || status == BAD_GATEWAY_STATUS
                || status == GATEWAY_TIMEOUT_STATUS;
        return unknown ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED;
    }

    /** Returns what went wrong, with each fault on a line of its own. */
    String errorMessage() {
        StringBuilder text = new StringBuilder("status " + status);
        for (String field : new String[] {"title", "detail", "reason"}) {
            if (tree.hasNonNull(field)) {
                text.append(": ").append(tree.path(field).asText());
            }
        }
        tree.path("faults").forEach(fault -> text.append("\n  ").append(faultText(fault)));
        return text.toString();
    }

    private static String faultText(JsonNode fault) {
        return fault.isTextual()
                ? fault.asText()
                : fault.path("path").asText() + ": " + fault.path("value").asText() + ": "
                        + fault.path("allowed").asText();
    }
}
