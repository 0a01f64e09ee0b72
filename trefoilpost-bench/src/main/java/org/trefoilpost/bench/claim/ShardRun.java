package org.trefoilpost.bench.claim;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.trefoilpost.decision.claim.AnswerRecorded;
import org.trefoilpost.decision.claim.ClaimAction;
import org.trefoilpost.decision.claim.ClaimEvent;
import org.trefoilpost.decision.claim.ClaimKey;
import org.trefoilpost.decision.claim.ClaimRequested;
import org.trefoilpost.decision.claim.ClaimSettings;
import org.trefoilpost.decision.claim.ClaimShard;
import org.trefoilpost.decision.claim.Conclude;
import org.trefoilpost.decision.claim.Dispatch;
import org.trefoilpost.decision.claim.ReadKey;
import org.trefoilpost.decision.claim.RequestFingerprint;
import org.trefoilpost.decision.claim.SetTimer;
import org.trefoilpost.decision.claim.StoreCall;
import org.trefoilpost.decision.claim.TakeOverRequested;
import org.trefoilpost.decision.claim.TimerFired;
import org.trefoilpost.model.EntryId;

/**
 * Drives one claim shard in virtual time at a rate of new keys, until its retention is in balance.
 */
final class ShardRun {
    static final int STORE_LATENCY_MILLIS = 3;
    static final int DEADLINE_MILLIS = 2_000;
    static final int WARM_UP_MILLIS = 18 * 60 * 1_000;
    static final int MEASURED_MILLIS = 4 * 60 * 1_000;

    private static final int MILLIS_PER_SECOND = 1_000;
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final int RUN_MILLIS = 20;
    private static final int ANSWER_BYTES = 1_000;
    private static final long BYTES_PER_MEGABYTE = 1_000_000;
    private static final RequestFingerprint FINGERPRINT = RequestFingerprint.ofHash(0x0123456789abcdefL);

    private final ClaimSettings settings;
    private final Arrivals arrivals;
    private final long seed;
    private final CountingStore store = new CountingStore();
    private final PriorityQueue<Planned> events = new PriorityQueue<>(
            Comparator.<Planned>comparingLong(planned -> planned.at).thenComparingLong(planned -> planned.number));
    private final Map<String, Long> waiting = new HashMap<>();
    private final Histogram waits = new Histogram(3);
    private final Deque<Long> lastSecond = new ArrayDeque<>();
    private long mostInASecond;
    private ClaimShard shard;
    private long now;
    private long planned;
    private long requests;
    private long measured;
    private long refused;

    ShardRun(long seed, double requestsPerSecond, ClaimSettings settings) {
        this.seed = seed;
        this.settings = settings;
        arrivals = new Arrivals(seed, requestsPerSecond);
    }

    void run() {
        shard = ClaimShard.of(0, EntryId.of("first"), seed, settings);
        step(TakeOverRequested.of());
        planRequest();
        runUntil(WARM_UP_MILLIS);
        store.resetCounts();
        waits.reset();
        refused = 0;
        measured = 0;
        runUntil(WARM_UP_MILLIS + MEASURED_MILLIS);
    }

    StoreCounts counts() {
        return store.counts();
    }

    Histogram waits() {
        return waits;
    }

    double refusedShare() {
        return (double) refused / Math.max(1, measured);
    }

    long heldKeys() {
        return shard.heldKeys();
    }

    /** Returns the heap that the shard takes up, by the difference that dropping it makes. */
    double dropAndMeasureMegabytes() {
        events.clear();
        waiting.clear();
        long with = usedBytes();
        shard = null;
        return (double) (with - usedBytes()) / BYTES_PER_MEGABYTE;
    }

    private static long usedBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /** Lets another entry take the shard over, and returns the time that it takes in milliseconds. */
    long takeOver() {
        store.resetCounts();
        events.clear();
        shard = ClaimShard.of(0, EntryId.of("second"), seed + 1, settings);
        long start = now;
        step(TakeOverRequested.of());
        while (!shard.isOwner()) {
            runNext();
        }
        return now - start;
    }

    /** Returns the most writes and deletes that began within a second, over the whole run. */
    long mostWritesInASecond() {
        return mostInASecond;
    }

    private void countWrite(StoreCall call) {
        if (call instanceof ReadKey) {
            return;
        }
        lastSecond.add(now);
        while (lastSecond.getFirst() <= now - MILLIS_PER_SECOND) {
            lastSecond.remove();
        }
        mostInASecond = Math.max(mostInASecond, lastSecond.size());
    }

    private void runUntil(long end) {
        while (events.peek().at < end) {
            runNext();
        }
    }

    private void runNext() {
        Planned next = events.remove();
        now = next.at;
        if (next.event instanceof ClaimRequested) {
            planRequest();
            measured++;
        }
        step(next.event);
    }

    private void planRequest() {
        long at = (long) arrivals.next();
        ClaimKey key = ClaimKey.parse("request-" + seed + "-" + ++requests);
        plan(at, ClaimRequested.of("r" + requests, key, FINGERPRINT, START_MILLIS + at + DEADLINE_MILLIS));
    }

    private void plan(long at, ClaimEvent event) {
        events.add(new Planned(at, planned++, event));
    }

    private void step(ClaimEvent event) {
        if (event instanceof ClaimRequested requested) {
            waiting.put(requested.requestId(), now);
        }
        for (ClaimAction action : shard.step(event, START_MILLIS + now)) {
            act(action);
        }
    }

    private void act(ClaimAction action) {
        if (action instanceof StoreCall call) {
            countWrite(call);
            plan(now + STORE_LATENCY_MILLIS, store.apply(call));
        } else if (action instanceof SetTimer timer) {
            plan(timer.atMillis() - START_MILLIS, TimerFired.of());
        } else if (action instanceof Dispatch dispatch) {
            waits.recordValue(now - waiting.remove(dispatch.requestId()));
            plan(now + RUN_MILLIS, AnswerRecorded.of(dispatch.key(), () -> ANSWER_BYTES));
        } else if (action instanceof Conclude conclude) {
            waiting.remove(conclude.requestId());
            refused++;
        }
    }

    /** An event with its time. */
    private static final class Planned {
        private final long at;
        private final long number;
        private final ClaimEvent event;

        private Planned(long at, long number, ClaimEvent event) {
            this.at = at;
            this.number = number;
            this.event = event;
        }
    }
}
