package org.trefoilpost.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * Single HTTP calls of the benches to the programs that they run.
 */
final class Http {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int FIRST_ERROR_STATUS = 300;

    private Http() {}

    static String get(String uri) {
        return text(HttpRequest.newBuilder(URI.create(uri)).GET());
    }

    static String put(String uri, String body) {
        return text(HttpRequest.newBuilder(URI.create(uri)).PUT(HttpRequest.BodyPublishers.ofString(body)));
    }

    private static String text(HttpRequest.Builder request) {
        try {
            HttpResponse<String> answer =
                    CLIENT.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() >= FIRST_ERROR_STATUS) {
                throw new IllegalStateException(
                        answer.uri() + " answered " + answer.statusCode() + " " + answer.body());
            }
            return answer.body();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }
}
