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
    private static final int QUEUE_CAPACITY = 4_096;
    /** Ordinary lines a second; the rest of the budget is kept for failures. */
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
        long limit = decision.isFailure() ? MAX_LINES_PER_SECOND : MAX_ORDINARY_LINES_PER_SECOND;
        if (countLineInWindow() > limit || !queue.offer(new Line(decision, Instant.now()))) {
            droppedLines.incrementAndGet();
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

    private long countLineInWindow() {
        long now = System.nanoTime();
        long start = windowStartNanos.get();
        if (now - start > WINDOW_NANOS && windowStartNanos.compareAndSet(start, now)) {
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
     * A decision and when it was made.
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
