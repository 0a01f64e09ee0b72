package org.trefoilpost.verify.harness;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Waits for conditions with a generous limit, so that a verdict never hangs on the machine's speed.
 */
public final class Waits {
    private static final long LIMIT_MILLIS = 40_000;
    private static final long POLL_MILLIS = 25;

    private Waits() {}

    /**
     * Waits until a condition holds.
     *
     * @param what  the condition's description, not null
     * @param condition  the condition, not null
     */
    public static void until(String what, BooleanSupplier condition) {
        until(() -> what, condition);
    }

    /**
     * Waits until a condition holds.
     *
     * @param what  describes the condition and the present state, not null
     * @param condition  the condition, not null
     */
    public static void until(Supplier<String> what, BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + LIMIT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > untilNanos) {
                throw new AssertionError("after " + LIMIT_MILLIS + " ms it still isn't so that " + what.get());
            }
            pause(POLL_MILLIS);
        }
    }

    /**
     * Lets time pass.
     *
     * @param millis  the time in milliseconds
     */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", e);
        }
    }
}
