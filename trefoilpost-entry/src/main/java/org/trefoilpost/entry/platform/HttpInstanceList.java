package org.trefoilpost.entry.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.servicetalk.http.api.HttpClient;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.entry.http.HttpClientFactory;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Resources;
import org.trefoilpost.model.worker.Worker;
import org.trefoilpost.model.worker.WorkerState;

/**
 * List of instances over HTTP, as docs/PLATFORM.md describes it.
 */
public final class HttpInstanceList implements InstanceList, AutoCloseable {
    private static final EventLog LOG = EventLog.of(HttpInstanceList.class);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;

    private final HttpClient client;

    private HttpInstanceList(HttpClient client) {
        this.client = client;
    }

    /**
     * Obtains the list at an address.
     *
     * @param endpoint  the address, not null
     * @return the list, not null
     */
    public static HttpInstanceList of(Endpoint endpoint) {
        return new HttpInstanceList(HttpClientFactory.create(endpoint).asClient());
    }

    @Override
    public CompletableFuture<List<Worker>> read() {
        return client.request(client.get("/v1/instances"))
                .timeout(CALL_TIMEOUT)
                .toCompletionStage()
                .toCompletableFuture()
                .handle((answer, failure) -> {
                    if (failure != null) {
                        throw StoreException.answerLost("no answer to the list of instances", failure);
                    }
                    if (answer.status().code() != OK) {
                        throw StoreException.refused("the list of instances answered " + answer.status());
                    }
                    return parse(answer.payloadBody().toString(StandardCharsets.UTF_8));
                });
    }

    /**
     * Closes the connections.
     */
    @Override
    public void close() {
        client.closeAsync().subscribe();
    }

    private static List<Worker> parse(String body) {
        try {
            List<Worker> workers = new ArrayList<>();
            for (JsonNode instance : MAPPER.readTree(body).path("instances")) {
                addWorker(workers, instance);
            }
            return workers;
        } catch (IOException e) {
            throw StoreException.answerLost("the list of instances is not JSON", e);
        }
    }

    private static void addWorker(List<Worker> workers, JsonNode instance) {
        try {
            workers.add(worker(instance));
        } catch (IllegalArgumentException e) {
            LOG.warn(LogEvent.of("instance-malformed")
                    .with("id", instance.path("id").asText())
                    .withFailure(e));
        }
    }

    private static Worker worker(JsonNode instance) {
        return Worker.builder(WorkerId.of(instance.path("id").asText()))
                .rack(RackName.of(instance.path("rack").asText()))
                .dataCentre(DataCentreName.of(instance.path("dataCentre").asText()))
                .region(RegionName.of(instance.path("region").asText()))
                .endpoint(Endpoint.parse(instance.path("endpoint").asText()))
                .incarnation(instance.path("incarnation").asLong())
                .state(state(instance.path("state").asText()))
                .resources(Resources.of(
                        instance.path("cores").asInt(),
                        instance.path("memoryMb").asInt(),
                        instance.path("accelerators").asInt(),
                        instance.path("slots").asInt()))
                .maxConnections(instance.path("connections").asInt())
                .build();
    }

    private static WorkerState state(String code) {
        return WorkerState.ofCode(code)
                .orElseThrow(() -> new IllegalArgumentException("state '" + code + "' is not known"));
    }
}
