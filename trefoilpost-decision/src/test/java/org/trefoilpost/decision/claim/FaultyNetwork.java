package org.trefoilpost.decision.claim;

import java.util.Random;
import java.util.function.Consumer;

/** Carries calls to the store, and loses and delays some of them. */
final class FaultyNetwork {
    private static final int TIMEOUT_MILLIS = 50;
    private static final int LATENCY_MILLIS = 6;
    private static final int MAX_DELAY_MILLIS = 4_000;

    private final FakeStore store;
    private final VirtualTime time;
    private final Random random;
    private int faultPercent;
    private long outageUntilMillis;

    FaultyNetwork(FakeStore store, VirtualTime time, Random random, int faultPercent) {
        this.store = store;
        this.time = time;
        this.random = random;
        this.faultPercent = faultPercent;
    }

    void startOutage(long millis) {
        outageUntilMillis = time.now() + millis;
    }

    /** Loses and delays nothing more; what was delayed is still applied. */
    void stopFaults() {
        faultPercent = 0;
    }

    void call(StoreCall call, Consumer<ClaimEvent> receiver) {
        int there = 1 + random.nextInt(LATENCY_MILLIS);
        if (time.now() < outageUntilMillis) {
            fail(call, receiver);
            loseOrDelay(call, random.nextInt(4));
        } else if (random.nextInt(100) < faultPercent) {
            fail(call, receiver);
            loseOrDelay(call, random.nextInt(3));
        } else {
            time.after(there, () -> answer(call, receiver));
        }
    }

    private void answer(StoreCall call, Consumer<ClaimEvent> receiver) {
        StoreReply reply = store.apply(call);
        time.after(1 + random.nextInt(LATENCY_MILLIS), () -> receiver.accept(reply));
    }

    private void fail(StoreCall call, Consumer<ClaimEvent> receiver) {
        time.after(TIMEOUT_MILLIS, () -> receiver.accept(StoreFailed.of(call.callId())));
    }

    private void loseOrDelay(StoreCall call, int kind) {
        if (kind == 0) {
            time.after(1, () -> store.apply(call));
        } else if (kind == 1) {
            time.after(random.nextInt(MAX_DELAY_MILLIS), () -> store.apply(call));
        }
    }
}
