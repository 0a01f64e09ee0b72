package org.trefoilpost.decision.store;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;

/**
 * Decides whether an entry calls the store itself or through other entries.
 *
 * <p>Answers a store that refuses or does not answer some entries while it serves the others. The entry goes on to probe its
 * own path, and returns to it with the first answer. Not thread-safe.
 */
public final class StorePath {
    /**
     * The minimum time between the first and the latest failure before calls go through other entries. Calls on connections
     * that are reset together fail together; the next attempt may succeed.
     */
    private static final long MIN_FAILING_MILLIS = 100;

    /** Time without any answer after which a call that the store answers at once counts as failed. */
    private static final long MAX_ANSWER_MILLIS = 500;

    private static final long PROBE_INTERVAL_MILLIS = 500;
    /** Time for which an entry that could not pass a call on is not asked again. */
    private static final long PEER_PAUSE_MILLIS = 1_000;
    /** Time for which a call that an entry has passed on shows that the store can be reached. */
    private static final long PASSED_ON_VALID_MILLIS = 1_000;

    /** The maximum number of entries that are asked to pass on one call. */
    private static final int MAX_PEERS_PER_CALL = 2;

    private final Map<String, Long> pausedUntilMillis = new HashMap<>();
    /** When the first call was sent since the latest answer or failure, empty if none was. */
    private OptionalLong unansweredSinceMillis = OptionalLong.empty();

    private boolean failing;
    private boolean direct = true;
    private long failingSinceMillis;
    private long probedMillis;
    private long passedOnMillis = Long.MIN_VALUE / 2;
    private String preferredPeer;

    /**
     * Constructs a path that is used directly.
     *
     * @param self  the name of this entry, not null; different entries begin with different peers
     */
    public StorePath(String self) {
        this.preferredPeer = self;
    }

    /**
     * Returns whether this entry's own path counts as usable.
     *
     * @return false if calls go through other entries
     */
    public boolean isDirect() {
        return direct;
    }

    /**
     * Returns whether the store can be reached, directly or through another entry.
     *
     * @param nowMillis  the present time on the steady clock in milliseconds
     * @return true if calls are expected to be answered
     */
    public boolean isServed(long nowMillis) {
        return direct || nowMillis - passedOnMillis <= PASSED_ON_VALID_MILLIS;
    }

    /**
     * Records that a call was sent to the store that it answers at once.
     *
     * @param nowMillis  the present time on the steady clock in milliseconds
     */
    public void sent(long nowMillis) {
        if (unansweredSinceMillis.isEmpty()) {
            unansweredSinceMillis = OptionalLong.of(nowMillis);
        }
    }

    /**
     * Checks whether the store has been silent for too long.
     *
     * @param nowMillis  the present time on the steady clock in milliseconds
     * @return true if the path counts as unusable from now on
     */
    public boolean checkSilence(long nowMillis) {
        boolean silent =
                unansweredSinceMillis.isPresent() && nowMillis - unansweredSinceMillis.getAsLong() > MAX_ANSWER_MILLIS;
        return silent && direct && leave(nowMillis);
    }

    /**
     * Records that the store has answered a call of this entry.
     *
     * @return true if the path has become usable again
     */
    public boolean answered() {
        boolean returned = !direct;
        unansweredSinceMillis = OptionalLong.empty();
        failing = false;
        direct = true;
        return returned;
    }

    /**
     * Records that the store has refused a call of this entry or has not answered it.
     *
     * @param nowMillis  the present time on the steady clock in milliseconds
     * @return true if the path counts as unusable from now on
     */
    public boolean failed(long nowMillis) {
        unansweredSinceMillis = OptionalLong.empty();
        if (!failing) {
            failing = true;
            failingSinceMillis = nowMillis;
        }
        if (!direct || nowMillis - failingSinceMillis < MIN_FAILING_MILLIS) {
            return false;
        }
        return leave(nowMillis);
    }

    private boolean leave(long nowMillis) {
        direct = false;
        probedMillis = nowMillis;
        return true;
    }

    /**
     * Returns whether the unusable path is to be probed now; it then counts as probed.
     *
     * @param nowMillis  the present time on the steady clock in milliseconds
     * @return true if a call is to be sent to the store directly
     */
    public boolean takeProbe(long nowMillis) {
        if (direct || nowMillis - probedMillis < PROBE_INTERVAL_MILLIS) {
            return false;
        }
        probedMillis = nowMillis;
        return true;
    }

    /**
     * Returns the entries that are asked in turn to pass on a call, before the call is sent directly.
     *
     * @param connected  the names of the entries to which connections are established, not null
     * @param nowMillis  the present time on the steady clock in milliseconds
     * @return the names, empty if the call is sent directly at once, not null
     */
    public List<String> peersForCall(Collection<String> connected, long nowMillis) {
        List<String> peers = new ArrayList<>();
        if (direct) {
            return peers;
        }
        pausedUntilMillis.values().removeIf(untilMillis -> nowMillis >= untilMillis);
        TreeSet<String> available = new TreeSet<>(connected);
        available.removeAll(pausedUntilMillis.keySet());
        peers.addAll(available.tailSet(preferredPeer, true));
        peers.addAll(available.headSet(preferredPeer, false));
        return peers.subList(0, Math.min(MAX_PEERS_PER_CALL, peers.size()));
    }

    /**
     * Records that an entry has passed on a call and returned the store's answer.
     *
     * @param peer  the name of the entry, not null
     * @param nowMillis  the present time on the steady clock in milliseconds
     */
    public void passedOn(String peer, long nowMillis) {
        passedOnMillis = nowMillis;
        preferredPeer = peer;
    }

    /**
     * Records that an entry could not pass on a call, or did not return an answer.
     *
     * @param peer  the name of the entry, not null
     * @param nowMillis  the present time on the steady clock in milliseconds
     */
    public void notPassedOn(String peer, long nowMillis) {
        pausedUntilMillis.put(peer, nowMillis + PEER_PAUSE_MILLIS);
    }
}
