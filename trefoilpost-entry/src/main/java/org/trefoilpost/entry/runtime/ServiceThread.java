package org.trefoilpost.entry.runtime;

import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;

/**
 * A thread that handles the events of one service one at a time, from a bounded queue of offered events, an unbounded
 * queue of posted events, and timers.
 *
 * <p>Any thread may offer or post events. Timers are confined to this thread: only the handler may schedule one.
 *
 * @param <E> the type of events
 */
public final class ServiceThread<E> implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(ServiceThread.class);
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_BATCH_EVENTS = 256;

    private final String name;
    private final MpscArrayQueue<E> queue;
    private final Queue<E> completions = new ConcurrentLinkedQueue<>();
    private final MillisClock clock;
    private final PriorityQueue<Timer<E>> timers = new PriorityQueue<>();
    private final AtomicBoolean mayBeParked = new AtomicBoolean();
    private final Thread thread;
    private volatile boolean closed;
    private EventHandler<E> handler;
    private long timerSequence;

    private ServiceThread(String name, int capacity, MillisClock clock) {
        this.name = name;
        this.queue = new MpscArrayQueue<>(capacity);
        this.clock = clock;
        this.thread = new Thread(this::run, "duty-" + name);
        this.thread.setDaemon(true);
    }

    /**
     * Creates a thread that is not started.
     *
     * @param <E>  the type of events
     * @param name  the name of the service, part of the thread's name, not null
     * @param capacity  the maximum number of offered events in the queue, at least 2
     * @param clock  the clock, not null
     * @return the thread, not null
     */
    public static <E> ServiceThread<E> of(String name, int capacity, MillisClock clock) {
        return new ServiceThread<>(
                Objects.requireNonNull(name, "name"), capacity, Objects.requireNonNull(clock, "clock"));
    }

    /**
     * Returns the name of the service.
     *
     * @return the name, not null
     */
    public String name() {
        return name;
    }

    /**
     * Returns the number of offered events in the queue, without posted events and timers.
     *
     * @return the number, not negative
     */
    public int queuedEvents() {
        return queue.size();
    }

    /**
     * Starts the thread. To be called once.
     *
     * @param newHandler  the handler of every event, not null
     */
    public void start(EventHandler<E> newHandler) {
        this.handler = Objects.requireNonNull(newHandler, "handler");
        thread.start();
    }

    /**
     * Offers an event without blocking.
     *
     * @param event  the event, not null
     * @return false if the queue is full or the thread is closed
     */
    public boolean offer(E event) {
        boolean accepted = !closed && queue.offer(event);
        if (accepted && mayBeParked.compareAndSet(true, false)) {
            LockSupport.unpark(thread);
        }
        return accepted;
    }

    /**
     * Posts the completion of an operation that this service started. It is never refused: the number of operations in
     * flight is bounded, and so is the number of queued completions.
     *
     * @param event  the event, not null
     */
    public void post(E event) {
        completions.add(event);
        if (mayBeParked.compareAndSet(true, false)) {
            LockSupport.unpark(thread);
        }
    }

    /**
     * Schedules an event. To be called by the handler on this thread only.
     *
     * @param atMillis  the earliest time at which the event is handled, in milliseconds since 1970
     * @param event  the event, not null
     */
    public void schedule(long atMillis, E event) {
        timers.add(new Timer<>(atMillis, timerSequence++, event));
    }

    /**
     * Stops the thread after the events of the current batch. Queued events are dropped.
     */
    @Override
    public void close() {
        closed = true;
        LockSupport.unpark(thread);
    }

    private void run() {
        while (!closed) {
            int handled = handleQueued() + handleTimers();
            if (handled == 0) {
                park();
            }
        }
    }

    private int handleQueued() {
        int handled = 0;
        while (handled < MAX_BATCH_EVENTS) {
            E event = nextEvent();
            if (event == null) {
                return handled;
            }
            handle(event);
            handled++;
        }
        return handled;
    }

    private E nextEvent() {
        E completion = completions.poll();
        return completion != null ? completion : queue.poll();
    }

    private int handleTimers() {
        int handled = 0;
        while (!timers.isEmpty() && timers.peek().atMillis <= clock.nowMillis()) {
            handle(timers.poll().event);
            handled++;
        }
        return handled;
    }

    /**
     * Handles an event. Errors do not end the thread either, as every request to the service waits for it: most are the
     * consequence of one event, such as a stack that is too small for its nesting, or an array too large for the heap.
     */
    private void handle(E event) {
        try {
            handler.handle(event, clock.nowMillis());
        } catch (RuntimeException | Error e) {
            logFailure(e);
        }
    }

    private void logFailure(Throwable failure) {
        try {
            LOG.error(LogEvent.of("duty-handler-failed").with("duty", name).withFailure(failure));
        } catch (RuntimeException | Error e) {
            // Without memory for a log line, the failure goes unlogged, but the thread goes on.
        }
    }

    private void park() {
        mayBeParked.set(true);
        if (queue.isEmpty() && completions.isEmpty() && !closed) {
            LockSupport.parkNanos(this, parkNanos());
        }
        mayBeParked.set(false);
    }

    private long parkNanos() {
        if (timers.isEmpty()) {
            return MAX_PARK_NANOS;
        }
        long untilTimer = TimeUnit.MILLISECONDS.toNanos(timers.peek().atMillis - clock.nowMillis());
        return Math.max(1, Math.min(MAX_PARK_NANOS, untilTimer));
    }

    /**
     * An event with the time at which it is due; events of the same time are handled in the order of scheduling.
     */
    private static final class Timer<E> implements Comparable<Timer<E>> {
        private final long atMillis;
        private final long sequence;
        private final E event;

        private Timer(long atMillis, long sequence, E event) {
            this.atMillis = atMillis;
            this.sequence = sequence;
            this.event = event;
        }

        @Override
        public int compareTo(Timer<E> other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
