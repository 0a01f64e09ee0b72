package org.trefoilpost.entry.platform;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.runtime.MillisClock;

/**
 * Watches a prefix of the key-value service for as long as the entry runs, with one waiting call at a time.
 */
public final class StoreWatcher implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(StoreWatcher.class);
    /** The longest wait of a call. */
    public static final Duration WAIT = Duration.ofSeconds(4);

    private static final long FAILURE_DELAY_MILLIS = 500;

    private final KeyValueStore store;
    private final String prefix;
    private final Listener listener;
    private final MillisClock clock;
    private volatile boolean closed;
    private boolean failing;

    private StoreWatcher(KeyValueStore store, String prefix, Listener listener, MillisClock clock) {
        this.store = store;
        this.prefix = prefix;
        this.listener = listener;
        this.clock = clock;
    }

    /**
     * Starts to watch.
     *
     * @param store  the service, not null
     * @param prefix  the prefix of the keys, not null
     * @param afterRevision  the revision after which a change counts
     * @param listener  what is told of answers, not null
     * @param clock  the clock, not null
     * @return the watcher, not null
     */
    public static StoreWatcher start(
            KeyValueStore store, String prefix, long afterRevision, Listener listener, MillisClock clock) {
        StoreWatcher watcher = new StoreWatcher(
                store, Objects.requireNonNull(prefix, "prefix"), Objects.requireNonNull(listener, "listener"), clock);
        watcher.watch(afterRevision);
        return watcher;
    }

    /**
     * Ends the watch after the call under way.
     */
    @Override
    public void close() {
        closed = true;
    }

    private void watch(long afterRevision) {
        if (closed) {
            return;
        }
        long startMillis = clock.nowMillis();
        store.watch(prefix, afterRevision, WAIT).whenComplete((answer, failure) -> {
            if (failure == null) {
                failing = false;
                listener.answered(answer, startMillis);
                watch(answer.revision());
            } else {
                failed(afterRevision, failure);
            }
        });
    }

    private void failed(long afterRevision, Throwable failure) {
        if (!failing) {
            LOG.warn(LogEvent.of("store-watch-failed").with("prefix", prefix).withFailure(failure));
            failing = true;
        }
        CompletableFuture.delayedExecutor(FAILURE_DELAY_MILLIS, TimeUnit.MILLISECONDS)
                .execute(() -> watch(afterRevision));
    }

    /**
     * Is told of each answer to the watch.
     */
    @FunctionalInterface
    public interface Listener {
        /**
         * Takes in an answer; must not block.
         *
         * @param answer  the answer, without changes when the wait ended, not null
         * @param startMillis  the time at which the call was made, in milliseconds since 1970
         */
        void answered(WatchAnswer answer, long startMillis);
    }
}
