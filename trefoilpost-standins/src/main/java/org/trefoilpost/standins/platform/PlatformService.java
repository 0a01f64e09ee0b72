package org.trefoilpost.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.trefoilpost.standins.http.BadCallException;
import org.trefoilpost.standins.http.HttpAnswer;
import org.trefoilpost.standins.http.HttpCall;
import org.trefoilpost.standins.http.HttpHandler;
import org.trefoilpost.standins.http.Json;
import org.trefoilpost.standins.http.Timers;

/**
 * The platform's HTTP interface with its rates, counters and faults.
 */
final class PlatformService implements HttpHandler {
    private static final String CONTROL_PREFIX = "/standin/";
    private static final String INSTANCES_PREFIX = "/standin/instances/";

    private final LongSupplier clock;
    private final KeyValueStore store = new KeyValueStore();
    private final KeyValueCalls keyValueCalls;
    private final InstanceList instances;
    private final CallCounters counters = new CallCounters();
    private final RateLimit writes;
    private final RateLimit reads;
    private final long goneAfterMillis;
    private final CompletableFuture<HttpAnswer> never = new CompletableFuture<>();
    private Random random = new Random(0);
    private volatile PlatformFaults faults = PlatformFaults.none();

    PlatformService(PlatformSettings settings, LongSupplier clock) {
        this.clock = clock;
        this.keyValueCalls = new KeyValueCalls(store, clock);
        this.instances = InstanceList.of(settings.listLagMillis());
        this.writes = RateLimit.of(settings.writesPerSecond(), clock.getAsLong());
        this.reads = RateLimit.of(settings.readsPerSecond(), clock.getAsLong());
        this.goneAfterMillis = settings.goneAfterMillis();
    }

    /**
     * Does what time brings: leases lapse and silent instances are gone.
     */
    void tick() {
        store.lapseLeases(clock.getAsLong());
        if (goneAfterMillis > 0) {
            instances.loseSilent(goneAfterMillis, clock.getAsLong());
        }
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpCall call) {
        if (call.path().startsWith(CONTROL_PREFIX)) {
            return CompletableFuture.completedFuture(control(call));
        }
        CallKind kind = KeyValueCalls.kindOf(call);
        String prefix = KeyValueCalls.prefixOf(call);
        counters.received(kind, prefix, call.body().length);
        return admit(call, kind, prefix).thenApply(answer -> count(prefix, answer));
    }

    private HttpAnswer count(String prefix, HttpAnswer answer) {
        counters.answered(prefix, answer.body().length);
        return answer;
    }

    private CompletableFuture<HttpAnswer> admit(HttpCall call, CallKind kind, String prefix) {
        PlatformFaults present = faults;
        if (present.isSilent()) {
            return never;
        }
        if (present.isDown()) {
            return CompletableFuture.completedFuture(HttpAnswer.of(503));
        }
        RateLimit limit = kind == CallKind.WRITE ? writes : reads;
        OptionalLong retrySeconds = limit.take(clock.getAsLong());
        if (retrySeconds.isPresent()) {
            counters.rejected(prefix);
            String seconds = Long.toString(retrySeconds.getAsLong());
            return CompletableFuture.completedFuture(HttpAnswer.of(429).with("Retry-After", seconds));
        }
        return Timers.after(present.latencyMillis(), () -> kind == CallKind.WRITE ? write(call, present) : read(call));
    }

    private CompletableFuture<HttpAnswer> read(HttpCall call) {
        if (call.path().equals("/v1/instances")) {
            return CompletableFuture.completedFuture(HttpAnswer.json(200, instances.toJson(clock.getAsLong())));
        }
        return keyValueCalls.handle(call).thenApply(answer -> faults.isDown() ? HttpAnswer.of(503) : answer);
    }

    private CompletableFuture<HttpAnswer> write(HttpCall call, PlatformFaults present) {
        if (present.delayWritesMillis() > 0) {
            Timers.after(present.delayWritesMillis(), () -> keyValueCalls.handle(call));
            return CompletableFuture.completedFuture(HttpAnswer.lost());
        }
        boolean lost = drawsBelow(present.loseAnswers());
        return keyValueCalls.handle(call).thenApply(answer -> lost ? HttpAnswer.lost() : answer);
    }

    private synchronized boolean drawsBelow(double share) {
        return share > 0 && random.nextDouble() < share;
    }

    private HttpAnswer control(HttpCall call) {
        String path = call.path();
        if (call.method().equals("GET")) {
            return path.equals("/standin/counters") ? HttpAnswer.json(200, counters()) : HttpAnswer.of(404);
        }
        ObjectNode body = Json.parse(call.body());
        if (path.startsWith(INSTANCES_PREFIX)) {
            boolean taken = instances.report(path.substring(INSTANCES_PREFIX.length()), body, clock.getAsLong());
            return HttpAnswer.of(taken ? 204 : 409);
        }
        return switch (path) {
            case "/standin/faults" -> changeFaults(body);
            case "/standin/snapshot" -> {
                store.snapshot(nameOf(body));
                yield HttpAnswer.of(204);
            }
            case "/standin/restore" -> HttpAnswer.of(store.restore(nameOf(body), clock.getAsLong()) ? 204 : 404);
            default -> HttpAnswer.of(404);
        };
    }

    private ObjectNode counters() {
        return counters.toJson().put("waitingWatches", store.waitingWatches());
    }

    private static String nameOf(ObjectNode body) {
        if (!body.hasNonNull("snapshot")) {
            throw new BadCallException("the field snapshot is missing");
        }
        return body.get("snapshot").asText();
    }

    private synchronized HttpAnswer changeFaults(ObjectNode change) {
        if (change.has("seed")) {
            random = new Random(change.get("seed").asLong());
        }
        if (change.has("listLagMillis")) {
            instances.setLagMillis(change.get("listLagMillis").asLong());
        }
        faults = faults.with(change);
        if (faults.isDown()) {
            store.endWatches();
        }
        return HttpAnswer.json(200, faults.toJson());
    }
}
