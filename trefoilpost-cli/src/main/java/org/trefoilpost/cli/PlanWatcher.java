package org.trefoilpost.cli;

import java.io.PrintStream;
import java.time.Duration;

/**
 * Follows a plan until it ends and prints a line for each change.
 */
final class PlanWatcher {
    private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(10);

    private final ApiClient client;
    private final PrintStream out;
    private final boolean json;

    PlanWatcher(ApiClient client, PrintStream out, boolean json) {
        this.client = client;
        this.out = out;
        this.json = json;
    }

    /** Returns the last answer: of a plan that ended, or of a refusal. */
    ApiResponse run(String target) throws ApiException {
        long revision = -1;
        String query = "";
        while (true) {
            ApiResponse answer = client.call(ApiRequest.read(target + query), LONG_POLL_WAIT);
            long answeredRevision = answer.tree().path("revision").asLong();
            if (answer.isOk() && answeredRevision != revision) {
                out.println(json ? answer.body() : TextRenderer.progress(answer.tree()));
            }
            if (!answer.isOk() || isEnded(answer)) {
                return answer;
            }
            revision = answeredRevision;
            query = "?after=" + revision + "&wait=" + LONG_POLL_WAIT.toMillis();
        }
    }

    static boolean isEnded(ApiResponse answer) {
        return switch (answer.tree().path("state").asText()) {
            case "done", "cancelled", "void" -> true;
            default -> false;
        };
    }
}
