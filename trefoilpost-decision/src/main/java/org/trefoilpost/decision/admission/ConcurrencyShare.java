package org.trefoilpost.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.trefoilpost.model.EntryId;

/**
 * The attempts that one entry may have in flight in a pool.
 *
 * <p>While no peer has requests waiting, an entry may use every slot that its peers do not use. While peers have
 * requests waiting, the slots that the others leave are split evenly among the entries that want more, so that an
 * entry that holds more than its share gives slots up as its attempts end. One thread owns a share.
 */
public final class ConcurrencyShare {
    private final long peerLoadMaxAgeMillis;
    private final Map<EntryId, PeerLoad> peers = new HashMap<>();

    private ConcurrencyShare(long peerLoadMaxAgeMillis) {
        this.peerLoadMaxAgeMillis = peerLoadMaxAgeMillis;
    }

    /**
     * Obtains the share of an entry without peers.
     *
     * @param peerLoadMaxAgeMillis  the age at which a peer's load no longer counts, in milliseconds
     * @return the share, not null
     */
    public static ConcurrencyShare of(long peerLoadMaxAgeMillis) {
        return new ConcurrencyShare(peerLoadMaxAgeMillis);
    }

    /**
     * Records a peer's load in the pool.
     *
     * @param entry  the peer, not null
     * @param inFlight  the peer's attempts in flight, not negative
     * @param queued  the peer's requests that wait, not negative
     * @param nowMillis  the present time in milliseconds
     */
    public void recordPeerLoad(EntryId entry, int inFlight, int queued, long nowMillis) {
        peers.put(entry, new PeerLoad(inFlight, queued > 0, nowMillis));
    }

    /**
     * Returns the attempts that this entry may have in flight.
     *
     * @param usableSlots  the slots of the workers that take work, not negative
     * @param nowMillis  the present time in milliseconds
     * @return the attempts, at least 1 if there are usable slots
     */
    public int limit(int usableSlots, long nowMillis) {
        peers.values().removeIf(load -> nowMillis - load.reportedMillis >= peerLoadMaxAgeMillis);
        int used = 0;
        int usedBySatisfied = 0;
        int waitingPeers = 0;
        for (PeerLoad load : peers.values()) {
            used += load.inFlight;
            usedBySatisfied += load.waiting ? 0 : load.inFlight;
            waitingPeers += load.waiting ? 1 : 0;
        }
        int left = usableSlots - used;
        if (waitingPeers > 0) {
            int contenders = waitingPeers + 1;
            left = (usableSlots - usedBySatisfied + waitingPeers) / contenders;
        }
        return usableSlots == 0 ? 0 : Math.max(1, left);
    }

    /**
     * What a peer reported of its load.
     */
    private static final class PeerLoad {
        private final int inFlight;
        private final boolean waiting;
        private final long reportedMillis;

        private PeerLoad(int inFlight, boolean waiting, long reportedMillis) {
            this.inFlight = inFlight;
            this.waiting = waiting;
            this.reportedMillis = reportedMillis;
        }
    }
}
