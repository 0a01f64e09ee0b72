package org.trefoilpost.verify.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.trefoilpost.model.Endpoint;

/**
 * The HTTP client of the scenarios. It sends each request once: the JDK's client repeats only safe methods, and callers
 * send POST.
 */
public final class Http {
    static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private Http() {}

    static HttpRequest.Builder request(Endpoint endpoint, String method, String path, String body) {
        return HttpRequest.newBuilder(URI.create("http://" + endpoint + path))
                .timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
    }

    /**
     * Sends a request and waits for the answer.
     *
     * @param endpoint  the receiver, not null
     * @param method  the method, not null
     * @param path  the path with any query, not null
     * @param body  the body, not null
     * @return the answer, not null
     */
    public static HttpResponse<String> send(Endpoint endpoint, String method, String path, String body) {
        return send(request(endpoint, method, path, body).build());
    }

    static HttpResponse<String> send(HttpRequest request) {
        try {
            return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(request.uri() + " failed: " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", e);
        }
    }

    /**
     * Parses JSON.
     *
     * @param text  the text, not null
     * @return the tree, a missing node if the text is no JSON
     */
    public static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException e) {
            return MAPPER.missingNode();
        }
    }

    /**
     * Sets fault switches of a stand-in.
     *
     * @param endpoint  the stand-in, not null
     * @param switches  the switches as JSON with single quotes, not null
     */
    public static void faults(Endpoint endpoint, String switches) {
        HttpResponse<String> answer = send(endpoint, "POST", "/standin/faults", switches.replace('\'', '"'));
        if (answer.statusCode() != 200) {
            throw new AssertionError("the stand-in refused " + switches + ": " + answer.statusCode());
        }
    }
}
