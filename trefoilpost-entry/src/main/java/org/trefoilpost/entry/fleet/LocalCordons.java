package org.trefoilpost.entry.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.decision.wave.CordonRegister;
import org.trefoilpost.decision.wave.OutOfServiceWorkers;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.entry.peer.CordonChange;
import org.trefoilpost.model.WorkerId;

/**
 * The cordons in force at this entry. Publishes changes to the request path. Confined to the fleet service's thread.
 */
final class LocalCordons {
    private final CordonRegister register = new CordonRegister();
    private final FleetPorts ports;
    private Set<WorkerId> publishedWorkers = Set.of();
    private long publishedVersion;

    LocalCordons(FleetPorts ports) {
        this.ports = ports;
    }

    /**
     * Applies a cordon or an uncordon, and publishes the result to the request path.
     *
     * @param cordon  the cordon or uncordon, not null
     */
    void apply(CordonChange cordon) {
        if (cordon.isCordoned()) {
            register.cordon(cordon.plan(), cordon.step(), cordon.attempt(), cordon.worker());
        } else {
            register.uncordon(cordon.plan(), cordon.step(), cordon.attempt(), cordon.worker());
        }
        publish();
    }

    /**
     * Applies the cordons that a plan's state records, and ends the cordons of workers that a later plan released.
     *
     * @param state  the state of the plan that was read or written, not null
     * @param plans  the states of all confirmed plans, not null
     */
    void apply(WaveState state, Collection<WaveState> plans) {
        register.load(state);
        OutOfServiceWorkers outOfService = OutOfServiceWorkers.of(plans);
        plans.forEach(plan -> endReleased(plan, outOfService));
        publish();
    }

    private void endReleased(WaveState plan, OutOfServiceWorkers outOfService) {
        plan.plan()
                .steps()
                .filter(step -> outOfService.isReleasedByLaterPlan(plan, step.worker()))
                .forEach(step -> register.uncordon(
                        plan.plan().digest(), step.number(), plan.state(step).attempt(), step.worker()));
    }

    /**
     * Returns the newest attempt of a step whose cordon this entry has acknowledged.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @return the attempt, counted from 1, or 0 if none
     */
    int acknowledgedAttempt(PlanDigest plan, int step) {
        return register.acknowledgedAttempt(plan, step);
    }

    /**
     * Returns the cordoned workers as last published to the request path.
     *
     * @return the workers, may be empty, not null
     */
    Set<WorkerId> cordonedWorkers() {
        return publishedWorkers;
    }

    private void publish() {
        Set<WorkerId> cordoned = register.cordonedWorkers();
        if (cordoned.equals(publishedWorkers)) {
            return;
        }
        publishedVersion++;
        LeavingRegister changes = LeavingRegister.empty();
        Set<WorkerId> affected = new HashSet<>(publishedWorkers);
        affected.addAll(cordoned);
        for (WorkerId worker : affected) {
            changes = changes.withCordon(worker, publishedVersion, cordoned.contains(worker));
        }
        publishedWorkers = cordoned;
        ports.updateLeavingWorkers(changes);
    }
}
