package org.trefoilpost.entry.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.trefoilpost.decision.job.Decision;

/**
 * Ends the leases of owners whose process has ended, so that their pools need not wait until the leases expire.
 *
 * <p>An entry listens for its peers from before its first claim until its process ends. So a machine that refuses a
 * connection there runs that process no longer. Should the evidence ever be wrong, an owner loses its claim to a new
 * owner with a higher fencing token, as with any lease that ends.
 */
final class EndedOwners {
    /** The maximum delay of an entry's call, so that mostly one of all entries makes it. */
    private static final long MAX_DELAY_MILLIS = 150;

    private final JobContext context;
    private final Predicate<LiveEntries.Peer> refused;
    private final Map<LiveEntries.Peer, Long> refusedSinceMillis = new HashMap<>();
    private final Set<Long> endedLeases = new HashSet<>();

    /**
     * Constructs a detector.
     *
     * @param refused  tells whether the machine of an entry refused the last connection attempt
     */
    EndedOwners(JobContext context, Predicate<LiveEntries.Peer> refused) {
        this.context = context;
        this.refused = refused;
    }

    /**
     * Ends the leases of the owners whose machines refuse connections.
     */
    void tick(LiveEntries liveEntries, long nowMillis) {
        Set<LiveEntries.Peer> refusedOwners = new HashSet<>();
        for (LiveEntries.Owner owner : liveEntries.owners().values()) {
            if (refused.test(owner.peer())) {
                refusedOwners.add(owner.peer());
                long sinceMillis = refusedSinceMillis.computeIfAbsent(owner.peer(), peer -> nowMillis);
                if (nowMillis - sinceMillis >= delayMillis(owner.peer()) && endedLeases.add(owner.lease())) {
                    endLease(owner);
                }
            }
        }
        refusedSinceMillis.keySet().retainAll(refusedOwners);
    }

    private long delayMillis(LiveEntries.Peer owner) {
        String pair = context.settings().name() + '|' + owner.name();
        return Math.floorMod(pair.hashCode(), MAX_DELAY_MILLIS);
    }

    private void endLease(LiveEntries.Owner owner) {
        context.logDecision(Decision.of("owner-ended")
                .with("entry", owner.peer().name())
                .with("incarnation", owner.peer().incarnation())
                .with("lease", owner.lease()));
        context.call(() -> context.store().endLease(owner.lease()), (done, failure) -> {
            if (failure != null) {
                endedLeases.remove(owner.lease());
            }
        });
    }
}
