package org.trefoilpost.entry.job;

import java.util.function.Consumer;
import org.trefoilpost.decision.job.Moment;

/**
 * Confirms in the store that a holder's claim stands. Used on the service's thread only.
 */
final class OwnerCheck {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final ClaimHolder holder;
    private final JobContext context;
    private final Consumer<Moment> onConfirmed;
    private boolean inFlight;
    private long requestedMillis = NEVER_MILLIS;

    /**
     * Constructs a check.
     *
     * @param onConfirmed  receives the time at which a check was requested that has found the claim unchanged
     */
    OwnerCheck(ClaimHolder holder, JobContext context, Consumer<Moment> onConfirmed) {
        this.holder = holder;
        this.context = context;
        this.onConfirmed = onConfirmed;
    }

    /**
     * Returns when the last check was requested, on the steady clock in milliseconds, a time far in the past if there was none.
     */
    long requestedMillis() {
        return requestedMillis;
    }

    /**
     * Forgets when the last check was requested, so that the next one is due at once.
     */
    void forgetRequest() {
        requestedMillis = NEVER_MILLIS;
    }

    /**
     * Reads the owner's key, and tells the holder if its claim has lapsed or is lost. Does nothing while a check is under way.
     */
    void request(Moment now) {
        if (inFlight) {
            return;
        }
        inFlight = true;
        requestedMillis = now.steadyMillis();
        long token = holder.token();
        context.call(() -> context.store().read(LiveEntries.ownerKey(holder.pool())), (item, failure) -> {
            inFlight = false;
            // An answer from before a renewal says nothing of the present claim.
            if (failure != null || holder.token() != token) {
                return;
            }
            if (item.isEmpty()) {
                holder.claimLapsed();
            } else if (item.get().revision() == token) {
                onConfirmed.accept(now);
            } else if (!holder.isLapsed()) {
                holder.claimLost("store");
            }
        });
    }
}
