package org.trefoilpost.bench.slope;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.Supplier;

/**
 * Measures the processor time of the present thread and the live heap.
 */
final class Usage {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int ROUNDS = 5;
    private static final double NANOS_PER_MICRO = 1e3;

    private Usage() {}

    /**
     * Returns the processor time of an action: the median of several rounds after one round of warm-up.
     *
     * @param repeats  the calls of a round, positive
     * @param action  the action, not null
     * @return the microseconds of one call
     */
    static double cpuMicros(int repeats, Runnable action) {
        repeat(repeats, action);
        double[] micros = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            long before = THREADS.getCurrentThreadCpuTime();
            repeat(repeats, action);
            micros[round] = (THREADS.getCurrentThreadCpuTime() - before) / NANOS_PER_MICRO / repeats;
        }
        Arrays.sort(micros);
        return micros[ROUNDS / 2];
    }

    private static void repeat(int repeats, Runnable action) {
        for (int i = 0; i < repeats; i++) {
            action.run();
        }
    }

    /**
     * Returns the bytes of live heap that a state takes.
     *
     * @param state  makes the state, not null
     * @return the bytes after a collection with the state, less the bytes without it
     */
    static long liveBytes(Supplier<?> state) {
        long before = liveHeap();
        Object held = state.get();
        long after = liveHeap();
        java.lang.ref.Reference.reachabilityFence(held);
        return after - before;
    }

    private static long liveHeap() {
        System.gc();
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
