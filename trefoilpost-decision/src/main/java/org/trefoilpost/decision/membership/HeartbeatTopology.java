package org.trefoilpost.decision.membership;

/**
 * Which peers get an entry's heartbeats, and whose silence the entry may judge.
 */
public interface HeartbeatTopology {
    /**
     * Returns whether an entry sends its heartbeats to a peer.
     *
     * @param own  the entry's position in the order of the entries' names, from 0
     * @param peer  the peer's position, from 0
     * @param size  the number of entries
     * @return true if it sends
     */
    boolean sendsTo(int own, int peer, int size);

    /**
     * Returns whether an entry judges a peer by its silence.
     *
     * @param own  the entry's position in the order of the entries' names, from 0
     * @param peer  the peer's position, from 0
     * @param size  the number of entries
     * @return true if it watches
     */
    boolean monitors(int own, int peer, int size);

    /**
     * Returns whether suspicions have to be told to the peers that do not watch.
     *
     * @return true if they have to be told
     */
    boolean disseminatesSuspicions();
}
