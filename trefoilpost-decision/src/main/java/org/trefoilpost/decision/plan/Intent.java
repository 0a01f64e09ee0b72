package org.trefoilpost.decision.plan;

/**
 * What an operator asks of the fleet.
 */
public sealed interface Intent permits CancelIntent, DrainIntent, MoveIntent, ReleaseIntent, ResizeIntent, WaveIntent {

    /**
     * Returns the kind, the {@code kind} of the JSON.
     *
     * @return the kind, not null
     */
    String kind();
}
