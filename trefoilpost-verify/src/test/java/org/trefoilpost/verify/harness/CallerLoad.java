package org.trefoilpost.verify.harness;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/**
 * Callers that send one request after the other to the entries in turn until they are told to stop.
 */
public final class CallerLoad implements AutoCloseable {
    private static final long PAUSE_MILLIS = 10;

    private final List<CallerAnswer> answers = new CopyOnWriteArrayList<>();
    private final List<Thread> callers = new ArrayList<>();
    private volatile boolean stopping;

    /**
     * Starts callers.
     *
     * @param count  how many callers there are
     * @param entries  gives the entries that callers know at the time, not null
     * @param requests  makes the requests, not null
     * @return the load, not null
     */
    public static CallerLoad start(int count, Supplier<List<EntryProcess>> entries, Supplier<CallerRequest> requests) {
        CallerLoad load = new CallerLoad();
        for (int i = 0; i < count; i++) {
            int first = i;
            Thread caller = new Thread(() -> load.run(first, entries, requests), "caller-" + i);
            caller.setDaemon(true);
            load.callers.add(caller);
            caller.start();
        }
        return load;
    }

    private void run(int first, Supplier<List<EntryProcess>> entries, Supplier<CallerRequest> requests) {
        for (int turn = first; !stopping; turn++) {
            List<EntryProcess> known = entries.get();
            CompletableFuture<CallerAnswer> answer = CallerClient.send(known.get(turn % known.size()), requests.get());
            answers.add(answer.join());
            Waits.pause(PAUSE_MILLIS);
        }
    }

    public List<CallerAnswer> answers() {
        return List.copyOf(answers);
    }

    /**
     * Waits for further answers.
     *
     * @param more  how many
     */
    public void awaitMore(int more) {
        int wanted = answers.size() + more;
        Waits.until(() -> "callers got " + wanted + " answers, not " + answers.size(), () -> answers.size() >= wanted);
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
