package org.trefoilpost.decision.claim;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.EntryId;

/**
 * Reports that this entry has lost or released the shard, or failed to take it over.
 */
public final class OwnershipLost implements ClaimAction {
    private final long epoch;
    private final Optional<EntryId> successor;

    private OwnershipLost(long epoch, Optional<EntryId> successor) {
        this.epoch = epoch;
        this.successor = Objects.requireNonNull(successor, "successor");
    }

    /**
     * Obtains an instance.
     *
     * @param epoch  the last epoch that this entry held, 0 if none
     * @param successor  the new owner, empty if it is unknown, not null
     * @return the instance, not null
     */
    public static OwnershipLost of(long epoch, Optional<EntryId> successor) {
        return new OwnershipLost(epoch, successor);
    }

    /**
     * Returns the last epoch that this entry held, 0 if none.
     *
     * @return the last epoch that this entry held
     */
    public long epoch() {
        return epoch;
    }

    /**
     * Returns the new owner, empty if it is unknown.
     *
     * @return the new owner, not null
     */
    public Optional<EntryId> successor() {
        return successor;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "OwnershipLost(" + epoch + ", " + successor + ")";
    }
}
