package org.trefoilpost.entry.job;

import java.time.Instant;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;

/**
 * Writes decisions as log lines on a thread of its own. Lines beyond a budget a second are dropped and counted, ordinary
 * ones before those of failures; nobody ever waits for the log.
 */
public final class DecisionLog implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(DecisionLog.class);
    private static final int RING = 4_096;
    /** Ordinary lines a second; the rest of the budget is kept for failures. */
    private static final int ORDINARY_LINES_PER_SECOND = 400;

    private static final int LINES_PER_SECOND = 600;
    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final long IDLE_PARK_NANOS = 200_000_000L;

    private final MpscArrayQueue<Line> ring = new MpscArrayQueue<>(RING);
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong windowStart = new AtomicLong(System.nanoTime());
    private final AtomicLong windowLines = new AtomicLong();
    private final Thread thread = new Thread(this::run, "duty-log");
    private volatile boolean closed;

    /**
     * Constructs and starts a log.
     */
    public DecisionLog() {
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Takes a decision to be written.
     *
     * @param decision  the decision, not null
     */
    public void write(Decision decision) {
        long limit = decision.isFailure() ? LINES_PER_SECOND : ORDINARY_LINES_PER_SECOND;
        if (windowCount() > limit || !ring.offer(new Line(decision, Instant.now()))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Ends the thread after the lines that wait.
     */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
        try {
            thread.join(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long windowCount() {
        long now = System.nanoTime();
        long start = windowStart.get();
        if (now - start > WINDOW_NANOS && windowStart.compareAndSet(start, now)) {
            windowLines.set(0);
        }
        return windowLines.incrementAndGet();
    }

    private void run() {
        while (true) {
            Line line = ring.poll();
            if (line != null) {
                LOG.info(event(line.decision()), line.happened());
            } else if (closed) {
                return;
            } else {
                reportDropped();
                LockSupport.parkNanos(this, IDLE_PARK_NANOS);
            }
        }
    }

    private void reportDropped() {
        long lines = dropped.getAndSet(0);
        if (lines > 0) {
            LOG.warn(LogEvent.of("log-lines-dropped").with("lines", lines));
        }
    }

    /**
     * A decision and when it was made.
     */
    private record Line(Decision decision, Instant happened) {}

    private static LogEvent event(Decision decision) {
        LogEvent event = LogEvent.of(decision.name());
        for (Map.Entry<String, Object> input : decision.inputs().entrySet()) {
            Object value = input.getValue();
            event = value instanceof Number number && !(value instanceof Double)
                    ? event.with(input.getKey(), number.longValue())
                    : event.with(input.getKey(), value);
        }
        return event;
    }
}
