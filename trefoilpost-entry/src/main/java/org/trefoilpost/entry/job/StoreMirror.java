package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.trefoilpost.decision.job.Decision;

/**
 * Follows all items below a prefix of the store. Its listener is called on the service's own thread.
 */
final class StoreMirror {
    private static final long WATCH_TIMEOUT_MILLIS = 2_500;
    private static final long RETRY_DELAY_MILLIS = 200;

    private final String prefix;
    private final JobContext context;
    private final Listener listener;
    private final LongSupplier watchDelayMillis;
    private final Map<String, StorePort.Item> items = new HashMap<>();
    private Map<String, StorePort.Item> itemsBeingRead = new HashMap<>();
    private final List<Runnable> refreshCallbacks = new ArrayList<>();
    private long revision;
    private boolean loaded;
    private boolean readInFlight;
    private boolean watching;
    private boolean connected;
    private long reconnectedMillis = Long.MIN_VALUE / 2;

    /**
     * Constructs a mirror that has not started.
     *
     * @param pauseMillis  how long to wait after changes before asking for more, in milliseconds
     */
    StoreMirror(String prefix, JobContext context, LongSupplier pauseMillis, Listener listener) {
        this.prefix = prefix;
        this.context = context;
        this.listener = listener;
        this.watchDelayMillis = pauseMillis;
    }

    /**
     * Reads all items again, and then tells someone besides the listener.
     */
    void refresh(Runnable done) {
        refreshCallbacks.add(done);
        if (!readInFlight) {
            read("", -1);
        }
    }

    void start() {
        read("", -1);
    }

    boolean isLoaded() {
        return loaded;
    }

    Map<String, StorePort.Item> items() {
        return items;
    }

    /**
     * Returns when the store was last heard of again after it had been silent, on the steady clock.
     */
    long reconnectedMillis() {
        return reconnectedMillis;
    }

    /**
     * Returns up to which revision the mirror has followed the store.
     */
    long revision() {
        return revision;
    }

    private void read(String after, long firstRevision) {
        readInFlight = true;
        if (after.isEmpty()) {
            itemsBeingRead = new HashMap<>();
        }
        context.onServiceThread(context.store().range(prefix, after), (page, failure) -> {
            if (failure != null) {
                storeFailed(failure);
                context.schedule(RETRY_DELAY_MILLIS, () -> read("", -1));
                return;
            }
            storeAnswered();
            page.items().forEach(item -> itemsBeingRead.put(item.key(), item));
            long begin = firstRevision < 0 ? page.revision() : firstRevision;
            if (page.hasMore() && !page.items().isEmpty()) {
                read(page.items().get(page.items().size() - 1).key(), begin);
            } else {
                replace(begin);
                if (!watching) {
                    watch();
                }
            }
        });
    }

    private void replace(long begin) {
        revision = begin;
        loaded = true;
        readInFlight = false;
        items.clear();
        items.putAll(itemsBeingRead);
        listener.reloaded();
        listener.changesApplied();
        List<Runnable> waiting = List.copyOf(refreshCallbacks);
        refreshCallbacks.clear();
        waiting.forEach(Runnable::run);
    }

    private void watch() {
        watching = true;
        long from = revision;
        context.onServiceThread(context.store().watch(prefix, from, WATCH_TIMEOUT_MILLIS), (changes, failure) -> {
            if (failure == null) {
                storeAnswered();
                if (from != revision) {
                    watch();
                    return;
                }
                revision = Math.max(revision, changes.revision());
                changes.changes().forEach(change -> apply(change.getKey(), change.getValue()));
                if (!changes.changes().isEmpty()) {
                    listener.changesApplied();
                }
                long pause = changes.changes().isEmpty() ? 0 : watchDelayMillis.getAsLong();
                context.schedule(pause, this::watch);
            } else if (failure instanceof StoreFailure known && known.kind() == StoreFailure.Kind.HISTORY_DROPPED) {
                watching = false;
                context.logDecision(Decision.failure("history-dropped")
                        .with("prefix", prefix)
                        .with("revision", revision));
                read("", -1);
            } else {
                storeFailed(failure);
                context.schedule(RETRY_DELAY_MILLIS, this::watch);
            }
        });
    }

    private void apply(String key, Optional<StorePort.Item> item) {
        if (item.isPresent()) {
            items.put(key, item.get());
        } else {
            items.remove(key);
        }
        listener.itemChanged(key, item);
    }

    private void storeAnswered() {
        long nowMillis = context.now().steadyMillis();
        if (!connected) {
            connected = true;
            reconnectedMillis = nowMillis;
            context.logDecision(Decision.of("dependency-regained").with("dependency", "store " + prefix));
        }
    }

    private void storeFailed(Throwable failure) {
        if (connected) {
            connected = false;
            context.logDecision(Decision.failure("dependency-lost")
                    .with("dependency", "store " + prefix)
                    .with("failure", String.valueOf(failure.getMessage())));
        }
    }

    /**
     * Is told of what the mirror holds.
     */
    interface Listener {
        /**
         * Is told that all items were read anew.
         */
        void reloaded();

        /**
         * Is told of a change of one item.
         */
        void itemChanged(String key, Optional<StorePort.Item> item);

        /**
         * Is told that all changes which are known so far have been passed on.
         */
        void changesApplied();
    }
}
