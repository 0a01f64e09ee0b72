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
 * Keeps a pool's jobs in the store.
 *
 * <p>Every change is conditional on the owner's key and on a key that counts the pool's changes. So a change of an
 * earlier owner never takes effect after a take-over, and a change whose answer was lost can be sent again: it takes
 * effect at most once, and never after a newer one.
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
     * Returns for how long a change has waited for its answer, 0 if none waits.
     */
    long pendingMillis(long nowMillis) {
        return pendingSinceMillis == Long.MAX_VALUE ? 0 : nowMillis - pendingSinceMillis;
    }

    /**
     * Reads the pool's jobs, until it works or is not wanted any more.
     */
    void load(Consumer<Map<String, byte[]>> loaded, BooleanSupplier cancelled, Consumer<String> deposed) {
        context.onServiceThread(context.store().read(counterKey()), (item, failure) -> {
            if (cancelled.getAsBoolean()) {
                return;
            }
            if (failure != null) {
                context.schedule(RETRY_DELAY_MILLIS, () -> load(loaded, cancelled, deposed));
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
     * Stores a change, trying until its outcome is known.
     */
    void commit(
            Commit commit,
            long sentMillis,
            BiConsumer<Commit, Long> committed,
            BooleanSupplier cancelled,
            Consumer<String> deposed) {
        pendingSinceMillis = Math.min(pendingSinceMillis, sentMillis);
        String mark = token + ":" + commit.number();
        context.onServiceThread(context.store().commit(toChange(commit, mark)), (revision, failure) -> {
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
            } else if (failure instanceof StoreFailure known && known.kind() == StoreFailure.Kind.CONFLICT) {
                resolveConflict(commit, mark, known, committed, deposed);
            } else {
                context.logDecision(Decision.failure("commit-unanswered")
                        .with("pool", pool)
                        .with("number", commit.number())
                        .with("jobs", commit.puts().size())
                        .with("failure", String.valueOf(failure.getMessage())));
                context.schedule(
                        RETRY_DELAY_MILLIS,
                        () -> commit(commit, context.now().steadyMillis(), committed, cancelled, deposed));
            }
        });
    }

    private void commitSucceeded(Commit commit, long revision, long sentMillis, BiConsumer<Commit, Long> committed) {
        counterRevision = revision;
        pendingSinceMillis = Long.MAX_VALUE;
        committed.accept(commit, sentMillis);
    }

    private void resolveConflict(
            Commit commit,
            String mark,
            StoreFailure failure,
            BiConsumer<Commit, Long> committed,
            Consumer<String> deposed) {
        for (StorePort.Item item : failure.currentItems()) {
            boolean ours =
                    item.key().equals(counterKey()) && new String(item.value(), StandardCharsets.UTF_8).equals(mark);
            if (ours) {
                commitSucceeded(commit, item.revision(), Long.MIN_VALUE / 2, committed);
                return;
            }
        }
        deposed.accept("conflict");
    }

    private StorePort.Change toChange(Commit commit, String mark) {
        Map<String, Long> expected = new LinkedHashMap<>();
        expected.put(LiveEntries.ownerKey(pool), token);
        expected.put(counterKey(), counterRevision);
        List<StorePort.Put> puts = new ArrayList<>();
        puts.add(new StorePort.Put(counterKey(), mark.getBytes(StandardCharsets.UTF_8), 0));
        commit.puts().forEach((job, bytes) -> puts.add(new StorePort.Put(jobKey(pool, job), bytes, 0)));
        List<String> removed =
                commit.removed().stream().map(job -> jobKey(pool, job)).toList();
        return new StorePort.Change(expected, puts, removed);
    }

    private String counterKey() {
        return COUNTER_KEY_PREFIX + pool;
    }
}
