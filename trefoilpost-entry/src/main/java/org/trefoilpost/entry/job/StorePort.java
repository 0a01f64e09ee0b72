package org.trefoilpost.entry.job;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.WatchTimes;

/**
 * The platform's metadata store. A call that fails completes with a {@link StoreFailure}.
 */
public interface StorePort {
    /** Time for which the answer to a call other than a watch is awaited, in milliseconds. */
    long CALL_TIMEOUT_MILLIS = 1_200;

    /**
     * Reads the latest version of an item.
     *
     * @param key  the key, not null
     * @return the item, empty if there is none, not null
     */
    CompletableFuture<Optional<Item>> read(String key);

    /**
     * Reads a page of the latest versions of items.
     *
     * @param prefix  the prefix of the keys, not null
     * @param after  the key after which the page begins, empty for the first page, not null
     * @return the page, not null
     */
    CompletableFuture<Page> range(String prefix, String after);

    /**
     * Waits for changes after a revision.
     *
     * @param prefix  the prefix of the keys, not null
     * @param afterRevision  the revision after which changes are returned
     * @param times  the maximum wait and the timeout of the call, not null
     * @return the changes, without any if the wait ended first, not null
     */
    CompletableFuture<Changes> watch(String prefix, long afterRevision, WatchTimes times);

    /**
     * Carries out a change atomically if its conditions hold.
     *
     * @param change  the change, not null
     * @return the revision of the change, not null
     */
    CompletableFuture<Long> commit(Change change);

    /**
     * Obtains a lease.
     *
     * @param timeToLiveMillis  how long the lease lasts after it is granted or renewed, in milliseconds
     * @return the lease's identifier, not null
     */
    CompletableFuture<Long> grantLease(long timeToLiveMillis);

    /**
     * Renews a lease.
     *
     * @param lease  the lease's identifier
     * @return true if the lease was renewed, false if it had ended, not null
     */
    CompletableFuture<Boolean> renewLease(long lease);

    /**
     * Ends a lease, which removes its items.
     *
     * @param lease  the lease's identifier
     * @return a future that completes when the lease has ended, not null
     */
    CompletableFuture<Void> endLease(long lease);

    /**
     * Sends later calls on new connections, because calls on open ones get no answer. Calls that are under way go on. A
     * call that times out has the same effect.
     */
    void renewConnections();

    /**
     * An item of the store.
     *
     * @param key  the key, not null
     * @param value  the bytes, not null
     * @param revision  the revision of the item's last change
     * @param lease  the identifier of the lease that the item is bound to, 0 if none
     */
    record Item(String key, byte[] value, long revision, long lease) {}

    /**
     * A page of items in the order of their keys.
     *
     * @param items  the items, not null
     * @param hasMore  true if more items follow
     * @param revision  the revision of the store at which the page was read
     */
    record Page(List<Item> items, boolean hasMore, long revision) {
        /**
         * Constructs a page with a copy of the items.
         *
         * @param items  the items, not null
         * @param hasMore  true if more items follow
         * @param revision  the revision of the store at which the page was read
         * @throws IllegalArgumentException if more items follow and the page has none, so that the next page cannot be asked
         *     for
         */
        public Page {
            items = List.copyOf(items);
            if (hasMore && items.isEmpty()) {
                throw new IllegalArgumentException("a page that more items follow has no items");
            }
        }

        /**
         * Returns the key after which the next page begins.
         *
         * @return the key, empty if this is the last page, not null
         */
        public Optional<String> nextAfter() {
            return hasMore ? Optional.of(items.get(items.size() - 1).key()) : Optional.empty();
        }
    }

    /**
     * Changes since a revision.
     *
     * @param changes  the keys and items in the order of the changes; the item is empty if it was removed, not null
     * @param revision  the revision after which to continue
     */
    record Changes(List<Map.Entry<String, Optional<Item>>> changes, long revision) {}

    /**
     * A conditional change of items.
     *
     * @param expected  the revisions that the keys must have, 0 for a key that must not exist, not null
     * @param puts  the items to write, not null
     * @param removedKeys  the keys to remove, not null
     */
    record Change(Map<String, Long> expected, List<Put> puts, List<String> removedKeys) {}

    /**
     * An item to write.
     *
     * @param key  the key, not null
     * @param value  the bytes, not null
     * @param lease  the identifier of the lease whose end removes the item, 0 for none
     */
    record Put(String key, byte[] value, long lease) {}
}
