package org.trefoilpost.decision.claim;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Hash functions for keys, fingerprints and the choice of shard owners.
 */
final class Hashes {
    private static final String ALGORITHM = "SHA-256";

    private Hashes() {}

    static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(ALGORITHM + " is not available", e);
        }
    }

    static ByteBuffer finish(MessageDigest digest) {
        return ByteBuffer.wrap(digest.digest());
    }

    /** Mixes the bits of a value with the finalizer of SplitMix64. */
    static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
