package org.trefoilpost.standins.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jboss.logging.Logger;

/**
 * The timer that all stand-ins of a process share.
 */
public final class Timers {
    private static final Logger LOG = Logger.getLogger(Timers.class);
    private static final ScheduledExecutorService EXECUTOR = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "standin-timer");
        thread.setDaemon(true);
        return thread;
    });

    private Timers() {}

    /**
     * Runs an asynchronous step after a while, or at once on the calling thread when there is nothing to wait for.
     *
     * @param <T>  the type of the step's result
     * @param millis  the time to wait in milliseconds
     * @param step  the step, not null
     * @return the step's result when it is there, not null
     */
    public static <T> CompletableFuture<T> after(long millis, Supplier<CompletableFuture<T>> step) {
        if (millis <= 0) {
            return step.get();
        }
        CompletableFuture<Void> elapsed = new CompletableFuture<>();
        EXECUTOR.schedule(() -> elapsed.complete(null), millis, TimeUnit.MILLISECONDS);
        return elapsed.thenCompose(nothing -> step.get());
    }

    /**
     * Runs a step again and again.
     *
     * @param millis  the time between two runs in milliseconds
     * @param step  the step, whose failures are logged, not null
     * @return the handle that ends the runs, not null
     */
    public static ScheduledFuture<?> every(long millis, Runnable step) {
        return EXECUTOR.scheduleWithFixedDelay(() -> runLogged(step), millis, millis, TimeUnit.MILLISECONDS);
    }

    private static void runLogged(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.error("a timed step failed", e);
        }
    }
}
