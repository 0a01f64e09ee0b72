package org.trefoilpost.decision.job.emulator;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The time of the machine, for an emulation that programs are run against; all events run on one thread.
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
    public void schedule(long millis, Runnable event) {
        executor.schedule(() -> run(event), Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a step on the emulation's thread.
     *
     * @param <T>  the type of the result
     * @param step  the step, not null
     * @return the result, not null
     */
    public <T> CompletableFuture<T> call(Supplier<T> step) {
        return CompletableFuture.supplyAsync(step, executor);
    }

    /**
     * Stops all events that have not run.
     */
    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            // A scheduled event has nobody to report to, and the emulation is wrong from here on.
            e.printStackTrace();
            throw e;
        }
    }
}
