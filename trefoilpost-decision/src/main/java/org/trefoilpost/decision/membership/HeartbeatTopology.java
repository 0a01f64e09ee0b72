package org.trefoilpost.decision.membership;

/**
 * Decides which peers receive an entry's heartbeats, and which peers the entry may suspect when they are silent.
 *
 * <p>Positions number the entries that are live in the entry's view, including the entry itself, in the order of their
 * names.
 */
public interface HeartbeatTopology {
    /**
     * Returns whether an entry sends its heartbeats to a peer.
     *
     * @param own  the entry's position, from 0
     * @param peer  the peer's position, from 0
     * @param size  the number of positions
     * @return true if the peer is to receive the entry's heartbeats
     */
    boolean sendsTo(int own, int peer, int size);

    /**
     * Returns whether an entry suspects a peer whose heartbeats are missing.
     *
     * @param own  the entry's position, from 0
     * @param peer  the peer's position, from 0
     * @param size  the number of positions
     * @return true if the entry monitors the peer
     */
    boolean monitors(int own, int peer, int size);

    /**
     * Returns whether heartbeats carry the sender's suspicions to the peers that do not monitor the suspect.
     *
     * @return true if suspicions are disseminated, false if every entry relies on its own observations
     */
    boolean disseminatesSuspicions();
}
