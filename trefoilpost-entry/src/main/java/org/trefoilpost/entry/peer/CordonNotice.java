package org.trefoilpost.entry.peer;

import java.util.Objects;

/**
 * Tells that a worker is cordoned or uncordoned by a step of a plan.
 */
public final class CordonNotice implements PeerMessage {
    private final CordonChange cordon;

    private CordonNotice(CordonChange cordon) {
        this.cordon = cordon;
    }

    /**
     * Obtains a message.
     *
     * @param cordon  the cordon, not null
     * @return the message, not null
     */
    public static CordonNotice of(CordonChange cordon) {
        return new CordonNotice(Objects.requireNonNull(cordon, "cordon"));
    }

    /**
     * Returns the cordon.
     *
     * @return the cordon, not null
     */
    public CordonChange cordon() {
        return cordon;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "CordonNotice(" + cordon + ")";
    }
}
