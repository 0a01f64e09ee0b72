package org.trefoilpost.entry.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.entry.http.HttpClientFactory;
import org.trefoilpost.model.Endpoint;

/**
 * Key-value service over HTTP, as docs/PLATFORM.md describes it.
 */
public final class HttpKeyValueStore implements KeyValueStore, AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEYS = "/v1/kv/";
    private static final String LEASES = "/v1/leases";
    private static final String REVISION = "Kv-Revision";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;

    private final HttpClient client;

    private HttpKeyValueStore(HttpClient client) {
        this.client = client;
    }

    /**
     * Obtains the service at an address.
     *
     * @param endpoint  the address, not null
     * @return the service, not null
     */
    public static HttpKeyValueStore of(Endpoint endpoint) {
        return new HttpKeyValueStore(HttpClientFactory.create(endpoint).asClient());
    }

    @Override
    public CompletableFuture<Optional<StoredValue>> read(String key) {
        return call(client.get(KEYS + key), CALL_TIMEOUT).thenApply(answer -> {
            if (answer.status().code() == NOT_FOUND) {
                return Optional.empty();
            }
            expect(answer, OK);
            return Optional.of(StoredValue.of(key, revision(answer), bytes(answer)));
        });
    }

    @Override
    public CompletableFuture<List<StoredValue>> list(String prefix) {
        return call(client.get("/v1/keys?prefix=" + encode(prefix)), CALL_TIMEOUT)
                .thenApply(answer -> {
                    expect(answer, OK);
                    return parseList(json(answer));
                });
    }

    @Override
    public CompletableFuture<WriteOutcome> write(
            String key, long expectedRevision, byte[] bytes, Optional<String> lease) {
        if (bytes.length > MAX_VALUE_BYTES) {
            return CompletableFuture.failedFuture(StoreException.refused(
                    "the value of " + key + " has " + bytes.length + " bytes; at most 1 MiB is allowed"));
        }
        String query = "?expected=" + expectedRevision
                + lease.map(id -> "&lease=" + encode(id)).orElse("");
        HttpRequest request = client.put(KEYS + key + query)
                .payloadBody(client.executionContext().bufferAllocator().wrap(bytes));
        return call(request, CALL_TIMEOUT).thenApply(HttpKeyValueStore::outcome);
    }

    @Override
    public CompletableFuture<WriteOutcome> delete(String key, long expectedRevision) {
        return call(client.delete(KEYS + key + "?expected=" + expectedRevision), CALL_TIMEOUT)
                .thenApply(answer -> answer.status().code() == NOT_FOUND ? WriteOutcome.written(0) : outcome(answer));
    }

    @Override
    public CompletableFuture<WatchAnswer> watch(String prefix, long afterRevision, Duration wait) {
        String target = "/v1/watch?prefix=" + encode(prefix) + "&after=" + afterRevision + "&wait=" + wait.toMillis();
        return call(client.get(target), wait.plus(CALL_TIMEOUT)).thenApply(answer -> {
            expect(answer, OK);
            return parseWatch(json(answer));
        });
    }

    @Override
    public CompletableFuture<String> grantLease(Duration timeToLive) {
        return call(client.post(LEASES + "?ttl=" + timeToLive.toMillis()), CALL_TIMEOUT)
                .thenApply(answer -> {
                    expect(answer, OK);
                    return json(answer).path("lease").asText();
                });
    }

    @Override
    public CompletableFuture<Boolean> renewLease(String lease) {
        return call(client.put(LEASES + "/" + encode(lease)), CALL_TIMEOUT).thenApply(answer -> {
            if (answer.status().code() == NOT_FOUND) {
                return false;
            }
            expect(answer, NO_CONTENT);
            return true;
        });
    }

    @Override
    public CompletableFuture<Void> endLease(String lease) {
        return call(client.delete(LEASES + "/" + encode(lease)), CALL_TIMEOUT).thenApply(answer -> null);
    }

    /**
     * Closes the connections.
     */
    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    private CompletableFuture<HttpResponse> call(HttpRequest request, Duration timeout) {
        return client.request(request)
                .timeout(timeout)
                .toCompletionStage()
                .toCompletableFuture()
                .handle((answer, failure) -> {
                    if (failure != null) {
                        throw StoreException.answerLost("no answer to " + request.requestTarget(), failure);
                    }
                    return checked(request, answer);
                });
    }

    private static HttpResponse checked(HttpRequest request, HttpResponse answer) {
        int status = answer.status().code();
        if (status == 429 || status >= 500) {
            throw StoreException.refused(request.requestTarget() + " answered " + status);
        }
        return answer;
    }

    private static WriteOutcome outcome(HttpResponse answer) {
        if (answer.status().code() == CONFLICT) {
            return WriteOutcome.conflict(revision(answer));
        }
        expect(answer, OK);
        return WriteOutcome.written(revision(answer));
    }

    private static void expect(HttpResponse answer, int status) {
        if (answer.status().code() != status) {
            throw StoreException.refused("the key-value service answered " + answer.status() + ": "
                    + answer.payloadBody().toString(StandardCharsets.UTF_8));
        }
    }

    private static long revision(HttpResponse answer) {
        CharSequence text = answer.headers().get(REVISION);
        return text == null ? 0 : Long.parseLong(text.toString());
    }

    private static byte[] bytes(HttpResponse answer) {
        Buffer body = answer.payloadBody();
        byte[] bytes = new byte[body.readableBytes()];
        body.readBytes(bytes);
        return bytes;
    }

    private static JsonNode json(HttpResponse answer) {
        try {
            return MAPPER.readTree(bytes(answer));
        } catch (IOException e) {
            throw StoreException.answerLost("the key-value service's answer is not JSON", e);
        }
    }

    private static List<StoredValue> parseList(JsonNode answer) {
        List<StoredValue> values = new ArrayList<>();
        for (JsonNode entry : answer.path("entries")) {
            values.add(StoredValue.of(
                    entry.path("key").asText(),
                    entry.path("revision").asLong(),
                    Base64.getDecoder().decode(entry.path("value").asText())));
        }
        return values;
    }

    private static WatchAnswer parseWatch(JsonNode answer) {
        Map<String, Long> changes = new HashMap<>();
        for (JsonNode entry : answer.path("entries")) {
            changes.put(entry.path("key").asText(), entry.path("revision").asLong());
        }
        return WatchAnswer.of(answer.path("revision").asLong(), changes);
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
