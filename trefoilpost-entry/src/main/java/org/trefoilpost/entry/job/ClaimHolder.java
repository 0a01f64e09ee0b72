package org.trefoilpost.entry.job;

import org.trefoilpost.decision.job.Moment;

/**
 * The part of an entry that works under a claim: the runner of a pool or of the machines.
 *
 * <p>A claim lapses when its lease ends, mostly because the store was away. The holder keeps its state then and waits:
 * if the claim is renewed before any other entry has claimed the pool, nothing has changed and the holder goes on.
 */
interface ClaimHolder {
    /**
     * Returns the name of the claimed pool.
     */
    String pool();

    /**
     * Returns the fencing token of the claim.
     */
    long token();

    /**
     * Returns the fencing token of the holder's first claim, which no other holder of the pool has.
     */
    long firstToken();

    /**
     * Returns the last known revision of the pool's counter key, which every claim and every commit writes.
     */
    long counterRevision();

    /**
     * Returns whether the claim has lapsed and is to be renewed.
     */
    boolean isLapsed();

    /**
     * Handles that the claim has lapsed.
     */
    void claimLapsed();

    /**
     * Handles that the claim was renewed, and that no other entry has held one in the meantime.
     *
     * @param token  the fencing token of the new claim, which is also a revision of the counter key; the present token if the claim has
     *     not lapsed after all
     * @param requested  the time at which the renewal was sent, not null
     */
    void claimRenewed(long token, Moment requested);

    /**
     * Handles a counter key that has changed, and returns whether a commit of this holder has changed it.
     *
     * @param counter  the counter key, not null
     * @return true if an earlier commit of this holder wrote it, so that the claim may still be renewed
     */
    boolean isOwnCounter(StorePort.Item counter);

    /**
     * Handles that the claim cannot be renewed.
     *
     * @param reason  the stable reason, not null
     */
    void claimLost(String reason);
}
