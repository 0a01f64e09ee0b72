package org.trefoilpost.entry.job;

import org.trefoilpost.decision.job.fleet.MachineView;
import org.trefoilpost.decision.job.fleet.OrderOutcome;

/**
 * Converts the values of the machine service to those of the fleet's decisions.
 */
final class MachineConversions {
    private MachineConversions() {}

    static MachineView toView(MachinePort.Machine machine) {
        return new MachineView(
                machine.name(),
                machine.pool(),
                machine.state() == MachinePort.State.UP,
                machine.state() == MachinePort.State.UPKEEP,
                machine.worker(),
                machine.cpuMillis());
    }

    static OrderOutcome toOrderOutcome(MachinePort.Outcome outcome) {
        return switch (outcome) {
            case DONE -> OrderOutcome.DONE;
            case FENCED -> OrderOutcome.FENCED;
            case BUSY -> OrderOutcome.BUSY;
            case REJECTED -> OrderOutcome.REJECTED;
            case REFUSED -> OrderOutcome.REFUSED;
            case UNKNOWN -> OrderOutcome.UNKNOWN;
        };
    }
}
