package org.trefoilpost.cli;

import java.io.PrintStream;
import java.time.Duration;

/**
 * Polls a plan until it ends and prints its state after each change.
 */
final class PlanWatcher {
    /** How long the entry may hold a request while the plan does not change. */
    private static final Duration LONG_POLL_WAIT = Duration.ofSeconds(10);

    private final ApiClient client;
    private final PrintStream out;
    private final boolean json;

    PlanWatcher(ApiClient client, PrintStream out, boolean json) {
        this.client = client;
        this.out = out;
        this.json = json;
    }

    /** Returns the last response: the ended plan, or the first error. */
    ApiResponse run(String target) throws ApiException {
        long revision = -1;
        String query = "";
        while (true) {
            ApiResponse response = client.call(ApiRequest.read(target + query), LONG_POLL_WAIT);
            long responseRevision = response.tree().path("revision").asLong();
            if (response.isOk() && responseRevision != revision) {
                out.println(json ? response.body() : TextRenderer.progress(response.tree()));
            }
            if (!response.isOk() || isEnded(response)) {
                return response;
            }
            revision = responseRevision;
            query = "?after=" + revision + "&wait=" + LONG_POLL_WAIT.toMillis();
        }
    }

    static boolean isEnded(ApiResponse response) {
        return switch (response.tree().path("state").asText()) {
            case "done", "cancelled", "void" -> true;
            default -> false;
        };
    }
}
