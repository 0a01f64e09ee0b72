package org.trefoilpost.bench.load;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.trefoilpost.model.Endpoint;

/**
 * Sends requests at even times, whether or not earlier ones have ended, and times each from when it was due.
 */
public final class LoadRun {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long ANSWER_MARGIN_MILLIS = 2_000;
    private static final String NO_VERDICT = "no-verdict";
    private static final String NO_ANSWER = "no-answer";

    private final LoadSettings settings;
    private final LoadReport report = new LoadReport();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final String keyPrefix = "load-" + System.currentTimeMillis() + "-";

    private LoadRun(LoadSettings settings) {
        this.settings = settings;
    }

    /**
     * Runs a load to its end.
     *
     * @param settings  the settings, without fault, not null
     * @return the report, not null
     */
    public static LoadReport run(LoadSettings settings) {
        return new LoadRun(settings).run();
    }

    private LoadReport run() {
        SplittableRandom random = new SplittableRandom(settings.seed());
        List<Endpoint> entries = settings.entries();
        List<CompletableFuture<Void>> ends = new ArrayList<>();
        long start = System.nanoTime();
        for (long number = 0; number < settings.requests(); number++) {
            long due = start + (long) (number * NANOS_PER_SECOND / settings.rate());
            waitUntil(due);
            boolean withKey = random.nextDouble() < settings.keyed();
            ends.add(send(entries.get((int) (number % entries.size())), number, withKey, due));
        }
        CompletableFuture.allOf(ends.toArray(CompletableFuture[]::new)).join();
        report.elapsed(System.nanoTime() - start);
        return report;
    }

    private static void waitUntil(long due) {
        for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }

    private CompletableFuture<Void> send(Endpoint entry, long number, boolean withKey, long due) {
        HttpRequest request = request(entry, number, withKey);
        return client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).handle((answer, failure) -> {
            long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due);
            report.ended(
                    failure != null ? NO_ANSWER : header(answer, "Trefoilpost-Verdict", NO_VERDICT),
                    failure != null ? "" : header(answer, "Trefoilpost-Reason", ""),
                    withKey,
                    micros);
            return null;
        });
    }

    private HttpRequest request(Endpoint entry, long number, boolean withKey) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + entry + settings.requestPath()))
                .timeout(Duration.ofMillis(settings.deadlineMillis() + ANSWER_MARGIN_MILLIS))
                .header("Trefoilpost-Deadline-Millis", Long.toString(settings.deadlineMillis()));
        settings.requestClass().ifPresent(name -> builder.header("Trefoilpost-Class", name));
        settings.team().ifPresent(name -> builder.header("Trefoilpost-Team", name));
        if (withKey) {
            builder.header("Idempotency-Key", keyPrefix + number)
                    .POST(HttpRequest.BodyPublishers.ofString("request " + number));
        }
        return builder.build();
    }

    private static String header(HttpResponse<?> answer, String name, String otherwise) {
        return answer.headers().firstValue(name).orElse(otherwise);
    }
}
