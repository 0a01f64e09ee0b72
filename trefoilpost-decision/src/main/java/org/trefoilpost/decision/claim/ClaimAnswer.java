package org.trefoilpost.decision.claim;

/**
 * The complete answer of a target, stored so that repeats of the request receive the same answer.
 */
public interface ClaimAnswer {
    /**
     * Returns the memory that the answer takes up.
     *
     * @return the size in bytes, not negative
     */
    long sizeBytes();
}
