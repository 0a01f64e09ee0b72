package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Updates the workers of the pool from the registry.
 */
final class WorkerRegistrations {
    private final PoolState state;
    private final WorkerRestarts restarts;

    WorkerRegistrations(PoolState state, WorkerRestarts restarts) {
        this.state = state;
        this.restarts = restarts;
    }

    /**
     * Updates the workers of the pool that the registry lists.
     */
    void update(Collection<RegisteredWorker> listed, Moment now) {
        Set<String> present = new TreeSet<>();
        for (RegisteredWorker registration : listed) {
            present.add(registration.id());
            PoolWorker known = state.workers.computeIfAbsent(registration.id(), id -> new PoolWorker(registration));
            Optional<PoolWorker> registered = restarts.registered(known, registration.incarnation(), now);
            if (registered.isEmpty()) {
                continue;
            }
            PoolWorker worker = registered.get();
            if (registration.draining() && !worker.registration.draining()) {
                state.actions.logDecision(Decision.of("worker-draining").with("worker", worker.id));
            }
            worker.register(registration).ifPresent(state.actions::logDecision);
            worker.gone = worker.listed ? worker.gone : Optional.empty();
            worker.listed = true;
        }
        for (PoolWorker worker : state.workers.values()) {
            if (worker.listed && !present.contains(worker.id)) {
                worker.listed = false;
                state.actions.logDecision(Decision.of("worker-unlisted")
                        .with("worker", worker.id)
                        .with("runs", worker.runs.size())
                        .with("answerAge", worker.answerAgeMillis(now.steadyMillis())));
            }
        }
        state.placementDue = true;
    }
}
