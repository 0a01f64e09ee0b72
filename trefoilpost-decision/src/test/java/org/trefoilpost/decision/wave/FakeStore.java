package org.trefoilpost.decision.wave;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;

/**
 * An in-memory store with compare-and-swap whose answers get lost and whose writes take effect late.
 */
final class FakeStore {
    enum Outcome {
        APPLIED,
        CONFLICT,
        UNKNOWN
    }

    private final Random random;
    private final Map<String, byte[]> values = new HashMap<>();
    private final Map<String, Object> decodedValues = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private final List<Runnable> delayedWrites = new ArrayList<>();
    private long lastRevision;
    private boolean faultsEnabled;
    private boolean comparesLedgerRevision = true;

    FakeStore(Random random) {
        this.random = random;
    }

    void setFaultsEnabled(boolean newFaulty) {
        this.faultsEnabled = newFaulty;
    }

    /** Makes ledger writes ignore the revision, as a check followed by a plain write does. */
    void ignoreLedgerRevision() {
        this.comparesLedgerRevision = false;
    }

    boolean readFails() {
        return faultsEnabled && random.nextInt(10) == 0;
    }

    <T> T decoded(String key, Function<byte[], T> decoder) {
        @SuppressWarnings("unchecked")
        T value = (T) decodedValues.computeIfAbsent(key, present -> decoder.apply(values.get(present)));
        return value;
    }

    long revision(String key) {
        return revisions.getOrDefault(key, 0L);
    }

    void put(String key, byte[] value) {
        values.put(key, value);
        decodedValues.remove(key);
        revisions.put(key, ++lastRevision);
    }

    Outcome write(String key, long expected, byte[] value) {
        int fault = faultsEnabled ? random.nextInt(24) : 24;
        if (fault == 0) {
            return Outcome.UNKNOWN;
        }
        if (fault == 1) {
            delayedWrites.add(() -> apply(key, expected, value));
            return Outcome.UNKNOWN;
        }
        boolean applied = apply(key, expected, value);
        if (fault == 2) {
            return Outcome.UNKNOWN;
        }
        return applied ? Outcome.APPLIED : Outcome.CONFLICT;
    }

    private boolean apply(String key, long expected, byte[] value) {
        boolean check = comparesLedgerRevision || !key.startsWith("ledger/");
        if (check && revision(key) != expected) {
            return false;
        }
        put(key, value);
        return true;
    }

    void applyDelayed() {
        if (!delayedWrites.isEmpty()) {
            delayedWrites.remove(random.nextInt(delayedWrites.size())).run();
        }
    }
}
