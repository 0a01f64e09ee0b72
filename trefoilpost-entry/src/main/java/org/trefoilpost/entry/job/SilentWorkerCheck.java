package org.trefoilpost.entry.job;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Finds out which silent workers have ended, by listing the machines: a worker that runs on no machine has ended.
 */
final class SilentWorkerCheck {
    private static final long MACHINE_LIST_INTERVAL_MILLIS = 700;

    private final JobContext context;
    private final BiConsumer<String, String> workerEnded;
    private boolean listInFlight;
    private long lastListMillis;

    /**
     * Constructs a check.
     *
     * @param workerEnded  receives the identifier of a worker that has ended and the stable reason
     */
    SilentWorkerCheck(JobContext context, BiConsumer<String, String> workerEnded) {
        this.context = context;
        this.workerEnded = workerEnded;
    }

    /**
     * Lists the machines if there are silent workers and no list was requested recently.
     */
    void run(Set<String> silentWorkers, long nowMillis) {
        if (silentWorkers.isEmpty() || listInFlight || nowMillis - lastListMillis < MACHINE_LIST_INTERVAL_MILLIS) {
            return;
        }
        listInFlight = true;
        lastListMillis = nowMillis;
        context.call(() -> context.ports().machines().list(), (machines, failure) -> {
            listInFlight = false;
            if (failure == null) {
                Set<String> workersOnMachines = new HashSet<>();
                machines.forEach(machine -> workersOnMachines.add(machine.worker()));
                silentWorkers.stream()
                        .filter(worker -> !workersOnMachines.contains(worker))
                        .forEach(worker -> workerEnded.accept(worker, "not-on-any-machine"));
            }
        });
    }
}
