package org.trefoilpost.decision.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** One random interleaving of requests, repeats, faults, pauses, kills and take-overs of a shard. */
final class ClaimSimulation {
    private static final long START_MILLIS = 1_700_000_000_000L;
    private static final int KEYS = 110;
    private static final int SPAN_MILLIS = 6_000;
    private static final int REPEAT_WITHIN_MILLIS = 2_500;

    private final Random random;
    private final VirtualTime time = new VirtualTime(START_MILLIS);
    private final FakeStore store = new FakeStore();
    private final RunLog log;
    private final FaultyNetwork network;
    private final ClaimSettings settings;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private long incarnations;
    private long requests;
    private int preferred;

    ClaimSimulation(long seed) {
        random = new Random(seed);
        log = new RunLog("seed " + seed);
        network = new FaultyNetwork(store, time, random, random.nextInt(30));
        settings = ClaimSettings.builder()
                .writesPerSecond(20 + random.nextInt(200))
                .writeBurst(1 + random.nextInt(8))
                .tailBytes(100 + random.nextInt(1_000))
                .archiveBytes(300 + random.nextInt(4_000))
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

    RunLog run() {
        int size = 2 + random.nextInt(3);
        for (int i = 0; i < size; i++) {
            entries.add(newEntry(i));
        }
        entries.get(0).deliver(TakeOverRequested.of());
        for (int i = 0; i < KEYS; i++) {
            planKey(ClaimKey.ofHash(i, random.nextLong()));
        }
        planFaults(2 + random.nextInt(12));
        time.runUntilIdle();
        log.checkComplete();
        return log;
    }

    private SimulatedEntry newEntry(int number) {
        return new SimulatedEntry(this, number, ++incarnations, settings);
    }

    private void planKey(ClaimKey key) {
        long first = time.now() + 1 + random.nextInt(SPAN_MILLIS);
        int sendings = 1 + random.nextInt(4);
        for (int i = 0; i < sendings; i++) {
            long at = i == 0 ? first : first + random.nextInt(REPEAT_WITHIN_MILLIS);
            time.at(at, () -> request(key));
        }
    }

    private void request(ClaimKey key) {
        String requestId = "r" + ++requests;
        log.start(requestId, key);
        RequestFingerprint fingerprint = RequestFingerprint.ofHash(random.nextInt(40) == 0 ? 2 : 1);
        long deadline = time.now() + 20 + random.nextInt(random.nextBoolean() ? 200 : 3_000);
        int target = random.nextInt(5) == 0 ? random.nextInt(entries.size()) : preferred;
        SimulatedEntry entry = entries.get(target);
        entry.request(ClaimRequested.of(requestId, key, fingerprint, deadline));
        if (random.nextInt(15) == 0) {
            log.excuse(requestId);
            time.after(random.nextInt(100), () -> entry.deliver(RequestCancelled.of(requestId)));
        }
    }

    private void planFaults(int faults) {
        for (int i = 0; i < faults; i++) {
            time.after(random.nextInt(SPAN_MILLIS), this::fault);
        }
    }

    private void fault() {
        int number = random.nextInt(entries.size());
        SimulatedEntry entry = entries.get(number);
        switch (random.nextInt(7)) {
            case 0 -> network.startOutage(random.nextInt(1_500));
            case 1 -> entries.get(preferred).pause(random.nextInt(2_000));
            case 2 -> entry.pause(random.nextInt(2_000));
            case 3 -> replace(number);
            case 4 -> entry.deliver(HandOverRequested.of());
            case 5 -> entry.deliver(TakeOverRequested.of());
            default -> takeOver(number);
        }
    }

    private void replace(int number) {
        entries.get(number).kill();
        entries.set(number, newEntry(number));
        if (number == preferred) {
            takeOver(random.nextInt(entries.size()));
        }
    }

    private void takeOver(int number) {
        preferred = number;
        entries.get(number).deliver(TakeOverRequested.of());
        if (random.nextInt(3) == 0) {
            entries.get(random.nextInt(entries.size())).deliver(TakeOverRequested.of());
        }
    }

    /** Passes a hand-over to another entry, unless it is lost. */
    void handOver(SimulatedEntry from, HandOver handOver) {
        SimulatedEntry to = entries.get(random.nextInt(entries.size()));
        if (to != from && random.nextInt(4) != 0) {
            time.after(random.nextInt(200), () -> to.deliver(HandOverReceived.of(handOver)));
        }
        if (random.nextInt(2) == 0) {
            takeOver(random.nextInt(entries.size()));
        }
    }
}
