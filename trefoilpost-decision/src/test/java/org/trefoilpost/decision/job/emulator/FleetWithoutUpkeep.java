package org.trefoilpost.decision.job.emulator;

import org.trefoilpost.decision.job.fleet.FleetActions;

/**
 * A fleet whose machines are moved and never maintained.
 */
public abstract class FleetWithoutUpkeep implements FleetActions {
    @Override
    public final void beginUpkeep(String machine, long wave) {
        throw new IllegalStateException("no wave is requested here");
    }

    @Override
    public final void storeWave(long wave, String state, long revision, boolean completed) {
        throw new IllegalStateException("no wave is requested here");
    }

    @Override
    public final void ownershipLost(String machine) {
        throw new IllegalStateException("no order is fenced here");
    }
}
