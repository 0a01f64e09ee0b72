package org.trefoilpost.standins.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.model.Endpoint;

/**
 * A caller of a stand-in in tests.
 */
public final class Probe {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Endpoint endpoint;

    private Probe(Endpoint endpoint) {
        this.endpoint = endpoint;
    }

    /**
     * Obtains a caller.
     *
     * @param endpoint  the stand-in's endpoint, not null
     * @return the caller, not null
     */
    public static Probe of(Endpoint endpoint) {
        return new Probe(endpoint);
    }

    /**
     * Makes a call and waits for the answer.
     *
     * @param method  the method, not null
     * @param target  the path with the query, not null
     * @param body  the body, not null
     * @param headers  names and values of headers
     * @return the answer, not null
     * @throws IOException if the connection ends without a whole answer
     */
    public HttpResponse<String> call(String method, String target, String body, String... headers) throws IOException {
        try {
            return CLIENT.send(request(method, target, body, headers), HttpResponse.BodyHandlers.ofString());
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /**
     * Makes a call without waiting.
     *
     * @param method  the method, not null
     * @param target  the path with the query, not null
     * @return the answer when it is there, not null
     */
    public CompletableFuture<HttpResponse<String>> send(String method, String target) {
        return CLIENT.sendAsync(request(method, target, ""), HttpResponse.BodyHandlers.ofString());
    }

    /**
     * Makes a call without a body and returns the JSON object of its answer.
     *
     * @param target  the path with the query, not null
     * @return the object, not null
     * @throws IOException if the connection ends without a whole answer
     */
    public ObjectNode json(String target) throws IOException {
        return Json.parse(call("GET", target, "").body().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Switches faults.
     *
     * @param json  the change with single quotation marks, not null
     * @throws IOException if the connection ends without a whole answer
     */
    public void faults(String json) throws IOException {
        call("POST", "/standin/faults", json.replace('\'', '"'));
    }

    private HttpRequest request(String method, String target, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + endpoint + target))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return request.build();
    }
}
