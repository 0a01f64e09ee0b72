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
 * Writes decisions as log lines on a separate thread. Callers never block: lines above the rate limit, or that find the
 * queue full, are dropped and counted. The limit for ordinary decisions is lower, so that failures are still logged
 * under load.
 */
public final class DecisionLog implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(DecisionLog.class);
    /** Maximum number of lines that wait to be written. */
    private static final int QUEUE_CAPACITY = 4_096;

    /** Lower than {@link #MAX_LINES_PER_SECOND}; the difference is reserved for failures. */
    private static final int MAX_ORDINARY_LINES_PER_SECOND = 400;

    private static final int MAX_LINES_PER_SECOND = 600;
    private static final long WINDOW_NANOS = 1_000_000_000L;
    private static final long IDLE_PARK_NANOS = 200_000_000L;

    private final MpscArrayQueue<Line> queue = new MpscArrayQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedLines = new AtomicLong();
    private final AtomicLong windowStartNanos = new AtomicLong(System.nanoTime());
    private final AtomicLong windowLines = new AtomicLong();
    private final Thread thread = new Thread(this::writeLines, "duty-log");
    private volatile boolean closed;

    /**
     * Constructs a log and starts its thread.
     */
    public DecisionLog() {
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Queues a decision to be written, or drops it if the rate limit is exceeded or the queue is full.
     *
     * @param decision  the decision, not null
     */
    public void write(Decision decision) {
        long limit = decision.isFailure() ? MAX_LINES_PER_SECOND : MAX_ORDINARY_LINES_PER_SECOND;
        if (countLineInWindow() > limit || !queue.offer(new Line(decision, Instant.now()))) {
            droppedLines.incrementAndGet();
        }
    }

    /**
     * Writes the queued lines and ends the thread. Waits at most 500 milliseconds for it.
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

    private long countLineInWindow() {
        long nowNanos = System.nanoTime();
        long startNanos = windowStartNanos.get();
        if (nowNanos - startNanos > WINDOW_NANOS && windowStartNanos.compareAndSet(startNanos, nowNanos)) {
            windowLines.set(0);
        }
        return windowLines.incrementAndGet();
    }

    private void writeLines() {
        while (true) {
            Line line = queue.poll();
            if (line != null) {
                LOG.info(toLogEvent(line.decision()), line.decidedAt());
            } else if (closed) {
                return;
            } else {
                logDroppedLines();
                LockSupport.parkNanos(this, IDLE_PARK_NANOS);
            }
        }
    }

    private void logDroppedLines() {
        long lines = droppedLines.getAndSet(0);
        if (lines > 0) {
            LOG.warn(LogEvent.of("log-lines-dropped").with("lines", lines));
        }
    }

    /**
     * A decision and the time at which it was made.
     */
    private record Line(Decision decision, Instant decidedAt) {}

    private static LogEvent toLogEvent(Decision decision) {
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
