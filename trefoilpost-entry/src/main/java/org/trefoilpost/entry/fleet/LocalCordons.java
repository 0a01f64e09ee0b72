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
 * The cordons in force at this entry, and the request path's view of them. The duty's thread owns it.
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
     * Takes in a cordon or an uncordon, and puts it in force on the request path.
     *
     * @param cordon  the cordon, not null
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
     * Takes in the cordons that a plan's state records, and ends those that a later release ended.
     *
     * @param state  the state, not null
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
     * Returns the newest attempt of a step whose cordon is in force here.
     *
     * @param plan  the digest of the plan, not null
     * @param step  the number of the step
     * @return the attempt, 0 if none
     */
    int acknowledgedAttempt(PlanDigest plan, int step) {
        return register.acknowledgedAttempt(plan, step);
    }

    /**
     * Returns the cordoned workers.
     *
     * @return the workers, not null
     */
    Set<WorkerId> cordonedWorkers() {
        return publishedWorkers;
    }

    private void publish() {
        Set<WorkerId> present = register.cordonedWorkers();
        if (present.equals(publishedWorkers)) {
            return;
        }
        publishedVersion++;
        LeavingRegister changes = LeavingRegister.empty();
        Set<WorkerId> concerned = new HashSet<>(publishedWorkers);
        concerned.addAll(present);
        for (WorkerId worker : concerned) {
            changes = changes.withCordon(worker, publishedVersion, present.contains(worker));
        }
        publishedWorkers = present;
        ports.updateLeavingWorkers(changes);
    }
}
