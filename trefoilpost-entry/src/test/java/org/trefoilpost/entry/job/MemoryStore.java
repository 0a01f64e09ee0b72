package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.WatchTimes;

/**
 * A store in memory that answers at once, and can lose the answer to a change. Used on one thread.
 */
class MemoryStore implements StorePort {
    private final Map<String, Item> items = new HashMap<>();
    private final Map<String, Long> leaseOfKey = new HashMap<>();
    private final List<Long> endedLeases = new ArrayList<>();
    private long revision = 10;
    private long lastLease;
    /** The text in a written value whose change gets no answer, empty if none is to be lost. */
    private Optional<String> lostAnswerText = Optional.empty();

    private boolean refusing;
    private boolean silent;
    private int pageSize = Integer.MAX_VALUE;

    /**
     * Carries out the next change without answering it.
     */
    void loseNextAnswer() {
        loseNextAnswerTo("");
    }

    /**
     * Carries out the next change that writes a value with a text without answering it.
     */
    void loseNextAnswerTo(String text) {
        lostAnswerText = Optional.of(text);
    }

    /**
     * Sets whether all changes are refused.
     */
    void refuseCalls(boolean value) {
        refusing = value;
    }

    /**
     * Sets the maximum number of items on a page.
     */
    void pageSize(int value) {
        pageSize = value;
    }

    /**
     * Sets whether changes and renewals get no answer.
     */
    void silent(boolean value) {
        silent = value;
    }

    /**
     * Removes all keys that are bound to a lease, as if it had expired.
     */
    void expireAllLeases() {
        revision++;
        List.copyOf(leaseOfKey.keySet()).forEach(this::remove);
        lastLease += 100;
    }

    /**
     * Writes a key without conditions, as another entry does.
     */
    void put(String key, String value) {
        revision++;
        items.put(key, new Item(key, value.getBytes(StandardCharsets.UTF_8), revision, 0));
    }

    /**
     * Claims a pool, whoever has claimed it before.
     *
     * @param lease  the lease that the claim is bound to, 0 for none
     * @return the fencing token of the claim
     */
    long claim(String pool, long lease) {
        Put owner = new Put(LiveEntries.ownerKey(pool), new byte[0], lease);
        Put counter = new Put(PoolStore.counterKey(pool), new byte[0], 0);
        return commit(new Change(Map.of(), List.of(owner, counter), List.of())).join();
    }

    void remove(String key) {
        items.remove(key);
        leaseOfKey.remove(key);
    }

    List<Long> endedLeases() {
        return endedLeases;
    }

    String text(String key) {
        return items.containsKey(key) ? new String(items.get(key).value(), StandardCharsets.UTF_8) : "";
    }

    long revision() {
        return revision;
    }

    long revisionOf(String key) {
        return items.containsKey(key) ? items.get(key).revision() : 0;
    }

    @Override
    public CompletableFuture<Optional<Item>> read(String key) {
        return CompletableFuture.completedFuture(Optional.ofNullable(items.get(key)));
    }

    @Override
    public CompletableFuture<Page> range(String prefix, String after) {
        List<Item> found = new ArrayList<>();
        items.values().stream()
                .filter(item -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
                .sorted(Comparator.comparing(Item::key))
                .forEach(found::add);
        boolean hasMore = found.size() > pageSize;
        List<Item> page = hasMore ? found.subList(0, pageSize) : found;
        return CompletableFuture.completedFuture(new Page(List.copyOf(page), hasMore, revision));
    }

    @Override
    public CompletableFuture<Changes> watch(String prefix, long after, WatchTimes times) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Long> commit(Change change) {
        if (silent) {
            return new CompletableFuture<>();
        }
        if (refusing) {
            return failure(StoreFailure.Kind.REFUSED);
        }
        for (Map.Entry<String, Long> condition : change.expected().entrySet()) {
            if (revisionOf(condition.getKey()) != condition.getValue()) {
                return CompletableFuture.failedFuture(conflict(change));
            }
        }
        for (Put put : change.puts()) {
            if (put.lease() != 0 && put.lease() != lastLease) {
                return failure(StoreFailure.Kind.LEASE_ENDED);
            }
        }
        revision++;
        for (Put put : change.puts()) {
            items.put(put.key(), new Item(put.key(), put.value(), revision, put.lease()));
            if (put.lease() != 0) {
                leaseOfKey.put(put.key(), put.lease());
            }
        }
        change.removedKeys().forEach(this::remove);
        if (isAnswerLost(change)) {
            lostAnswerText = Optional.empty();
            return failure(StoreFailure.Kind.UNKNOWN);
        }
        return CompletableFuture.completedFuture(revision);
    }

    private boolean isAnswerLost(Change change) {
        return lostAnswerText.isPresent()
                && change.puts().stream()
                        .anyMatch(
                                put -> new String(put.value(), StandardCharsets.UTF_8).contains(lostAnswerText.get()));
    }

    private StoreFailure conflict(Change change) {
        List<Item> present = new ArrayList<>();
        change.expected()
                .keySet()
                .forEach(key -> Optional.ofNullable(items.get(key)).ifPresent(present::add));
        return new StoreFailure(StoreFailure.Kind.CONFLICT, "conflict", present);
    }

    private static <T> CompletableFuture<T> failure(StoreFailure.Kind kind) {
        return CompletableFuture.failedFuture(new StoreFailure(kind, kind.name(), List.of()));
    }

    @Override
    public CompletableFuture<Long> grantLease(long timeToLiveMillis) {
        lastLease++;
        return CompletableFuture.completedFuture(lastLease);
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return silent ? new CompletableFuture<>() : CompletableFuture.completedFuture(lease == lastLease);
    }

    @Override
    public void renewConnections() {
        // Calls need no connection.
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        endedLeases.add(lease);
        return CompletableFuture.completedFuture(null);
    }
}
