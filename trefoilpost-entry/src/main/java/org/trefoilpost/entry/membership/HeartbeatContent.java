package org.trefoilpost.entry.membership;

import org.trefoilpost.decision.membership.Heartbeat;

/**
 * The state that heartbeats carry in addition to the membership.
 */
public interface HeartbeatContent {
    /**
     * Adds this entry's state to a heartbeat.
     *
     * @param heartbeat  the builder of the heartbeat, not null
     */
    void fill(Heartbeat.Builder heartbeat);

    /**
     * Returns the identifier of the change that made the configuration in force.
     *
     * @return the identifier, empty if no configuration is in force, not null
     */
    String configurationChange();

    /**
     * Handles a peer's heartbeat.
     *
     * @param heartbeat  the heartbeat, not null
     * @param configurationChange  the identifier of the change that made the configuration in force at the peer,
     *     empty if none is in force, not null
     */
    void received(Heartbeat heartbeat, String configurationChange);
}
