package org.trefoilpost.entry.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.trefoilpost.decision.job.Decision;

/**
 * Finds out which silent workers have ended, by listing the machines: a worker that two lists in a row show on no machine, or on one
 * that is down, has ended. A single list may lack machines, as it is no snapshot.
 */
final class SilentWorkerCheck {
    private static final long MACHINE_LIST_INTERVAL_MILLIS = 700;
    /** Interval before the list that confirms that workers are on no machine. */
    private static final long CONFIRMATION_INTERVAL_MILLIS = 150;

    private final JobContext context;
    private final BiConsumer<String, String> workerEnded;
    /** The silent workers that the latest list shows on no machine that may run them. */
    private Set<String> missingWorkers = Set.of();

    /** The states of the machines that are said to run silent workers, as last logged, by worker. */
    private final Map<String, MachinePort.State> loggedStates = new HashMap<>();

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
        // A worker that has answered meanwhile starts over.
        missingWorkers = intersection(missingWorkers, silentWorkers);
        long intervalMillis = missingWorkers.isEmpty() ? MACHINE_LIST_INTERVAL_MILLIS : CONFIRMATION_INTERVAL_MILLIS;
        if (silentWorkers.isEmpty() || listInFlight || nowMillis - lastListMillis < intervalMillis) {
            return;
        }
        listInFlight = true;
        lastListMillis = nowMillis;
        context.call(() -> context.ports().machines().list(), (machines, failure) -> {
            listInFlight = false;
            if (failure == null) {
                machinesListed(silentWorkers, machines, nowMillis);
            } else {
                logFailure(silentWorkers, failure);
            }
        });
    }

    private void machinesListed(Set<String> silentWorkers, List<MachinePort.Machine> machines, long requestedMillis) {
        Set<String> missing = new HashSet<>(silentWorkers);
        Set<String> onMachinesDown = new HashSet<>();
        for (MachinePort.Machine machine : machines) {
            if (machine.state() == MachinePort.State.DOWN) {
                onMachinesDown.add(machine.worker());
            } else {
                missing.remove(machine.worker());
            }
        }
        logListed(silentWorkers, machines, requestedMillis);
        missing.stream()
                .filter(missingWorkers::contains)
                .forEach(worker -> workerEnded.accept(
                        worker, onMachinesDown.contains(worker) ? "machine-down" : "not-on-any-machine"));
        missing.removeAll(missingWorkers);
        missingWorkers = missing;
    }

    /** Logs the silent workers that a machine is said to run, again only when the state of the machine has changed. */
    private void logListed(Set<String> silentWorkers, List<MachinePort.Machine> machines, long requestedMillis) {
        loggedStates.keySet().retainAll(silentWorkers);
        for (MachinePort.Machine machine : machines) {
            if (silentWorkers.contains(machine.worker())
                    && loggedStates.put(machine.worker(), machine.state()) != machine.state()) {
                context.logDecision(Decision.of("silent-worker-listed")
                        .with("worker", machine.worker())
                        .with("machine", machine.name())
                        .with("state", machine.state().name())
                        .with("listAge", context.now().steadyMillis() - requestedMillis));
            }
        }
    }

    private void logFailure(Set<String> silentWorkers, Throwable failure) {
        context.logDecision(Decision.failure("silent-worker-list-failed")
                .with("workers", silentWorkers.size())
                .with("failure", String.valueOf(failure.getMessage())));
    }

    private static Set<String> intersection(Set<String> first, Set<String> second) {
        Set<String> both = new HashSet<>(first);
        both.retainAll(second);
        return both;
    }
}
