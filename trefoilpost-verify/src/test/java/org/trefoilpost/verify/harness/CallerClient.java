package org.trefoilpost.verify.harness;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

/**
 * Sends callers' requests, each once, and never fails: a broken connection is an outcome too.
 */
public final class CallerClient {
    private CallerClient() {}

    /**
     * Sends a request and waits for its outcome.
     *
     * @param entry  the entry, not null
     * @param request  the request, not null
     * @return the outcome, not null
     */
    public static CallerAnswer call(EntryProcess entry, CallerRequest request) {
        return send(entry, request).join();
    }

    /**
     * Sends a request.
     *
     * @param entry  the entry, not null
     * @param request  the request, not null
     * @return the outcome when it is there, never a failure
     */
    public static CompletableFuture<CallerAnswer> send(EntryProcess entry, CallerRequest request) {
        HttpRequest.Builder builder =
                Http.request(entry.callers(), "POST", "/" + request.pool() + request.targetPath(), request.body());
        request.headers().forEach(builder::header);
        return Http.CLIENT
                .sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> failure == null
                        ? CallerAnswer.of(request, entry.id(), response)
                        : CallerAnswer.broken(request, entry.id(), failure));
    }
}
