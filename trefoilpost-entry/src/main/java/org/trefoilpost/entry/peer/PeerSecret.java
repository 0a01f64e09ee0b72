package org.trefoilpost.entry.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.Objects;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.trefoilpost.model.EntryId;

/**
 * The secret that entries share. A connecting entry signs the challenge with it (HMAC-SHA-256).
 */
final class PeerSecret {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int NONCE_BYTES = 16;
    /** The key used if no secret is set; the settings allow that on the loopback interface only. */
    private static final String UNSECURED_KEY = "none";

    private final SecureRandom random = new SecureRandom();
    private final byte[] key;

    private PeerSecret(byte[] key) {
        this.key = key;
    }

    /**
     * Creates a secret.
     *
     * @param text  the secret, empty if none is set, not null
     * @return the secret, not null
     */
    static PeerSecret of(String text) {
        String secret = Objects.requireNonNull(text, "text").isEmpty() ? UNSECURED_KEY : text;
        return new PeerSecret(secret.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns new random bytes to sign.
     *
     * @return the bytes, not null
     */
    byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    /**
     * Signs a challenge and the name of the connecting entry.
     *
     * @param nonce  the challenge, not null
     * @param entry  the connecting entry, not null
     * @return the signature, not null
     */
    byte[] sign(byte[] nonce, EntryId entry) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key, ALGORITHM));
            mac.update(nonce);
            return mac.doFinal(entry.text().getBytes(StandardCharsets.UTF_8));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("cannot sign with " + ALGORITHM, e);
        }
    }

    /**
     * Returns whether the signature of a connecting entry matches the challenge.
     *
     * @param nonce  the challenge, not null
     * @param hello  the connecting entry and its signature, not null
     * @return true if the connecting entry knows the secret
     */
    boolean verifies(byte[] nonce, Hello hello) {
        return MessageDigest.isEqual(sign(nonce, hello.entry()), hello.proof());
    }
}
