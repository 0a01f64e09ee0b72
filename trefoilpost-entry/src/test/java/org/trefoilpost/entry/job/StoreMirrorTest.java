package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.WatchTimes;

/**
 * Plays answers of the store that arrive in an unfavourable order, and listeners that fail.
 */
class StoreMirrorTest {
    private static final String PREFIX = "p/";

    private final ManualStore store = new ManualStore();
    private final TestService service = new TestService(store, null, null);
    private final RecordingListener listener = new RecordingListener();
    private StoreMirror mirror;

    @BeforeEach
    void start() {
        mirror = new StoreMirror(PREFIX, service.context(), WatchTimes.LONGEST, () -> 0, listener);
        service.run(mirror::start);
        answerRead(0, 10, item("a", "1", 9));
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void pageThatIsOlderThanAppliedChangesDoesNotReplaceThem() {
        List<String> refreshed = new ArrayList<>();
        service.run(() -> mirror.refresh(() -> refreshed.add("refreshed")));
        answerWatch(0, 12, item("a", "2", 12), item("b", "1", 11));
        answerRead(1, 10, item("a", "1", 9));
        assertEquals(Map.of("p/a", "2", "p/b", "1"), contents());
        assertEquals(12, mirror.revision());
        assertEquals(List.of("refreshed"), refreshed);
    }

    @Test
    void itemsOfAnAbandonedReadAreNotMixedIntoTheNextOne() {
        service.run(() -> mirror.refresh(() -> {}));
        service.run(() -> store.watches
                .get(0)
                .completeExceptionally(new StoreFailure(StoreFailure.Kind.HISTORY_DROPPED, "gone", List.of())));
        answerRead(1, 18, item("removed", "1", 15));
        answerRead(2, 20, item("b", "1", 19));
        assertEquals(Map.of("p/b", "1"), contents());
        assertEquals(20, mirror.revision());
        answerWatch(store.watches.size() - 1, 21, item("c", "1", 21));
        assertEquals(Map.of("p/b", "1", "p/c", "1"), contents());
    }

    @Test
    void changeThatAListenerFailsOnDoesNotEndTheWatch() {
        listener.failingKey = "p/bad";
        answerWatch(0, 12, item("bad", "1", 11), item("good", "1", 12));
        assertEquals(List.of("p/good"), listener.changedKeys);
        service.runWithTimers(() -> {});
        assertEquals(2, store.watches.size(), "the watch goes on");
        answerWatch(1, 13, item("later", "1", 13));
        assertEquals(List.of("p/good", "p/later"), listener.changedKeys);
    }

    /** Guards against an entry that stops following a list with an item that a listener overflows the stack on. */
    @Test
    void changeThatOverflowsTheStackDoesNotEndTheWatch() {
        listener.overflowingKey = "p/deep";
        answerWatch(0, 12, item("deep", "1", 11), item("good", "1", 12));
        assertEquals(List.of("p/good"), listener.changedKeys);
        assertEquals(2, store.watches.size(), "the watch goes on");
    }

    /** Guards against a pool that fails to be opened after a read, and keeps others from it and from the watch. */
    @Test
    void callbackThatFailsAfterARefreshDoesNotEndTheWatchOrOtherCallbacks() {
        List<String> refreshed = new ArrayList<>();
        service.run(() -> {
            mirror.refresh(() -> {
                throw new IllegalStateException("cannot open");
            });
            mirror.refresh(() -> refreshed.add("second"));
        });
        service.run(() -> store.watches
                .get(0)
                .completeExceptionally(new StoreFailure(StoreFailure.Kind.HISTORY_DROPPED, "gone", List.of())));
        answerRead(2, 20, item("b", "1", 19));
        assertEquals(List.of("second"), refreshed);
        assertEquals(2, store.watches.size(), "the watch goes on");
    }

    @Test
    void reloadThatAListenerFailsOnDoesNotEndTheWatch() {
        listener.failOnReload = true;
        service.run(() -> mirror.refresh(() -> {}));
        answerRead(1, 14, item("a", "2", 14));
        service.run(() -> store.watches.get(0).complete(new StorePort.Changes(List.of(), 14)));
        service.runWithTimers(() -> {});
        assertTrue(store.watches.size() >= 2, "the watch goes on");
    }

    /** Guards against a read that was sent to a silent store and is not sent again when another watch shows the silence. */
    @Test
    void readAfterDroppedHistoryIsSentAgain() {
        service.run(() -> store.watches
                .get(0)
                .completeExceptionally(new StoreFailure(StoreFailure.Kind.HISTORY_DROPPED, "gone", List.of())));
        assertEquals(2, store.reads.size());
        service.run(mirror::watchAgain);
        assertEquals(3, store.reads.size(), "the read is sent again");
        answerRead(2, 20, item("b", "1", 19));
        assertEquals(Map.of("p/b", "1"), contents());
        assertEquals(2, store.watches.size(), "the watch goes on");
    }

    /** Guards against an owner that takes a pool over while the watch of an entry without pools is delayed. */
    @Test
    void refreshEndsTheDelayOfTheNextWatch() {
        StoreMirror delayed =
                new StoreMirror(PREFIX, service.context(), WatchTimes.LONGEST, () -> 60_000, new RecordingListener());
        service.run(delayed::start);
        answerRead(1, 10);
        answerWatch(1, 12, item("a", "2", 12));
        assertEquals(2, store.watches.size(), "the next watch is delayed");
        service.run(() -> delayed.refresh(() -> {}));
        answerRead(2, 13, item("a", "2", 12));
        assertEquals(3, store.watches.size(), "the watch goes on with the read");
        answerWatch(2, 14, item("b", "1", 14));
        assertEquals(14, delayed.revision());
    }

    private Map<String, String> contents() {
        Map<String, String> contents = new TreeMap<>();
        mirror.items().forEach((key, item) -> contents.put(key, new String(item.value(), StandardCharsets.UTF_8)));
        return contents;
    }

    private static StorePort.Item item(String name, String value, long revision) {
        return new StorePort.Item(PREFIX + name, value.getBytes(StandardCharsets.UTF_8), revision, 0);
    }

    private void answerRead(int number, long revision, StorePort.Item... items) {
        service.run(() -> store.reads.get(number).complete(new StorePort.Page(List.of(items), false, revision)));
        service.runWithTimers(() -> {});
    }

    private void answerWatch(int number, long revision, StorePort.Item... items) {
        List<Map.Entry<String, Optional<StorePort.Item>>> changes = new ArrayList<>();
        for (StorePort.Item item : items) {
            changes.add(Map.entry(item.key(), Optional.of(item)));
        }
        service.run(() -> store.watches.get(number).complete(new StorePort.Changes(changes, revision)));
        service.runWithTimers(() -> {});
    }

    /** A store whose reads of lists and watches the test answers. */
    private static final class ManualStore extends MemoryStore {
        private final List<CompletableFuture<Page>> reads = new ArrayList<>();
        private final List<CompletableFuture<Changes>> watches = new ArrayList<>();

        @Override
        public CompletableFuture<Page> range(String prefix, String after) {
            CompletableFuture<Page> page = new CompletableFuture<>();
            reads.add(page);
            return page;
        }

        @Override
        public CompletableFuture<Changes> watch(String prefix, long afterRevision, WatchTimes times) {
            CompletableFuture<Changes> changes = new CompletableFuture<>();
            watches.add(changes);
            return changes;
        }
    }

    private static final class RecordingListener implements StoreMirror.Listener {
        private final List<String> changedKeys = new ArrayList<>();
        private String failingKey = "";
        private String overflowingKey = "";
        private boolean failOnReload;

        @Override
        public void reloaded() {
            if (failOnReload) {
                throw new IllegalStateException("cannot reload");
            }
        }

        @Override
        public void itemChanged(String key, Optional<StorePort.Item> item) {
            if (key.equals(failingKey)) {
                throw new IllegalStateException("cannot apply " + key);
            }
            if (key.equals(overflowingKey)) {
                throw new StackOverflowError();
            }
            changedKeys.add(key);
        }

        @Override
        public void changesApplied() {
            // The test looks at the changes themselves.
        }
    }
}
