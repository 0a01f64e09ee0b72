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
    private final Map<String, Object> decoded = new HashMap<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private long last;
    private boolean faulty;
    private boolean checked = true;

    FakeStore(Random random) {
        this.random = random;
    }

    void faulty(boolean newFaulty) {
        this.faulty = newFaulty;
    }

    /** Makes ledger writes ignore the revision, as a check followed by a plain write does. */
    void withoutLedgerCheck() {
        this.checked = false;
    }

    boolean fails() {
        return faulty && random.nextInt(10) == 0;
    }

    <T> T decoded(String key, Function<byte[], T> decoder) {
        @SuppressWarnings("unchecked")
        T value = (T) decoded.computeIfAbsent(key, present -> decoder.apply(values.get(present)));
        return value;
    }

    long revision(String key) {
        return revisions.getOrDefault(key, 0L);
    }

    void put(String key, byte[] value) {
        values.put(key, value);
        decoded.remove(key);
        revisions.put(key, ++last);
    }

    Outcome write(String key, long expected, byte[] value) {
        int fault = faulty ? random.nextInt(24) : 24;
        if (fault == 0) {
            return Outcome.UNKNOWN;
        }
        if (fault == 1) {
            delayed.add(() -> apply(key, expected, value));
            return Outcome.UNKNOWN;
        }
        boolean applied = apply(key, expected, value);
        if (fault == 2) {
            return Outcome.UNKNOWN;
        }
        return applied ? Outcome.APPLIED : Outcome.CONFLICT;
    }

    private boolean apply(String key, long expected, byte[] value) {
        boolean check = checked || !key.startsWith("ledger/");
        if (check && revision(key) != expected) {
            return false;
        }
        put(key, value);
        return true;
    }

    void applyDelayed() {
        if (!delayed.isEmpty()) {
            delayed.remove(random.nextInt(delayed.size())).run();
        }
    }
}
