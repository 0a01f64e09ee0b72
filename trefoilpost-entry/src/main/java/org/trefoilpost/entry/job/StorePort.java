package org.trefoilpost.entry.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's metadata store. Every call that fails does so with a {@link StoreFailure}.
 */
public interface StorePort {
    /**
     * Reads an item in its newest state.
     *
     * @param key  the key, not null
     * @return the item, empty if there is none, not null
     */
    CompletableFuture<Optional<Item>> read(String key);

    /**
     * Reads a page of items in their newest state.
     *
     * @param prefix  what the keys begin with, not null
     * @param after  the key after which the page begins, without text for the first page, not null
     * @return the page, not null
     */
    CompletableFuture<Page> range(String prefix, String after);

    /**
     * Waits for changes.
     *
     * @param prefix  what the keys begin with, not null
     * @param afterRevision  the revision after which changes are told
     * @param waitMillis  the longest wait in milliseconds
     * @return the changes, not null
     */
    CompletableFuture<Changes> watch(String prefix, long afterRevision, long waitMillis);

    /**
     * Carries out a change whole or not at all.
     *
     * @param change  the change, not null
     * @return the revision of the change, not null
     */
    CompletableFuture<Long> commit(Change change);

    /**
     * Obtains a lease.
     *
     * @param timeToLiveMillis  how long the lease lasts after a renewal, in milliseconds
     * @return the lease's identifier, not null
     */
    CompletableFuture<Long> grantLease(long timeToLiveMillis);

    /**
     * Renews a lease.
     *
     * @param lease  the lease's identifier
     * @return true if the lease still stood, not null
     */
    CompletableFuture<Boolean> renewLease(long lease);

    /**
     * Ends a lease; its keys are removed.
     *
     * @param lease  the lease's identifier
     * @return completes when the lease has ended, not null
     */
    CompletableFuture<Void> endLease(long lease);

    /**
     * An item.
     *
     * @param key  the key, not null
     * @param value  the bytes, not null
     * @param revision  the revision of the last change
     */
    record Item(String key, byte[] value, long revision) {}

    /**
     * Some items in the order of their keys.
     *
     * @param items  the items, not null
     * @param hasMore  true if more items follow
     * @param revision  the store's revision
     */
    record Page(List<Item> items, boolean hasMore, long revision) {}

    /**
     * Changes since a revision.
     *
     * @param changes  the changes in their order; an item without a value was removed, not null
     * @param revision  the revision from which to go on
     */
    record Changes(List<Map.Entry<String, Optional<Item>>> changes, long revision) {}

    /**
     * A change under conditions.
     *
     * @param expected  the revisions that the keys must have, 0 for a key that must not exist, not null
     * @param puts  the items to write, not null
     * @param removed  the keys to remove, not null
     */
    record Change(Map<String, Long> expected, List<Put> puts, List<String> removedKeys) {}

    /**
     * An item to write.
     *
     * @param key  the key, not null
     * @param value  the bytes, not null
     * @param lease  the lease that the item ends with, 0 for none
     */
    record Put(String key, byte[] value, long lease) {}
}
