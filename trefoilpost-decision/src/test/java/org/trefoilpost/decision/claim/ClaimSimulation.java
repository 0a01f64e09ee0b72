package org.trefoilpost.decision.claim;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** One random interleaving of requests, repeats, faults, pauses, kills and take-overs of a shard. */
final class ClaimSimulation {
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final int KEYS = 110;
    private static final int SHORT_SPAN_MILLIS = 6_000;
    private static final int LONG_SPAN_MILLIS = 900_000;
    private static final int REPEATS_IN_SPAN = 3;
    private static final int MAX_SKEW_MILLIS = 20_000;
    private static final int RETENTION_MILLIS = 60_000;

    private final Random random;
    private final VirtualTime time = new VirtualTime(START_MILLIS);
    private final FakeStore store = new FakeStore();
    private final RunLog log;
    private final FaultyNetwork network;
    private final ClaimSettings settings;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final boolean longRun;
    private boolean oneOwnerAtATime;
    private final int spanMillis;
    private long incarnations;
    private long requests;
    private final Set<ClaimKey> keys = new LinkedHashSet<>();
    private int preferredEntry;

    ClaimSimulation(long seed) {
        random = new Random(seed);
        log = new RunLog("seed " + seed);
        network = new FaultyNetwork(store, time, random, random.nextInt(30));
        longRun = random.nextInt(4) == 0;
        spanMillis = longRun ? LONG_SPAN_MILLIS : SHORT_SPAN_MILLIS;
        settings = ClaimSettings.builder()
                .retentionMillis(longRun ? RETENTION_MILLIS : 15 * RETENTION_MILLIS)
                .writesPerSecond(20 + random.nextInt(200))
                .writeBurst(1 + random.nextInt(8))
                .tailRolloverBytes(100 + random.nextInt(1_000))
                .maxArchiveBytes(300 + random.nextInt(4_000))
                .maxBatchClaims(1 + random.nextInt(20))
                .maxPendingRequests(5 + random.nextInt(100))
                .maxAnswerBytes(500 + random.nextInt(10_000))
                .build();
    }

    VirtualTime time() {
        return time;
    }

    Random random() {
        return random;
    }

    RunLog log() {
        return log;
    }

    FaultyNetwork network() {
        return network;
    }

    /** Restores the store under an owner that lives on, then lets another entry take over and repeats every key. */
    RunLog runWithRestores() {
        oneOwnerAtATime = true;
        entries.add(newEntry(0));
        entries.add(newEntry(1));
        entries.get(0).deliver(TakeOverRequested.of());
        for (int i = 0; i < KEYS; i++) {
            planKey(i, time.now() + 1 + random.nextInt(SHORT_SPAN_MILLIS));
        }
        for (int i = 1 + random.nextInt(4); i > 0; i--) {
            long backUp = random.nextInt(SHORT_SPAN_MILLIS);
            time.after(backUp, store::backUp);
            time.after(backUp + random.nextInt(SHORT_SPAN_MILLIS), store::restore);
        }
        time.after(spanMillis * 2L, this::requestWithoutFaults);
        time.after(spanMillis * 4L, () -> takeOver(1));
        time.after(spanMillis * 5L, () -> List.copyOf(keys).forEach(this::request));
        time.runUntilIdle();
        log.checkComplete();
        return log;
    }

    RunLog run() {
        int size = 2 + random.nextInt(3);
        for (int i = 0; i < size; i++) {
            entries.add(newEntry(i));
        }
        entries.get(0).deliver(TakeOverRequested.of());
        for (int i = 0; i < KEYS; i++) {
            planKey(i, time.now() + 1 + random.nextInt(spanMillis));
        }
        planFaults(2 + random.nextInt(12));
        time.runUntilIdle();
        log.checkComplete();
        return log;
    }

    private SimulatedEntry newEntry(int number) {
        return new SimulatedEntry(
                this, number, settings, longRun ? random.nextInt(2 * MAX_SKEW_MILLIS) - MAX_SKEW_MILLIS : 0);
    }

    long nextIncarnation() {
        return ++incarnations;
    }

    /** Plans a key that carries its time, so that it never runs twice, however late it is repeated. */
    private void planKey(int number, long first) {
        String text = String.format("%012x7%03x8000%012x", first, number, random.nextInt());
        ClaimKey key = ClaimKey.parse(text.replaceFirst("(.{8})(.{4})(.{4})(.{4})(.{12})", "$1-$2-$3-$4-$5"));
        time.at(first, () -> request(key));
        for (int repeats = random.nextInt(4); repeats > 0; repeats--) {
            time.at(first + random.nextInt(spanMillis / REPEATS_IN_SPAN), () -> request(key));
        }
    }

    private void request(ClaimKey key) {
        String requestId = "r" + ++requests;
        keys.add(key);
        log.start(requestId, key);
        RequestFingerprint fingerprint = RequestFingerprint.ofHash(random.nextInt(40) == 0 ? 2 : 1);
        long timeout = 20 + random.nextInt(random.nextBoolean() ? 200 : 3_000);
        int target = !oneOwnerAtATime && random.nextInt(5) == 0 ? random.nextInt(entries.size()) : preferredEntry;
        SimulatedEntry entry = entries.get(target);
        entry.request(requestId, key, fingerprint, timeout);
        if (random.nextInt(15) == 0) {
            log.expectNoVerdict(requestId);
            time.after(random.nextInt(100), () -> entry.deliver(RequestCancelled.of(requestId)));
        }
    }

    /** Makes the owner write its tail, so that it notices a restore before another entry takes over. */
    private void requestWithoutFaults() {
        network.stopFaults();
        log.start("probe", ClaimKey.ofHash(0, 0));
        entries.get(0).request("probe", ClaimKey.ofHash(0, 0), RequestFingerprint.ofHash(1), SHORT_SPAN_MILLIS);
    }

    private void planFaults(int faults) {
        for (int i = 0; i < faults; i++) {
            time.after(random.nextInt(spanMillis), this::injectFault);
        }
    }

    private void injectFault() {
        int number = random.nextInt(entries.size());
        SimulatedEntry entry = entries.get(number);
        switch (random.nextInt(7)) {
            case 0 -> network.startOutage(random.nextInt(1_500));
            case 1 -> entries.get(preferredEntry).pause(random.nextInt(2_000));
            case 2 -> entry.pause(random.nextInt(2_000));
            case 3 -> restartEntry(number);
            case 4 -> entry.deliver(HandOverRequested.of());
            case 5 -> entry.deliver(TakeOverRequested.of());
            default -> takeOver(number);
        }
    }

    private void restartEntry(int number) {
        entries.get(number).kill();
        entries.set(number, newEntry(number));
        if (number == preferredEntry) {
            takeOver(random.nextInt(entries.size()));
        }
    }

    private void takeOver(int number) {
        preferredEntry = number;
        entries.get(number).deliver(TakeOverRequested.of());
        if (!oneOwnerAtATime && random.nextInt(3) == 0) {
            entries.get(random.nextInt(entries.size())).deliver(TakeOverRequested.of());
        }
    }

    /** Passes a hand-over to another entry, unless it is lost. */
    void handOver(SimulatedEntry from, HandOver handOver) {
        SimulatedEntry to = entries.get(random.nextInt(entries.size()));
        if (!oneOwnerAtATime && to != from && random.nextInt(4) != 0) {
            time.after(random.nextInt(200), () -> to.deliver(HandOverReceived.of(handOver)));
        }
        if (!oneOwnerAtATime && random.nextInt(2) == 0) {
            takeOver(random.nextInt(entries.size()));
        }
    }
}
