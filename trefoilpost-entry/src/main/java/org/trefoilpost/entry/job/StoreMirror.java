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
    private static final long WATCH_MILLIS = 2_500;
    private static final long RETRY_MILLIS = 200;

    private final String prefix;
    private final JobContext context;
    private final Listener listener;
    private final LongSupplier pauseMillis;
    private final Map<String, StorePort.Item> items = new HashMap<>();
    private Map<String, StorePort.Item> reading = new HashMap<>();
    private final List<Runnable> afterRead = new ArrayList<>();
    private long revision;
    private boolean loaded;
    private boolean readingNow;
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
        this.pauseMillis = pauseMillis;
    }

    /**
     * Reads all items again, and then tells someone besides the listener.
     */
    void refresh(Runnable done) {
        afterRead.add(done);
        if (!readingNow) {
            read("", -1);
        }
    }

    void start() {
        read("", -1);
    }

    boolean loaded() {
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
        readingNow = true;
        if (after.isEmpty()) {
            reading = new HashMap<>();
        }
        context.onDuty(context.store().range(prefix, after), (page, failure) -> {
            if (failure != null) {
                lost(failure);
                context.later(RETRY_MILLIS, () -> read("", -1));
                return;
            }
            answered();
            page.items().forEach(item -> reading.put(item.key(), item));
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
        readingNow = false;
        items.clear();
        items.putAll(reading);
        listener.replaced();
        listener.settled();
        List<Runnable> waiting = List.copyOf(afterRead);
        afterRead.clear();
        waiting.forEach(Runnable::run);
    }

    private void watch() {
        watching = true;
        long from = revision;
        context.onDuty(context.store().watch(prefix, from, WATCH_MILLIS), (changes, failure) -> {
            if (failure == null) {
                answered();
                if (from != revision) {
                    watch();
                    return;
                }
                revision = Math.max(revision, changes.revision());
                changes.changes().forEach(change -> apply(change.getKey(), change.getValue()));
                if (!changes.changes().isEmpty()) {
                    listener.settled();
                }
                long pause = changes.changes().isEmpty() ? 0 : pauseMillis.getAsLong();
                context.later(pause, this::watch);
            } else if (failure instanceof StoreFailure known && known.kind() == StoreFailure.Kind.HISTORY_DROPPED) {
                watching = false;
                context.decided(Decision.failure("history-dropped")
                        .with("prefix", prefix)
                        .with("revision", revision));
                read("", -1);
            } else {
                lost(failure);
                context.later(RETRY_MILLIS, this::watch);
            }
        });
    }

    private void apply(String key, Optional<StorePort.Item> item) {
        if (item.isPresent()) {
            items.put(key, item.get());
        } else {
            items.remove(key);
        }
        listener.changed(key, item);
    }

    private void answered() {
        long nowMillis = context.now().steadyMillis();
        if (!connected) {
            connected = true;
            reconnectedMillis = nowMillis;
            context.decided(Decision.of("dependency-regained").with("dependency", "store " + prefix));
        }
    }

    private void lost(Throwable failure) {
        if (connected) {
            connected = false;
            context.decided(Decision.failure("dependency-lost")
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
        void replaced();

        /**
         * Is told of a change of one item.
         */
        void changed(String key, Optional<StorePort.Item> item);

        /**
         * Is told that all changes which are known so far have been passed on.
         */
        void settled();
    }
}
