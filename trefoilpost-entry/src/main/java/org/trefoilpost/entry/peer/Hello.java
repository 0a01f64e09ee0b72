package org.trefoilpost.entry.peer;

import org.trefoilpost.model.EntryId;

/**
 * Identifies the connecting entry and proves that it knows the shared secret.
 */
public final class Hello implements PeerMessage {
    private final EntryId entry;
    private final byte[] proof;

    private Hello(EntryId entry, byte[] proof) {
        this.entry = entry;
        this.proof = proof;
    }

    /**
     * Creates the message.
     *
     * @param entry  the connecting entry, not null
     * @param proof  the signature of the challenge, not null
     * @return the message, not null
     */
    public static Hello of(EntryId entry, byte[] proof) {
        return new Hello(entry, proof);
    }

    /**
     * Returns the connecting entry.
     *
     * @return the connecting entry, not null
     */
    public EntryId entry() {
        return entry;
    }

    /**
     * Returns the signature of the challenge.
     *
     * @return the signature of the challenge, not null
     */
    public byte[] proof() {
        return proof;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "Hello(" + entry + ")";
    }
}
