package org.trefoilpost.entry.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value service.
 *
 * <p>Every future fails with a {@link StoreException}, which says whether the call may have taken effect.
 */
public interface KeyValueStore {
    /** The most bytes that a value may have. */
    int MAX_VALUE_BYTES = 1024 * 1024;

    /**
     * Reads a key.
     *
     * @param key  the key, not null
     * @return the value, empty if the key does not exist, not null
     */
    CompletableFuture<Optional<StoredValue>> read(String key);

    /**
     * Reads all keys under a prefix.
     *
     * @param prefix  the prefix, not null
     * @return the values sorted by key, not null
     */
    CompletableFuture<List<StoredValue>> list(String prefix);

    /**
     * Writes a key if its revision is the one expected.
     *
     * @param key  the key, not null
     * @param expectedRevision  the revision expected, 0 if the key must not exist
     * @param bytes  the value, at most {@link #MAX_VALUE_BYTES}, not null
     * @param lease  the lease with whose end the key goes, empty if it stays, not null
     * @return the outcome, not null
     */
    CompletableFuture<WriteOutcome> write(String key, long expectedRevision, byte[] bytes, Optional<String> lease);

    /**
     * Deletes a key if its revision is the one expected.
     *
     * @param key  the key, not null
     * @param expectedRevision  the revision expected, positive
     * @return the outcome, written also when the key was already gone, not null
     */
    CompletableFuture<WriteOutcome> delete(String key, long expectedRevision);

    /**
     * Waits until a key under a prefix changes.
     *
     * @param prefix  the prefix, not null
     * @param afterRevision  the revision after which a change counts
     * @param wait  the longest wait, not null
     * @return the changes, without any when the wait ended, not null
     */
    CompletableFuture<WatchAnswer> watch(String prefix, long afterRevision, Duration wait);

    /**
     * Obtains a lease.
     *
     * @param timeToLive  the time after which the lease lapses unless renewed, not null
     * @return the lease's identifier, not null
     */
    CompletableFuture<String> grantLease(Duration timeToLive);

    /**
     * Renews a lease.
     *
     * @param lease  the lease's identifier, not null
     * @return true if the lease was renewed, false if it has lapsed, not null
     */
    CompletableFuture<Boolean> renewLease(String lease);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param lease  the lease's identifier, not null
     * @return the end, not null
     */
    CompletableFuture<Void> endLease(String lease);
}
