package org.trefoilpost.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.trefoilpost.standins.http.BadCallException;
import org.trefoilpost.standins.http.HttpAnswer;
import org.trefoilpost.standins.http.HttpCall;
import org.trefoilpost.standins.http.Json;
import org.trefoilpost.standins.http.Timers;

/**
 * The calls of the key-value service, without faults.
 */
final class KeyValueCalls {
    /** The most bytes that a value may have. */
    static final int MAX_VALUE_BYTES = 1 << 20;

    private static final String KEY_PATH = "/v1/kv/";
    private static final String LEASES_PATH = "/v1/leases";
    private static final String REVISION_HEADER = "Kv-Revision";

    private final KeyValueStore store;
    private final LongSupplier clock;

    KeyValueCalls(KeyValueStore store, LongSupplier clock) {
        this.store = store;
        this.clock = clock;
    }

    static CallKind kindOf(HttpCall call) {
        if (!call.method().equals("GET")) {
            return CallKind.WRITE;
        }
        return call.path().equals("/v1/watch") ? CallKind.WATCH : CallKind.READ;
    }

    static String prefixOf(HttpCall call) {
        String path = call.path();
        if (path.startsWith(KEY_PATH)) {
            return CallCounters.prefixOf(path.substring(KEY_PATH.length()));
        }
        if (path.startsWith(LEASES_PATH)) {
            return "leases";
        }
        return path.equals("/v1/instances")
                ? "instances"
                : CallCounters.prefixOf(call.parameter("prefix").orElse(""));
    }

    CompletableFuture<HttpAnswer> handle(HttpCall call) {
        String path = call.path();
        if (path.startsWith(KEY_PATH)) {
            return CompletableFuture.completedFuture(key(call, path.substring(KEY_PATH.length())));
        }
        if (path.startsWith(LEASES_PATH)) {
            return CompletableFuture.completedFuture(lease(call, path.substring(LEASES_PATH.length())));
        }
        return switch (path) {
            case "/v1/keys" -> CompletableFuture.completedFuture(list(call));
            case "/v1/watch" -> watch(call);
            default -> CompletableFuture.completedFuture(HttpAnswer.of(404));
        };
    }

    private HttpAnswer key(HttpCall call, String key) {
        return switch (call.method()) {
            case "GET" -> read(key);
            case "PUT" -> write(call, key);
            case "DELETE" -> revised(store.delete(key, call.number("expected"), clock.getAsLong()));
            default -> HttpAnswer.of(405);
        };
    }

    private HttpAnswer read(String key) {
        return store.read(key, clock.getAsLong())
                .map(value -> HttpAnswer.of(200, value.bytes()).with(REVISION_HEADER, Long.toString(value.revision())))
                .orElseGet(() -> HttpAnswer.of(404).with(REVISION_HEADER, "0"));
    }

    private HttpAnswer write(HttpCall call, String key) {
        if (call.body().length > MAX_VALUE_BYTES) {
            return HttpAnswer.of(413);
        }
        OptionalLong lease =
                call.parameter("lease").isPresent() ? OptionalLong.of(call.number("lease")) : OptionalLong.empty();
        return revised(store.write(key, call.number("expected"), lease, call.body(), clock.getAsLong()));
    }

    private static HttpAnswer revised(WriteOutcome outcome) {
        return HttpAnswer.of(outcome.kind().status()).with(REVISION_HEADER, Long.toString(outcome.revision()));
    }

    private HttpAnswer list(HttpCall call) {
        KeyValueStore.Listing listing = store.list(call.parameter("prefix").orElse(""), clock.getAsLong());
        ObjectNode json = Json.object().put("revision", listing.revision());
        ArrayNode entries = json.putArray("entries");
        listing.values()
                .forEach((key, value) -> entries.addObject()
                        .put("key", key)
                        .put("revision", value.revision())
                        .put("value", value.bytes()));
        return HttpAnswer.json(200, json);
    }

    private CompletableFuture<HttpAnswer> watch(HttpCall call) {
        long wait = call.number("wait");
        CompletableFuture<KeyValueStore.Changes> changes =
                store.watch(call.parameter("prefix").orElse(""), call.number("after"), clock.getAsLong());
        if (!changes.isDone()) {
            Timers.after(Math.max(1, wait), () -> {
                store.endWatch(changes);
                return changes;
            });
        }
        return changes.thenApply(KeyValueCalls::changed);
    }

    private static HttpAnswer changed(KeyValueStore.Changes changes) {
        ObjectNode json = Json.object().put("revision", changes.revision());
        ArrayNode entries = json.putArray("entries");
        changes.list()
                .forEach(change -> entries.addObject()
                        .put("key", change.key())
                        .put("revision", change.revision())
                        .put("deleted", change.isDeleted()));
        return HttpAnswer.json(200, json);
    }

    private HttpAnswer lease(HttpCall call, String path) {
        long now = clock.getAsLong();
        return switch (call.method()) {
            case "POST" -> openLease(call.number("ttl"), now);
            case "PUT" -> HttpAnswer.of(store.renewLease(idOf(path), now) ? 204 : 404);
            case "DELETE" -> HttpAnswer.of(store.endLease(idOf(path), now) ? 204 : 404);
            default -> HttpAnswer.of(405);
        };
    }

    private HttpAnswer openLease(long ttlMillis, long nowMillis) {
        if (ttlMillis <= 0) {
            throw new BadCallException("a lease needs a ttl above 0 ms");
        }
        long lease = store.openLease(ttlMillis, nowMillis);
        return HttpAnswer.json(200, Json.object().put("lease", lease).put("ttl", ttlMillis));
    }

    private static long idOf(String path) {
        try {
            return Long.parseLong(Optional.of(path)
                    .filter(text -> text.startsWith("/"))
                    .orElse("/")
                    .substring(1));
        } catch (NumberFormatException e) {
            throw new BadCallException("the lease is not a number", e);
        }
    }
}
