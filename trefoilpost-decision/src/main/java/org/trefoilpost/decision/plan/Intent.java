package org.trefoilpost.decision.plan;

/**
 * A change of the fleet that an operator requests.
 */
public sealed interface Intent permits CancelIntent, DrainIntent, MoveIntent, ReleaseIntent, ResizeIntent, WaveIntent {

    /**
     * Returns the value of the JSON field {@code kind}, such as {@code drain}.
     *
     * @return the kind, not null
     */
    String kind();
}
