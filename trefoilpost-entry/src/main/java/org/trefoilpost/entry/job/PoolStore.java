package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Decision;

/**
 * Stores a pool's jobs.
 *
 * <p>Every commit is conditional on the revisions of the owner's key and of the pool's counter key, which each commit
 * writes. So a commit of an earlier owner never takes effect after a take-over, and a commit whose answer was lost can
 * be sent again: it takes effect at most once, and never after a newer one.
 */
final class PoolStore {
    private static final String JOB_KEY_PREFIX = "trefoilpost/job/";
    private static final String COUNTER_KEY_PREFIX = "trefoilpost/count/";
    private static final long RETRY_DELAY_MILLIS = 120;

    private final String pool;
    private final long token;
    private final JobContext context;
    private long counterRevision;
    private long pendingSinceMillis = Long.MAX_VALUE;

    PoolStore(String pool, long token, JobContext context) {
        this.pool = pool;
        this.token = token;
        this.context = context;
    }

    static String jobKey(String pool, String job) {
        return JOB_KEY_PREFIX + pool + '/' + job;
    }

    /**
     * Returns how long the pending commit has waited for its answer, in milliseconds, 0 if none is pending.
     */
    long pendingMillis(long nowMillis) {
        return pendingSinceMillis == Long.MAX_VALUE ? 0 : nowMillis - pendingSinceMillis;
    }

    /**
     * Reads the pool's jobs, and retries until that succeeds or is cancelled.
     *
     * @param loaded  receives the documents by job identifier
     */
    void load(Consumer<Map<String, byte[]>> loaded, BooleanSupplier cancelled, Consumer<String> ownershipLost) {
        context.onServiceThread(context.store().read(counterKey()), (item, failure) -> {
            if (cancelled.getAsBoolean()) {
                return;
            }
            if (failure != null) {
                context.schedule(RETRY_DELAY_MILLIS, () -> load(loaded, cancelled, ownershipLost));
            } else {
                counterRevision = item.map(StorePort.Item::revision).orElse(0L);
                readPage("", new LinkedHashMap<>(), loaded, cancelled);
            }
        });
    }

    private void readPage(
            String after,
            Map<String, byte[]> documents,
            Consumer<Map<String, byte[]>> loaded,
            BooleanSupplier cancelled) {
        String prefix = JOB_KEY_PREFIX + pool + '/';
        context.onServiceThread(context.store().range(prefix, after), (page, failure) -> {
            if (cancelled.getAsBoolean()) {
                return;
            }
            if (failure != null) {
                context.schedule(RETRY_DELAY_MILLIS, () -> readPage(after, documents, loaded, cancelled));
                return;
            }
            String last = after;
            for (StorePort.Item item : page.items()) {
                documents.put(item.key().substring(prefix.length()), item.value());
                last = item.key();
            }
            if (page.hasMore() && !last.equals(after)) {
                readPage(last, documents, loaded, cancelled);
            } else {
                loaded.accept(documents);
            }
        });
    }

    /**
     * Stores a commit, and retries until its outcome is known or it is cancelled.
     *
     * @param sentMillis  the present time on the steady clock, in milliseconds
     * @param committed  receives the commit and the time for which it confirms the ownership, on the steady clock in
     *     milliseconds, a time far in the past if it confirms none
     * @param ownershipLost  receives the reason if a condition of the commit did not hold
     */
    void commit(
            Commit commit,
            long sentMillis,
            BiConsumer<Commit, Long> committed,
            BooleanSupplier cancelled,
            Consumer<String> ownershipLost) {
        pendingSinceMillis = Math.min(pendingSinceMillis, sentMillis);
        String marker = token + ":" + commit.number();
        context.onServiceThread(context.store().commit(toChange(commit, marker)), (revision, failure) -> {
            if (cancelled.getAsBoolean()) {
                return;
            }
            context.metrics()
                    .record(
                            "trefoilpost.jobs.store.time",
                            "commit",
                            context.now().steadyMillis() - sentMillis);
            if (failure == null) {
                commitSucceeded(commit, revision, sentMillis, committed);
            } else if (failure instanceof StoreFailure storeFailure
                    && storeFailure.kind() == StoreFailure.Kind.CONFLICT) {
                resolveConflict(commit, marker, storeFailure, committed, ownershipLost);
            } else {
                context.logDecision(Decision.failure("commit-unanswered")
                        .with("pool", pool)
                        .with("number", commit.number())
                        .with("jobs", commit.puts().size())
                        .with("failure", String.valueOf(failure.getMessage())));
                context.schedule(
                        RETRY_DELAY_MILLIS,
                        () -> commit(commit, context.now().steadyMillis(), committed, cancelled, ownershipLost));
            }
        });
    }

    private void commitSucceeded(Commit commit, long revision, long sentMillis, BiConsumer<Commit, Long> committed) {
        counterRevision = revision;
        pendingSinceMillis = Long.MAX_VALUE;
        committed.accept(commit, sentMillis);
    }

    /**
     * Handles a conflict. If the counter key holds the commit's own marker, an earlier attempt whose answer was lost
     * has taken effect; this does not confirm the ownership. Otherwise the ownership is lost.
     */
    private void resolveConflict(
            Commit commit,
            String marker,
            StoreFailure failure,
            BiConsumer<Commit, Long> committed,
            Consumer<String> ownershipLost) {
        for (StorePort.Item item : failure.currentItems()) {
            boolean alreadyStored =
                    item.key().equals(counterKey()) && new String(item.value(), StandardCharsets.UTF_8).equals(marker);
            if (alreadyStored) {
                commitSucceeded(commit, item.revision(), Long.MIN_VALUE / 2, committed);
                return;
            }
        }
        ownershipLost.accept("conflict");
    }

    private StorePort.Change toChange(Commit commit, String marker) {
        Map<String, Long> expected = new LinkedHashMap<>();
        expected.put(LiveEntries.ownerKey(pool), token);
        expected.put(counterKey(), counterRevision);
        List<StorePort.Put> puts = new ArrayList<>();
        puts.add(new StorePort.Put(counterKey(), marker.getBytes(StandardCharsets.UTF_8), 0));
        commit.puts().forEach((job, bytes) -> puts.add(new StorePort.Put(jobKey(pool, job), bytes, 0)));
        List<String> removedKeys =
                commit.removed().stream().map(job -> jobKey(pool, job)).toList();
        return new StorePort.Change(expected, puts, removedKeys);
    }

    private String counterKey() {
        return COUNTER_KEY_PREFIX + pool;
    }
}
