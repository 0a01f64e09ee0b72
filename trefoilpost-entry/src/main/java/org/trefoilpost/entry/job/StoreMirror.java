package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.WatchTimes;

/**
 * A local copy of all items under a key prefix of the store: reads them once and then watches for changes. Used on the
 * service's thread only, on which it also calls its listener.
 */
final class StoreMirror {
    private static final long RETRY_DELAY_MILLIS = 200;

    private final String prefix;
    private final JobContext context;
    private final Listener listener;
    private final WatchTimes watchTimes;
    private final LongSupplier watchDelayMillis;
    private final StoreContact contact;
    private final Map<String, StorePort.Item> items = new HashMap<>();
    private final List<Runnable> refreshCallbacks = new ArrayList<>();
    private long revision;
    private boolean loaded;
    /** The read under way, null if there is none. */
    private ItemRead currentRead;

    private boolean watching;
    /** Whether the next watch call waits for the delay after changes. */
    private boolean watchDelayed;

    private long watchNumber;
    private int unansweredWatches;
    /** Whether the next watch is to end soon, as the last one has not shown that there are no further changes. */
    private boolean confirmSoon;

    /** The latest time for which the store has confirmed that no change is missing, at first that of the construction. */
    private long confirmedMillis;

    /**
     * Constructs a mirror that has not been started.
     *
     * @param watchTimes  the times of its watch calls
     * @param watchDelayMillis  supplies the delay after changes before the next watch call, in milliseconds
     */
    StoreMirror(
            String prefix,
            JobContext context,
            WatchTimes watchTimes,
            LongSupplier watchDelayMillis,
            Listener listener) {
        this.prefix = prefix;
        this.context = context;
        this.listener = listener;
        this.watchTimes = watchTimes;
        this.watchDelayMillis = watchDelayMillis;
        this.contact = new StoreContact(prefix, context);
        this.confirmedMillis = context.now().steadyMillis();
    }

    /**
     * Reads all items again, and runs a callback after the listener has been called. The watch goes on after the read
     * without a delay that was chosen before.
     */
    void refresh(Runnable done) {
        refreshCallbacks.add(done);
        if (currentRead == null) {
            read();
        }
    }

    void start() {
        read();
    }

    /**
     * Ends the read or watch that is under way; its answer is ignored. The mirror can be started again.
     */
    void stop() {
        currentRead = null;
        watching = false;
        watchNumber++;
    }

    boolean isLoaded() {
        return loaded;
    }

    Map<String, StorePort.Item> items() {
        return items;
    }

    /**
     * Returns when the store first answered after the last failure, on the steady clock in milliseconds.
     */
    long reconnectedMillis() {
        return contact.reconnectedMillis();
    }

    /**
     * Returns the revision of the store up to which the mirror has applied changes.
     */
    long revision() {
        return revision;
    }

    /**
     * Reads all items. An earlier read that has not ended is abandoned.
     */
    private void read() {
        currentRead = new ItemRead(context.now());
        readPage(currentRead, "");
    }

    /**
     * Reads a page of items and those after it.
     *
     * @param after  the key after which the page begins, empty for the first page
     */
    private void readPage(ItemRead itemRead, String after) {
        context.call(() -> context.store().range(prefix, after), (page, failure) -> {
            if (itemRead != currentRead) {
                return;
            }
            if (failure != null) {
                contact.failed(failure, itemRead.start.steadyMillis(), confirmedAgeMillis());
                context.schedule(RETRY_DELAY_MILLIS, () -> retryRead(itemRead));
                return;
            }
            storeAnswered();
            itemRead.add(page);
            page.nextAfter().ifPresentOrElse(next -> readPage(itemRead, next), () -> readEnded(itemRead));
        });
    }

    private void retryRead(ItemRead failed) {
        if (failed == currentRead) {
            read();
        }
    }

    private void readEnded(ItemRead itemRead) {
        currentRead = null;
        // A watch may have brought later changes meanwhile.
        if (!loaded || itemRead.revision >= revision) {
            revision = itemRead.revision;
            loaded = true;
            items.clear();
            items.putAll(itemRead.items);
            notifyListener("all items", listener::reloaded);
            notifyListener("all items", listener::changesApplied);
        }
        confirmed(itemRead.start);
        List<Runnable> callbacks = List.copyOf(refreshCallbacks);
        refreshCallbacks.clear();
        callbacks.forEach(callback -> notifyListener("a refresh", callback));
        if (!watching || watchDelayed) {
            watch();
        }
    }

    /**
     * Sends the read and the watch that are under way again, as they may have been sent to a silent store.
     */
    void watchAgain() {
        if (currentRead != null) {
            contact.lost();
            read();
        }
        if (watching) {
            contact.lost();
            confirmSoon = true;
            watch();
        }
    }

    private void watch() {
        watching = true;
        watchDelayed = false;
        watchNumber++;
        WatchTimes usualTimes = watchTimes.afterUnanswered(unansweredWatches);
        WatchTimes times = confirmSoon && listener.needsConfirmation() ? usualTimes.withShortWait() : usualTimes;
        WatchCall call = new WatchCall(watchNumber, revision, context.now(), times);
        context.call(() -> context.store().watch(prefix, call.fromRevision, times), (changes, failure) -> {
            if (call.number != watchNumber) {
                return;
            }
            if (failure == null) {
                watchAnswered(call, changes);
            } else if (failure instanceof StoreFailure storeFailure
                    && storeFailure.kind() == StoreFailure.Kind.HISTORY_DROPPED) {
                historyDropped();
            } else {
                watchFailed(call, failure);
            }
        });
    }

    private void watchAnswered(WatchCall call, StorePort.Changes changes) {
        unansweredWatches = 0;
        storeAnswered();
        // A refresh has read the items meanwhile; these changes may be older.
        if (call.fromRevision != revision) {
            watch();
            return;
        }
        revision = Math.max(revision, changes.revision());
        changes.changes().forEach(change -> apply(change.getKey(), change.getValue()));
        if (!changes.changes().isEmpty()) {
            notifyListener("the changes", listener::changesApplied);
        }
        confirmed(call.confirmedBy(changes, context.now()));
        confirmSoon = !changes.changes().isEmpty();
        long delayMillis = changes.changes().isEmpty() ? 0 : watchDelayMillis.getAsLong();
        watchDelayed = delayMillis > 0;
        context.schedule(delayMillis, () -> continueWatching(call));
    }

    private void historyDropped() {
        watching = false;
        context.logDecision(
                Decision.failure("history-dropped").with("prefix", prefix).with("revision", revision));
        read();
    }

    private void watchFailed(WatchCall call, Throwable failure) {
        long waitedMillis = context.now().steadyMillis() - call.sent.steadyMillis();
        contact.failed(failure, call.sent.steadyMillis(), confirmedAgeMillis());
        confirmSoon = true;
        context.logDecision(Decision.failure("watch-failed")
                .with("prefix", prefix)
                .with("revision", revision)
                .with("waitedMillis", waitedMillis)
                .with("confirmedAge", confirmedAgeMillis())
                .with("failure", String.valueOf(failure.getMessage())));
        if (waitedMillis >= call.times.timeoutMillis()) {
            unansweredWatches++;
            notifyListener("a watch without an answer", listener::watchUnanswered);
        }
        context.schedule(Math.max(0, RETRY_DELAY_MILLIS - waitedMillis), () -> continueWatching(call));
    }

    private void confirmed(Moment moment) {
        confirmedMillis = Math.max(confirmedMillis, moment.steadyMillis());
        notifyListener("a confirmation", () -> listener.confirmed(moment));
    }

    private long confirmedAgeMillis() {
        return context.now().steadyMillis() - confirmedMillis;
    }

    private void continueWatching(WatchCall former) {
        if (former.number == watchNumber && watching) {
            watch();
        }
    }

    private void apply(String key, Optional<StorePort.Item> item) {
        if (item.isPresent()) {
            items.put(key, item.get());
        } else {
            items.remove(key);
        }
        notifyListener(key, () -> listener.itemChanged(key, item));
    }

    /**
     * Calls the listener. A failure is logged and does not keep the mirror from following the store.
     */
    private void notifyListener(String subject, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException | StackOverflowError e) {
            context.logDecision(Decision.failure("change-not-applied")
                    .with("prefix", prefix)
                    .with("subject", subject)
                    .with("revision", revision)
                    .with("failure", e.toString()));
        }
    }

    private void storeAnswered() {
        contact.answered(confirmedAgeMillis())
                .ifPresent(silenceMillis ->
                        notifyListener("an answer after a silence", () -> listener.answersAgain(silenceMillis)));
    }

    /**
     * A read of all items, page by page.
     */
    private static final class ItemRead {
        private final Moment start;
        private final Map<String, StorePort.Item> items = new HashMap<>();
        /** The revision of the first page, as later pages may lack changes of earlier ones. */
        private long revision = -1;

        private ItemRead(Moment start) {
            this.start = start;
        }

        private void add(StorePort.Page page) {
            page.items().forEach(item -> items.put(item.key(), item));
            revision = revision < 0 ? page.revision() : revision;
        }
    }

    /**
     * A call that waits for changes.
     *
     * @param fromRevision  the revision after which changes are awaited
     */
    private record WatchCall(long number, long fromRevision, Moment sent, WatchTimes times) {
        /**
         * Returns the moment for which an answer confirms that no further change was made. The store gives an answer without
         * changes at the end of the wait. The wall clock is counted from the sending, so that a suspension of this process
         * before the answer shows as a difference between the clocks.
         */
        Moment confirmedBy(StorePort.Changes changes, Moment answered) {
            long answeredAfterMillis = Math.max(0, answered.steadyMillis() - sent.steadyMillis());
            return changes.changes().isEmpty() ? sent.plus(Math.min(times.waitMillis(), answeredAfterMillis)) : sent;
        }
    }

    /**
     * Receives the changes of a mirror.
     */
    interface Listener {
        /**
         * Handles that all items have been replaced.
         */
        void reloaded();

        /**
         * Handles the change of one item, which is empty if the item was removed.
         */
        void itemChanged(String key, Optional<StorePort.Item> item);

        /**
         * Handles that all changes known so far have been passed on. Called last for each answer of the store that
         * brought changes, and after all items have been replaced.
         */
        void changesApplied();

        /**
         * Returns whether the age of the contents matters, so that a watch is to confirm them soon after a change or a
         * failure.
         */
        default boolean needsConfirmation() {
            return false;
        }

        /**
         * Handles that the store has confirmed that no change before a moment is missing. Called after these changes have
         * been passed on.
         */
        default void confirmed(Moment moment) {
            // Most contents are used whatever their age.
        }

        /**
         * Handles that the store answers again after calls that failed. Called before {@link #confirmed}.
         *
         * @param silenceMillis  the time since the first failed call was sent, in milliseconds
         */
        default void answersAgain(long silenceMillis) {
            // Most contents are whole as soon as the store has confirmed them.
        }

        /**
         * Handles that a watch has had no answer; its connection may have gone silent, and others with it.
         */
        default void watchUnanswered() {
            // Each mirror repeats its own watch.
        }
    }
}
