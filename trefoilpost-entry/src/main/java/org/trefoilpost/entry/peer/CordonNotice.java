package org.trefoilpost.entry.peer;

import java.util.Objects;

/**
 * Announces that a step of a plan cordoned or uncordoned a worker.
 */
public final class CordonNotice implements PeerMessage {
    private final CordonChange cordon;

    private CordonNotice(CordonChange cordon) {
        this.cordon = cordon;
    }

    /**
     * Creates the message.
     *
     * @param cordon  the cordon or uncordon, not null
     * @return the message, not null
     */
    public static CordonNotice of(CordonChange cordon) {
        return new CordonNotice(Objects.requireNonNull(cordon, "cordon"));
    }

    /**
     * Returns the cordon or uncordon.
     *
     * @return the change, not null
     */
    public CordonChange cordon() {
        return cordon;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "CordonNotice(" + cordon + ")";
    }
}
