package org.trefoilpost.entry.peer;

/**
 * Asks a connecting entry to prove that it knows the shared secret.
 */
public final class Challenge implements PeerMessage {
    private final byte[] nonce;

    private Challenge(byte[] nonce) {
        this.nonce = nonce;
    }

    /**
     * Creates the message.
     *
     * @param nonce  the random bytes to sign, not copied, not null
     * @return the message, not null
     */
    public static Challenge of(byte[] nonce) {
        return new Challenge(nonce);
    }

    /**
     * Returns the random bytes to sign.
     *
     * @return the random bytes to sign, not null
     */
    public byte[] nonce() {
        return nonce;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "Challenge(" + "" + ")";
    }
}
