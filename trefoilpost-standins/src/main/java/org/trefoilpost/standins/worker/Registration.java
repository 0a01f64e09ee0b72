package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.jboss.logging.Logger;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.http.Json;

/**
 * Tells the platform of a worker and its state.
 */
final class Registration {
    private static final Logger LOG = Logger.getLogger(Registration.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    private final WorkerSettings settings;
    private final Optional<Endpoint> platform;

    Registration(WorkerSettings settings) {
        this.settings = settings;
        this.platform = settings.platform();
    }

    /**
     * Sends a report without waiting; a report that fails is left to the next one.
     */
    void report(Endpoint endpoint, long incarnation, String state) {
        platform.ifPresent(target -> CLIENT.sendAsync(
                        request(target, instance(endpoint, incarnation, state)), HttpResponse.BodyHandlers.discarding())
                .whenComplete((answer, error) -> {
                    if (error != null) {
                        LOG.debugf("the report of %s failed: %s", settings.id(), error);
                    }
                }));
    }

    private HttpRequest request(Endpoint target, ObjectNode instance) {
        return HttpRequest.newBuilder(URI.create("http://" + target + "/standin/instances/" + settings.id()))
                .timeout(TIMEOUT)
                .PUT(HttpRequest.BodyPublishers.ofByteArray(Json.bytes(instance)))
                .build();
    }

    private ObjectNode instance(Endpoint endpoint, long incarnation, String state) {
        return Json.object()
                .put("id", settings.id())
                .put("rack", settings.rack())
                .put("dataCentre", settings.dataCentre())
                .put("region", settings.region())
                .put("endpoint", endpoint.toString())
                .put("incarnation", incarnation)
                .put("state", state)
                .put("cores", settings.cores())
                .put("memoryMb", settings.memoryMb())
                .put("accelerators", settings.accelerators())
                .put("slots", settings.slots())
                .put("connections", settings.connections());
    }
}
