package org.trefoilpost.entry.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.trefoilpost.entry.http.HttpClientFactory;
import org.trefoilpost.model.Endpoint;

/**
 * Worker control over HTTP, as docs/PLATFORM.md describes it.
 */
public final class HttpWorkerControl implements WorkerControl, AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int CONFLICT = 409;

    private final Map<Endpoint, HttpClient> clients = new ConcurrentHashMap<>();

    /**
     * Constructs a control without connections.
     */
    public HttpWorkerControl() {}

    @Override
    public CompletableFuture<WorkerStatusReport> status(Endpoint worker) {
        return call(worker, client -> client.get("/control/status")).thenApply(answer -> {
            requireStatus(answer, OK);
            return status(json(answer));
        });
    }

    @Override
    public CompletableFuture<Boolean> stop(Endpoint worker, long incarnation) {
        return sendOrder(worker, "/control/stop?incarnation=" + incarnation);
    }

    @Override
    public CompletableFuture<Boolean> reboot(Endpoint worker, long incarnation) {
        return sendOrder(worker, "/control/reboot?incarnation=" + incarnation);
    }

    @Override
    public CompletableFuture<String> checkpoint(Endpoint worker, String job, long epoch) {
        return call(worker, client -> client.post("/control/tasks/" + job + "/checkpoint?epoch=" + epoch))
                .thenApply(answer -> {
                    requireStatus(answer, OK);
                    return json(answer).path("checkpoint").asText();
                });
    }

    /**
     * Closes all connections.
     */
    @Override
    public void close() {
        clients.values().forEach(client -> client.closeAsync().subscribe());
    }

    private CompletableFuture<Boolean> sendOrder(Endpoint worker, String target) {
        return call(worker, client -> client.post(target)).thenApply(answer -> {
            if (answer.status().code() == CONFLICT) {
                return false;
            }
            requireStatus(answer, ACCEPTED);
            return true;
        });
    }

    private CompletableFuture<HttpResponse> call(Endpoint worker, Function<HttpClient, HttpRequest> request) {
        HttpClient client = clients.computeIfAbsent(
                worker, endpoint -> HttpClientFactory.create(endpoint).asClient());
        return client.request(request.apply(client))
                .timeout(CALL_TIMEOUT)
                .toCompletionStage()
                .toCompletableFuture()
                .handle((answer, failure) -> {
                    if (failure != null) {
                        throw TargetException.of(TargetFailure.CONNECTION_LOST, "no answer from " + worker, failure);
                    }
                    return answer;
                });
    }

    private static void requireStatus(HttpResponse answer, int status) {
        if (answer.status().code() != status) {
            throw TargetException.of(
                    TargetFailure.NOT_STARTED,
                    "a worker answered " + answer.status() + ": "
                            + answer.payloadBody().toString(StandardCharsets.UTF_8),
                    null);
        }
    }

    private static JsonNode json(HttpResponse answer) {
        try {
            return MAPPER.readTree(answer.payloadBody().toString(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw TargetException.of(TargetFailure.ANSWER_INCOMPLETE, "a worker's answer is not JSON", e);
        }
    }

    private static WorkerStatusReport status(JsonNode node) {
        List<TaskStatusReport> tasks = new ArrayList<>();
        for (JsonNode task : node.path("tasks")) {
            tasks.add(task(task));
        }
        String state = node.path("state").asText().toUpperCase(Locale.ROOT);
        try {
            return WorkerStatusReport.of(
                    node.path("incarnation").asLong(),
                    WorkerStatusReport.State.valueOf(state),
                    node.path("inFlight").asInt(),
                    tasks);
        } catch (IllegalArgumentException e) {
            throw TargetException.of(TargetFailure.ANSWER_INCOMPLETE, "no worker state is " + state, e);
        }
    }

    private static TaskStatusReport task(JsonNode node) {
        return TaskStatusReport.builder(
                        node.path("job").asText(),
                        node.path("epoch").asLong(),
                        node.path("state").asText())
                .usage(
                        node.path("coresUsed").asDouble(),
                        node.path("memoryMbUsed").asInt())
                .progress(node.path("progress").asDouble())
                .build();
    }
}
