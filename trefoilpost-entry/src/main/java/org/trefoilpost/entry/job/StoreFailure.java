package org.trefoilpost.entry.job;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Indicates that a call to the store failed.
 */
public final class StoreFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final Kind kind;
    private final transient List<StorePort.Item> currentItems;

    /**
     * Constructs a failure.
     *
     * @param kind  the kind of failure, not null
     * @param message  the description of the failure, not null
     * @param currentItems  for a conflict, the present items under the keys of the conditions, else empty, not null
     */
    public StoreFailure(Kind kind, String message, List<StorePort.Item> currentItems) {
        super(message, null, false, false);
        this.kind = Objects.requireNonNull(kind, "kind");
        this.currentItems = List.copyOf(currentItems);
    }

    /**
     * Returns the kind of failure, which tells whether the call may have taken effect.
     *
     * @return the kind, not null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the present items under the keys of the conditions of a change that conflicted.
     *
     * @return the items, without those that do not exist, empty if the failure is not a conflict, not null
     */
    public List<StorePort.Item> currentItems() {
        return currentItems;
    }

    /**
     * Returns the present item under a key of the conditions of a change that conflicted.
     *
     * @param key  the key, not null
     * @return the item, empty if it does not exist, not null
     */
    public Optional<StorePort.Item> currentItem(String key) {
        return currentItems.stream().filter(item -> item.key().equals(key)).findFirst();
    }

    /**
     * The kinds of failure.
     */
    public enum Kind {
        /** The store refused the call; it had no effect. */
        REFUSED,
        /** The store did not answer; the call may have taken effect, or may do so later. */
        UNKNOWN,
        /** A condition of the change did not hold; the call had no effect. */
        CONFLICT,
        /** The lease that the call named has ended; the call had no effect. */
        LEASE_ENDED,
        /** The store no longer has the requested history. */
        HISTORY_DROPPED
    }
}
