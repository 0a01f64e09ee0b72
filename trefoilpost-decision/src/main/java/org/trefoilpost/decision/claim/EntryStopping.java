package org.trefoilpost.decision.claim;

/**
 * Reports that the entry stops. Every waiting request is concluded.
 */
public final class EntryStopping implements ClaimEvent {
    private EntryStopping() {}

    /**
     * Obtains an instance.
     *
     * @return the instance, not null
     */
    public static EntryStopping of() {
        return new EntryStopping();
    }

    /**
     * Returns the name of this type with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "EntryStopping()";
    }
}
