package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.trefoilpost.standins.http.HttpAnswer;
import org.trefoilpost.standins.http.HttpCall;
import org.trefoilpost.standins.http.HttpHandler;
import org.trefoilpost.standins.http.Json;
import org.trefoilpost.standins.http.Timers;

/**
 * The HTTP interface of a worker: callers' requests, control calls and the switches of the faults.
 */
final class WorkerService implements HttpHandler {
    private final WorkerSettings settings;
    private final WorkerCore core;
    private final ControlCalls controlCalls;
    private final Runnable leavingChanged;
    private final LongSupplier clock;
    private Random random = new Random(0);
    private CompletableFuture<Void> released = CompletableFuture.completedFuture(null);

    WorkerService(
            WorkerSettings settings,
            WorkerCore core,
            ControlCalls controlCalls,
            Runnable leavingChanged,
            LongSupplier clock) {
        this.settings = settings;
        this.core = core;
        this.controlCalls = controlCalls;
        this.leavingChanged = leavingChanged;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        if (call.path().startsWith("/control/")) {
            return CompletableFuture.completedFuture(controlCalls.handle(call));
        }
        return switch (call.path()) {
            case "/standin/faults" -> CompletableFuture.completedFuture(changeFaults(Json.parse(call.body())));
            case "/standin/counters" -> CompletableFuture.completedFuture(HttpAnswer.json(200, core.counters()));
            default -> serve(call);
        };
    }

    private synchronized HttpAnswer changeFaults(ObjectNode change) {
        if (change.has("seed")) {
            random = new Random(change.get("seed").asLong());
        }
        HttpAnswer answer = HttpAnswer.json(200, core.changeFaults(change));
        if (core.faults().hangs()) {
            released = released.isDone() ? new CompletableFuture<>() : released;
        } else {
            released.complete(null);
        }
        if (change.has("leaving")) {
            leavingChanged.run();
        }
        return answer;
    }

    private synchronized CompletableFuture<Void> released(WorkerFaults faults) {
        return faults.hangs() ? released : CompletableFuture.completedFuture(null);
    }

    private synchronized boolean drawsBelow(double share) {
        return share > 0 && random.nextDouble() < share;
    }

    private CompletableFuture<HttpAnswer> serve(HttpCall call) {
        WorkerRequest request = WorkerRequest.of(call);
        long ownMillis = call.number("millis", settings.serviceMillis());
        int answerBytes = (int) call.number("bytes", 0);
        Optional<String> rejection = core.begin(request, clock.getAsLong());
        if (rejection.isPresent()) {
            return CompletableFuture.completedFuture(addressed(WorkerCore.notStarted(rejection.get()), request));
        }
        WorkerFaults faults = core.faults();
        long millis = faults.failsFast() ? 0 : ownMillis + faults.slowMillis();
        HttpAnswer answer = addressed(answer(call, request, faults, answerBytes), request);
        return released(faults)
                .thenCompose(nothing -> Timers.after(
                        millis,
                        () -> CompletableFuture.completedFuture(finish(request, answer, faults.breakAnswers()))));
    }

    private HttpAnswer answer(HttpCall call, WorkerRequest request, WorkerFaults faults, int answerBytes) {
        ObjectNode json = request.toJson()
                .put("worker", settings.id())
                .put("incarnation", core.incarnation())
                .put("sha256", sha256(call.body()));
        byte[] body = Json.bytes(json);
        HttpAnswer answer = HttpAnswer.of(faults.failsFast() ? 500 : 200, padded(body, answerBytes));
        return answer.with("Content-Type", "application/json");
    }

    /**
     * Brings a JSON body to a length by spaces, or keeps it when it is longer than that.
     */
    private static byte[] padded(byte[] body, int length) {
        if (length <= body.length) {
            return body;
        }
        byte[] longer = Arrays.copyOf(body, length);
        Arrays.fill(longer, body.length, length, (byte) ' ');
        return longer;
    }

    private static HttpAnswer addressed(HttpAnswer answer, WorkerRequest request) {
        return request.requestId()
                .map(id -> answer.with("Trefoilpost-Request-Id", id))
                .orElse(answer);
    }

    private HttpAnswer finish(WorkerRequest request, HttpAnswer answer, double breakShare) {
        core.end(request, answer.status(), clock.getAsLong());
        boolean leaving = core.mode() == WorkerMode.LEAVING;
        HttpAnswer marked = leaving ? answer.with("Worker-Leaving", "true") : answer;
        return drawsBelow(breakShare) ? marked.broken() : marked;
    }

    private static String sha256(byte[] body) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing", e);
        }
    }
}
