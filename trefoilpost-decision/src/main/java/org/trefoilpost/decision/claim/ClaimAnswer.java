package org.trefoilpost.decision.claim;

/**
 * The whole answer of a target, kept to answer repeats of the request.
 */
public interface ClaimAnswer {
    /**
     * Returns the memory that the answer takes up.
     *
     * @return the size in bytes, not negative
     */
    long sizeBytes();
}
