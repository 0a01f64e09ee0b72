package org.trefoilpost.entry.relay;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.entry.job.StorePort;

/**
 * A call to the store as a value, which this entry or another one can carry out.
 *
 * @param <T>  the type of the call's result
 */
sealed interface StoreCall<T> {
    /**
     * Sends the call to the store.
     */
    CompletableFuture<T> sendTo(StorePort store);

    /**
     * Returns the format in which the result is sent to another entry.
     */
    ResultFormat<T> resultFormat();

    /**
     * Returns how long the answer is awaited, in milliseconds.
     */
    default long timeoutMillis() {
        return StorePort.CALL_TIMEOUT_MILLIS;
    }

    /**
     * Returns whether the store answers the call without waiting for anything.
     */
    default boolean isAnsweredAtOnce() {
        return true;
    }

    /**
     * Reads an item.
     */
    record Read(String key) implements StoreCall<Optional<StorePort.Item>> {
        @Override
        public CompletableFuture<Optional<StorePort.Item>> sendTo(StorePort store) {
            return store.read(key);
        }

        @Override
        public ResultFormat<Optional<StorePort.Item>> resultFormat() {
            return ResultFormat.ITEM;
        }
    }

    /**
     * Reads a page of items.
     */
    record Range(String prefix, String after) implements StoreCall<StorePort.Page> {
        @Override
        public CompletableFuture<StorePort.Page> sendTo(StorePort store) {
            return store.range(prefix, after);
        }

        @Override
        public ResultFormat<StorePort.Page> resultFormat() {
            return ResultFormat.PAGE;
        }
    }

    /**
     * Waits for changes.
     */
    record Watch(String prefix, long afterRevision, WatchTimes times) implements StoreCall<StorePort.Changes> {
        @Override
        public CompletableFuture<StorePort.Changes> sendTo(StorePort store) {
            return store.watch(prefix, afterRevision, times);
        }

        @Override
        public ResultFormat<StorePort.Changes> resultFormat() {
            return ResultFormat.CHANGES;
        }

        @Override
        public long timeoutMillis() {
            return times.timeoutMillis();
        }

        @Override
        public boolean isAnsweredAtOnce() {
            return false;
        }
    }

    /**
     * Carries out a change.
     */
    record Commit(StorePort.Change change) implements StoreCall<Long> {
        @Override
        public CompletableFuture<Long> sendTo(StorePort store) {
            return store.commit(change);
        }

        @Override
        public ResultFormat<Long> resultFormat() {
            return ResultFormat.NUMBER;
        }
    }

    /**
     * Obtains a lease.
     */
    record GrantLease(long timeToLiveMillis) implements StoreCall<Long> {
        @Override
        public CompletableFuture<Long> sendTo(StorePort store) {
            return store.grantLease(timeToLiveMillis);
        }

        @Override
        public ResultFormat<Long> resultFormat() {
            return ResultFormat.NUMBER;
        }
    }

    /**
     * Renews a lease.
     */
    record RenewLease(long lease) implements StoreCall<Boolean> {
        @Override
        public CompletableFuture<Boolean> sendTo(StorePort store) {
            return store.renewLease(lease);
        }

        @Override
        public ResultFormat<Boolean> resultFormat() {
            return ResultFormat.FLAG;
        }
    }

    /**
     * Ends a lease.
     */
    record EndLease(long lease) implements StoreCall<Void> {
        @Override
        public CompletableFuture<Void> sendTo(StorePort store) {
            return store.endLease(lease);
        }

        @Override
        public ResultFormat<Void> resultFormat() {
            return ResultFormat.NOTHING;
        }
    }
}
