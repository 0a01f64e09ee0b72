package org.trefoilpost.entry.membership;

import org.trefoilpost.decision.membership.Heartbeat;

/**
 * What heartbeats carry beside the membership itself.
 */
public interface HeartbeatContent {
    /**
     * Adds this entry's state to a heartbeat.
     *
     * @param heartbeat  the builder of the heartbeat, not null
     */
    void fill(Heartbeat.Builder heartbeat);

    /**
     * Returns the change that made the configuration in force.
     *
     * @return the change, without text if none is in force, not null
     */
    String configurationChange();

    /**
     * Takes in a peer's heartbeat.
     *
     * @param heartbeat  the heartbeat, not null
     * @param configurationChange  the change that made the configuration in force at the peer, without text if none
     *     is, not null
     */
    void received(Heartbeat heartbeat, String configurationChange);
}
