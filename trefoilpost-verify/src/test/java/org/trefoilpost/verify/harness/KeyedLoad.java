package org.trefoilpost.verify.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Callers that send requests with keys: some to all entries at once, some to one entry after the other until an answer
 * comes, some only once.
 */
public final class KeyedLoad implements AutoCloseable {
    private static final int WAYS = 3;
    private static final long PAUSE_MILLIS = 10;
    private static final String WAIT_MILLIS = "4000";

    private static final AtomicInteger SEQUENCE = new AtomicInteger();

    private final Map<String, List<CallerAnswer>> answers = new ConcurrentHashMap<>();
    private final List<Thread> callers = new ArrayList<>();
    private volatile boolean stopping;

    /**
     * Starts callers.
     *
     * @param count  how many callers there are
     * @param entries  gives the entries that callers know at the time, not null
     * @param pool  the pool, not null
     * @return the load, not null
     */
    public static KeyedLoad start(int count, Supplier<List<EntryProcess>> entries, String pool) {
        KeyedLoad load = new KeyedLoad();
        for (int i = 0; i < count; i++) {
            Thread caller = new Thread(() -> load.run(entries, pool), "keyed-caller-" + i);
            caller.setDaemon(true);
            load.callers.add(caller);
            caller.start();
        }
        return load;
    }

    private void run(Supplier<List<EntryProcess>> entries, String pool) {
        while (!stopping) {
            int number = SEQUENCE.getAndIncrement();
            CallerRequest request = CallerRequest.to(pool)
                    .withKey("key-" + number)
                    .withHeader("Trefoilpost-Deadline-Millis", WAIT_MILLIS);
            List<EntryProcess> known = entries.get();
            EntryProcess first = known.get(number % known.size());
            List<CallerAnswer> outcome =
                    switch (number % WAYS) {
                        case 0 -> atOnce(known, request);
                        case 1 -> inTurn(known, number, request);
                        default -> List.of(CallerClient.call(first, request));
                    };
            answers.put("key-" + number, outcome);
            Waits.pause(PAUSE_MILLIS);
        }
    }

    private static List<CallerAnswer> atOnce(List<EntryProcess> entries, CallerRequest request) {
        List<CompletableFuture<CallerAnswer>> sent =
                entries.stream().map(entry -> CallerClient.send(entry, request)).toList();
        return sent.stream().map(CompletableFuture::join).toList();
    }

    private static List<CallerAnswer> inTurn(List<EntryProcess> entries, int first, CallerRequest request) {
        List<CallerAnswer> outcome = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            CallerAnswer answer = CallerClient.call(entries.get((first + i) % entries.size()), request);
            outcome.add(answer);
            if (answer.isAnswered() && i > 0) {
                return outcome;
            }
        }
        return outcome;
    }

    /**
     * Returns the outcomes by key.
     *
     * @return the outcomes, not null
     */
    public Map<String, List<CallerAnswer>> answers() {
        return Map.copyOf(answers);
    }

    /**
     * Waits until further keys are through.
     *
     * @param more  how many
     */
    public void awaitMore(int more) {
        int wanted = answers.size() + more;
        Waits.until(() -> wanted + " keys are through, not " + answers.size(), () -> answers.size() >= wanted);
    }

    @Override
    public void close() {
        stopping = true;
        for (Thread caller : callers) {
            try {
                caller.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError("interrupted", e);
            }
        }
    }
}
