package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.RegisteredWorker;

/**
 * Stores a pool's jobs, the queues that these jobs belong to, and the workers that may have runs of which the jobs do not tell.
 *
 * <p>Every commit is conditional on the revisions of the owner's key and of the pool's counter key, which each commit
 * and each claim writes. So a commit of an earlier owner never takes effect after a take-over, and a commit whose answer was lost can
 * be sent again: it takes effect at most once, and never after a newer one.
 */
final class PoolStore {
    private static final String JOB_KEY_PREFIX = "trefoilpost/job/";
    private static final String COUNTER_KEY_PREFIX = "trefoilpost/count/";
    private static final String WORKERS_KEY_PREFIX = "trefoilpost/workers/";
    static final long RETRY_DELAY_MILLIS = 120;
    /** A store that has not answered a commit for longer is treated as unreachable. */
    private static final long MAX_PENDING_MILLIS = 800;
    /** A store that has refused or broken off all attempts of a commit for longer is treated as unreachable. */
    private static final long MAX_FAILING_MILLIS = 250;

    private static final int FAILURES_UNTIL_UNREACHABLE = 2;

    private final String pool;
    /** The token of the first claim, which makes the markers of this owner's commits unique. */
    private final long firstToken;

    private final JobContext context;
    private long token;
    private long counterRevision;
    private PendingCommit pending;
    /** The queues as stored, as far as this owner has read or stored them. */
    private StoredQueues storedQueues = StoredQueues.NONE;
    /** The workers as stored, as far as this owner has read or stored them, empty if none were stored. */
    private Optional<String> storedWorkers = Optional.empty();
    /** The present address of each configured queue. */
    private Map<String, String> addresses = Map.of();

    private boolean awaitsClaim;
    private int failedAttempts;
    /** Counts the calls, so that only the latest one is repeated when it fails. */
    private long callNumber;

    PoolStore(String pool, long token, JobContext context) {
        this.pool = pool;
        this.firstToken = token;
        this.token = token;
        this.counterRevision = token;
        this.context = context;
    }

    static String counterKey(String pool) {
        return COUNTER_KEY_PREFIX + pool;
    }

    static String jobKey(String pool, String job) {
        return JOB_KEY_PREFIX + pool + '/' + job;
    }

    static String workersKey(String pool) {
        return WORKERS_KEY_PREFIX + pool;
    }

    /**
     * Returns the workers that may have runs of which the store does not know, as an earlier owner has stored them, empty if none has.
     */
    Optional<List<RegisteredWorker>> loadedWorkers() {
        return storedWorkers.map(text -> StoredWorkers.decode(text, pool));
    }

    /**
     * Returns whether the store has left the pending commit unanswered for long, or has failed it repeatedly.
     */
    boolean isReachable(long nowMillis) {
        if (pending == null) {
            return true;
        }
        long waitedMillis = nowMillis - pending.sinceMillis;
        boolean failing = failedAttempts >= FAILURES_UNTIL_UNREACHABLE && waitedMillis >= MAX_FAILING_MILLIS;
        return !failing && waitedMillis < MAX_PENDING_MILLIS;
    }

    long firstToken() {
        return firstToken;
    }

    long counterRevision() {
        return counterRevision;
    }

    /**
     * Returns whether a commit has found that the claim has lapsed.
     */
    boolean awaitsClaim() {
        return awaitsClaim;
    }

    /**
     * Continues under a new claim, with which no other owner's claim came between.
     */
    void claimRenewed(long newToken) {
        token = newToken;
        counterRevision = Math.max(counterRevision, newToken);
        if (awaitsClaim) {
            awaitsClaim = false;
            send(pending);
        }
    }

    /**
     * Returns whether the pending commit has written the counter key, and completes that commit if so.
     */
    boolean isOwnCounter(StorePort.Item counter) {
        if (pending == null || !pending.isMarkedBy(counter)) {
            return false;
        }
        complete(pending, counter.revision(), Long.MIN_VALUE / 2);
        return true;
    }

    /**
     * Reads the pool's jobs, and retries until the store answers or the load is cancelled. The documents are passed on page by
     * page, so that they need not all be held beside the jobs that are decoded from them.
     *
     * @param page  receives some of the documents by job identifier, each of them once
     * @param loaded  is run when all documents have been passed on
     * @param unusable  receives the failure if an answer cannot be used, or {@code page} or {@code loaded} has failed
     */
    void load(
            Consumer<Map<String, byte[]>> page,
            Runnable loaded,
            Consumer<RuntimeException> unusable,
            BooleanSupplier cancelled) {
        PoolLoad load = new PoolLoad(pool, context, page, unusable, cancelled);
        load.start((queues, workers) -> {
            storedQueues = queues;
            storedWorkers = workers;
            loaded.run();
        });
    }

    /**
     * Applies the addresses of the configured queues, by the queues' names.
     */
    void configure(Map<String, String> presentAddresses) {
        addresses = Map.copyOf(presentAddresses);
    }

    /**
     * Returns a queue, and the queues with jobs here that have had its present address.
     */
    Set<String> queuesAt(String queue) {
        Set<String> queues = storedQueues.queuesAt(addresses.getOrDefault(queue, ""));
        queues.add(queue);
        return queues;
    }

    /**
     * Stores a commit, and retries until its outcome is known or it is cancelled. There is at most one commit at a time.
     *
     * @param configuration  the revision that the item of the configuration must have by its key, empty if the commit does not
     *     depend on the configuration
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    void commit(Commit commit, Map<String, Long> configuration, long nowMillis, CommitListener listener) {
        String marker = firstToken + ":" + commit.number();
        StoredQueues queues = storedQueues.change(commit.queues(), addresses);
        String workers = StoredWorkers.encode(commit.workers());
        pending = new PendingCommit(commit, queues, workers, configuration, marker, nowMillis, listener);
        send(pending);
    }

    /**
     * Sends the pending commit once more beside the attempt that is under way; it takes effect at most once.
     */
    void sendAgain() {
        if (pending != null && !awaitsClaim) {
            send(pending);
        }
    }

    private void send(PendingCommit attempt) {
        if (attempt != pending || attempt.listener.isCancelled()) {
            return;
        }
        long sentMillis = context.now().steadyMillis();
        callNumber++;
        long number = callNumber;
        long callToken = token;
        context.call(() -> context.store().commit(toChange(attempt)), (revision, failure) -> {
            if (attempt != pending || attempt.listener.isCancelled()) {
                return;
            }
            context.metrics()
                    .record(
                            "trefoilpost.jobs.store.time",
                            "commit",
                            context.now().steadyMillis() - sentMillis);
            if (failure == null) {
                complete(attempt, revision, sentMillis);
            } else if (failure instanceof StoreFailure storeFailure
                    && storeFailure.kind() == StoreFailure.Kind.CONFLICT) {
                resolveConflict(attempt, number, callToken, storeFailure);
            } else {
                failedAttempts++;
                context.logDecision(Decision.failure("commit-unanswered")
                        .with("pool", pool)
                        .with("number", attempt.commit.number())
                        .with("jobs", attempt.commit.puts().size())
                        .with("failure", String.valueOf(failure.getMessage())));
                context.schedule(RETRY_DELAY_MILLIS, () -> sendUnlessRepeated(attempt, number));
            }
        });
    }

    private void sendUnlessRepeated(PendingCommit attempt, long failedNumber) {
        if (failedNumber == callNumber) {
            send(attempt);
        }
    }

    private void complete(PendingCommit attempt, long revision, long confirmedMillis) {
        counterRevision = revision;
        pending = null;
        storedQueues = attempt.queues;
        storedWorkers = Optional.of(attempt.workers);
        awaitsClaim = false;
        failedAttempts = 0;
        attempt.listener.committed(attempt.commit, confirmedMillis);
    }

    /**
     * Handles a conflict. If the counter key holds the commit's own marker, an earlier attempt whose answer was lost
     * has taken effect; this does not confirm the ownership. A conflict under a claim that was renewed since says nothing of the present
     * claim. If the counter key is unchanged, the claim has lapsed or was renewed while the commit was under way, and the commit is sent
     * again under the new claim; or the configuration has changed, and no attempt of the commit can take effect any more. If the counter
     * key holds the marker of a renewal, the answer to that renewal has yet to be handled. Otherwise another entry has claimed the pool.
     */
    private void resolveConflict(PendingCommit attempt, long number, long callToken, StoreFailure failure) {
        Optional<StorePort.Item> owner = failure.currentItem(LiveEntries.ownerKey(pool));
        Optional<StorePort.Item> counter = failure.currentItem(counterKey(pool));
        boolean counterUnchanged = counter.map(StorePort.Item::revision).orElse(0L) == counterRevision;
        if (counter.isPresent() && attempt.isMarkedBy(counter.get())) {
            complete(attempt, counter.get().revision(), Long.MIN_VALUE / 2);
        } else if (callToken != token) {
            sendUnlessRepeated(attempt, number);
        } else if (counterUnchanged && owner.isEmpty()) {
            awaitsClaim = true;
        } else if (counterUnchanged && owner.get().revision() == token) {
            attempt.changedConfiguration(failure)
                    .ifPresentOrElse(item -> reject(attempt, item), () -> sendAfterConflict(attempt));
        } else if (counter.isPresent() && RenewalMarker.marks(counter.get(), firstToken)) {
            awaitsClaim = true;
        } else {
            attempt.listener.ownershipLost("conflict");
        }
    }

    private void sendAfterConflict(PendingCommit attempt) {
        if (attempt.configuration.isEmpty()) {
            send(attempt);
        } else {
            // A store without an item of the configuration refuses the change each time.
            context.schedule(RETRY_DELAY_MILLIS, () -> send(attempt));
        }
    }

    private void reject(PendingCommit attempt, StorePort.Item configuration) {
        pending = null;
        failedAttempts = 0;
        attempt.listener.rejected(attempt.commit, configuration);
    }

    private StorePort.Change toChange(PendingCommit attempt) {
        Commit commit = attempt.commit;
        Map<String, Long> expected = new LinkedHashMap<>();
        expected.put(LiveEntries.ownerKey(pool), token);
        expected.put(counterKey(pool), counterRevision);
        expected.putAll(attempt.configuration);
        List<StorePort.Put> puts = new ArrayList<>();
        puts.add(new StorePort.Put(counterKey(pool), attempt.marker.getBytes(StandardCharsets.UTF_8), 0));
        commit.puts().forEach((job, bytes) -> puts.add(new StorePort.Put(jobKey(pool, job), bytes, 0)));
        List<String> removedKeys = new ArrayList<>();
        commit.removed().forEach(job -> removedKeys.add(jobKey(pool, job)));
        if (attempt.queues.isEmpty()) {
            removedKeys.add(LiveEntries.queuesKey(pool));
        } else if (!storedQueues.equals(attempt.queues)) {
            puts.add(new StorePort.Put(LiveEntries.queuesKey(pool), attempt.queues.encode(), 0));
        }
        if (!storedWorkers.equals(Optional.of(attempt.workers))) {
            puts.add(new StorePort.Put(workersKey(pool), attempt.workers.getBytes(StandardCharsets.UTF_8), 0));
        }
        return new StorePort.Change(expected, puts, removedKeys);
    }

    /**
     * A commit whose outcome is not known yet.
     */
    private record PendingCommit(
            Commit commit,
            StoredQueues queues,
            String workers,
            Map<String, Long> configuration,
            String marker,
            long sinceMillis,
            CommitListener listener) {
        boolean isMarkedBy(StorePort.Item counter) {
            return new String(counter.value(), StandardCharsets.UTF_8).equals(marker);
        }

        /**
         * Returns the item of the configuration that the store has in place of the one of the condition, if that is why a change
         * conflicted.
         */
        Optional<StorePort.Item> changedConfiguration(StoreFailure failure) {
            return configuration.entrySet().stream()
                    .flatMap(condition -> failure.currentItem(condition.getKey()).stream()
                            .filter(item -> item.revision() != condition.getValue()))
                    .findFirst();
        }
    }

    /**
     * Receives the outcome of a commit.
     */
    interface CommitListener {
        /**
         * Returns whether the outcome no longer matters.
         */
        boolean isCancelled();

        /**
         * Handles that the commit is stored.
         *
         * @param confirmedMillis  the time for which the commit confirms the ownership, on the steady clock in milliseconds, a
         *     time far in the past if it confirms none
         */
        void committed(Commit commit, long confirmedMillis);

        /**
         * Handles that the commit has not taken effect and never will, as the configuration has changed.
         *
         * @param configuration  the item of the configuration that the store has
         */
        void rejected(Commit commit, StorePort.Item configuration);

        /**
         * Handles that another entry has claimed the pool.
         */
        void ownershipLost(String reason);
    }
}
