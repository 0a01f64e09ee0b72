package org.trefoilpost.entry.job;

import java.util.List;
import java.util.Objects;

/**
 * A call to the store that did not do what it was asked.
 */
public final class StoreFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final transient List<StorePort.Item> currentItems;

    /**
     * Constructs a failure.
     *
     * @param kind  what is known of the call, not null
     * @param message  what happened, not null
     * @param present  for a conflict, the conditions' items as they are, not null
     */
    public StoreFailure(Kind kind, String message, List<StorePort.Item> present) {
        super(message, null, false, false);
        this.kind = Objects.requireNonNull(kind, "kind");
        this.currentItems = List.copyOf(present);
    }

    /**
     * Returns what is known of the call.
     *
     * @return the kind, not null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the items of the conditions of a change that conflicted.
     *
     * @return the items as they are, without those that do not exist, not null
     */
    public List<StorePort.Item> currentItems() {
        return currentItems;
    }

    /**
     * What is known of a call that failed.
     */
    public enum Kind {
        /** The store refused the call and did nothing. */
        REFUSED,
        /** No answer came; the call may have been carried out or may be later. */
        UNKNOWN,
        /** A condition did not hold, and nothing was done. */
        CONFLICT,
        /** The lease that the call named has ended, and nothing was done. */
        LEASE_ENDED,
        /** The history asked for has been dropped. */
        HISTORY_DROPPED
    }
}
