package org.trefoilpost.bench.claim;

import java.util.ArrayDeque;
import java.util.Deque;
import org.HdrHistogram.Histogram;

/**
 * A model of journals that create one store key for each batch and delete it after the retention.
 *
 * <p>With batches of one request and many writes at once, this is a store key per request.
 */
final class KeyPerBatchModel {
    private static final int CALLS_PER_KEY = 2;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Arrivals arrivals;
    private final double callIntervalMillis;
    private final int maxBatch;
    private final boolean pipelined;
    private final Histogram waits = new Histogram(3);
    private long batches;
    private long claims;
    private long refused;

    KeyPerBatchModel(Arrivals arrivals, double callsPerSecond, int maxBatch, boolean pipelined) {
        this.arrivals = arrivals;
        callIntervalMillis = MILLIS_PER_SECOND / callsPerSecond;
        this.maxBatch = maxBatch;
        this.pipelined = pipelined;
    }

    void run(long millis) {
        Deque<Double> queue = new ArrayDeque<>();
        double nextArrival = arrivals.next();
        double nextToken = 0;
        double writerFree = 0;
        while (nextArrival < millis) {
            double first = queue.isEmpty() ? nextArrival : queue.getFirst();
            double start = Math.max(first, Math.max(nextToken, pipelined ? 0 : writerFree));
            while (nextArrival <= start) {
                queue.add(nextArrival);
                nextArrival = arrivals.next();
            }
            refuseLate(queue, start);
            if (!queue.isEmpty()) {
                write(queue, start);
                nextToken = Math.max(nextToken, start) + CALLS_PER_KEY * callIntervalMillis;
                writerFree = start + ShardRun.STORE_LATENCY_MILLIS;
            }
        }
    }

    private void refuseLate(Deque<Double> queue, double start) {
        while (!queue.isEmpty()
                && start + ShardRun.STORE_LATENCY_MILLIS - queue.getFirst() >= ShardRun.DEADLINE_MILLIS) {
            queue.remove();
            refused++;
        }
    }

    private void write(Deque<Double> queue, double start) {
        batches++;
        for (int i = 0; i < maxBatch && !queue.isEmpty(); i++) {
            waits.recordValue((long) (start + ShardRun.STORE_LATENCY_MILLIS - queue.remove()));
            claims++;
        }
    }

    long batches() {
        return batches;
    }

    long claims() {
        return claims;
    }

    Histogram waits() {
        return waits;
    }

    double refusedShare() {
        return (double) refused / Math.max(1, refused + claims);
    }
}
