package org.trefoilpost.decision.claim;

import java.util.Objects;

/**
 * Reports a journal that cannot be used. The journal stays unchanged, and the entry does not own the shard.
 */
public final class JournalRefused implements ClaimAction {
    private final String storeKey;
    private final JournalFault fault;

    private JournalRefused(String storeKey, JournalFault fault) {
        this.storeKey = Objects.requireNonNull(storeKey, "storeKey");
        this.fault = Objects.requireNonNull(fault, "fault");
    }

    /**
     * Obtains an instance.
     *
     * @param storeKey  the key in the store, not null
     * @param fault  the fault found, not null
     * @return the instance, not null
     */
    public static JournalRefused of(String storeKey, JournalFault fault) {
        return new JournalRefused(storeKey, fault);
    }

    /**
     * Returns the key in the store.
     *
     * @return the key in the store, not null
     */
    public String storeKey() {
        return storeKey;
    }

    /**
     * Returns the fault found.
     *
     * @return the fault found, not null
     */
    public JournalFault fault() {
        return fault;
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "JournalRefused(" + storeKey + ", " + fault + ")";
    }
}
