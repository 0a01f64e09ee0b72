package org.trefoilpost.decision.job.emulator;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The system's time, for an emulation that other programs connect to; all events run on one thread.
 */
public final class RealTime implements EmulatorTime, AutoCloseable {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "emulation");
        thread.setDaemon(true);
        return thread;
    });

    @Override
    public long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public void schedule(long millis, Runnable event) {
        executor.schedule(() -> run(event), Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    /**
     * Runs an action on the emulation's thread.
     *
     * @param <T>  the type of the result
     * @param action  the action, not null
     * @return the future result of the action, not null
     */
    public <T> CompletableFuture<T> call(Supplier<T> action) {
        return CompletableFuture.supplyAsync(action, executor);
    }

    /**
     * Stops the thread and discards the events that have not run.
     */
    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            // The executor drops the exception of a scheduled event, and the emulation is invalid after it.
            e.printStackTrace();
            throw e;
        }
    }
}
