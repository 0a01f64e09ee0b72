package org.trefoilpost.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.trefoilpost.model.EntryId;

/**
 * Limits the attempts that one entry may have in flight in a pool whose slots it shares with its peers.
 *
 * <p>While no peer has requests queued, an entry may use every slot that its peers do not use. While peers have
 * requests queued, the slots that the other peers leave free are split evenly among those peers and this entry, so that
 * an entry above its share gives up slots as its attempts end. A share is confined to one thread.
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
     * @param peerLoadMaxAgeMillis  the age at which a peer's reported load expires, in milliseconds
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
     * @param queued  the peer's queued requests, not negative
     * @param nowMillis  the present time in milliseconds
     */
    public void recordPeerLoad(EntryId entry, int inFlight, int queued, long nowMillis) {
        peers.put(entry, new PeerLoad(inFlight, queued > 0, nowMillis));
    }

    /**
     * Returns the attempts that this entry may have in flight.
     *
     * @param usableSlots  the slots of the workers that take new work, not negative
     * @param nowMillis  the present time in milliseconds
     * @return the attempts, 0 without usable slots, otherwise at least 1
     */
    public int limit(int usableSlots, long nowMillis) {
        peers.values().removeIf(load -> nowMillis - load.reportedMillis >= peerLoadMaxAgeMillis);
        int used = 0;
        int usedBySatisfiedPeers = 0;
        int contendingPeers = 0;
        for (PeerLoad load : peers.values()) {
            used += load.inFlight;
            usedBySatisfiedPeers += load.hasQueued ? 0 : load.inFlight;
            contendingPeers += load.hasQueued ? 1 : 0;
        }
        int available = usableSlots - used;
        if (contendingPeers > 0) {
            int contenders = contendingPeers + 1;
            available = (usableSlots - usedBySatisfiedPeers + contendingPeers) / contenders;
        }
        return usableSlots == 0 ? 0 : Math.max(1, available);
    }

    /**
     * The load that a peer last reported.
     */
    private static final class PeerLoad {
        private final int inFlight;
        private final boolean hasQueued;
        private final long reportedMillis;

        private PeerLoad(int inFlight, boolean hasQueued, long reportedMillis) {
            this.inFlight = inFlight;
            this.hasQueued = hasQueued;
            this.reportedMillis = reportedMillis;
        }
    }
}
