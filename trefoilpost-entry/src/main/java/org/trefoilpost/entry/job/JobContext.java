package org.trefoilpost.entry.job;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.entry.runtime.AsyncCalls;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;

/**
 * The context that the parts of the job service share: its thread, clocks, ports, log and metrics.
 */
final class JobContext {
    private static final int MAX_CLOCK_READINGS = 5;
    private static final long MAX_READING_MILLIS = 20;

    private final JobServiceSettings settings;
    private final JobPorts ports;
    private final ServiceThread<Runnable> eventLoop;
    private final MillisClock clock;
    private final MillisClock wallClock;
    private final DecisionLog log;
    private final JobMetrics metrics;
    private final AdviceCalls adviceCalls = new AdviceCalls(this);
    private volatile long lastTaskMillis;

    JobContext(
            JobServiceSettings settings,
            JobPorts ports,
            ServiceThread<Runnable> eventLoop,
            MillisClock clock,
            MillisClock wallClock,
            DecisionLog log,
            JobMetrics metrics) {
        this.settings = settings;
        this.ports = ports;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.wallClock = wallClock;
        this.log = log;
        this.metrics = metrics;
        this.lastTaskMillis = clock.nowMillis();
    }

    JobServiceSettings settings() {
        return settings;
    }

    StorePort store() {
        return ports.store();
    }

    JobPorts ports() {
        return ports;
    }

    JobMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the calls to the advice service, which all pools of this entry share.
     */
    AdviceCalls adviceCalls() {
        return adviceCalls;
    }

    /**
     * Returns the present moment. A thread that is preempted between the readings of the two clocks reads them again, so that
     * this does not look like a suspension of the process.
     */
    Moment now() {
        long steadyMillis = clock.nowMillis();
        long wallMillis = wallClock.nowMillis();
        for (int i = 0; i < MAX_CLOCK_READINGS && clock.nowMillis() - steadyMillis > MAX_READING_MILLIS; i++) {
            steadyMillis = clock.nowMillis();
            wallMillis = wallClock.nowMillis();
        }
        return new Moment(steadyMillis, wallMillis);
    }

    /**
     * Runs one part of a handler. Its failure is logged, and does not keep the other parts from running.
     *
     * @param part  what the part does, for the log
     */
    void runPart(String part, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | StackOverflowError e) {
            logDecision(Decision.failure("part-failed").with("part", part).with("failure", e.toString()));
        }
    }

    /**
     * Runs a task on the service's thread. May be called on any thread.
     */
    void execute(Runnable task) {
        eventLoop.post(() -> begin(task));
    }

    /**
     * Returns for how long the service's thread has begun no task, in milliseconds. May be called on any thread.
     */
    long quietMillis() {
        return clock.nowMillis() - lastTaskMillis;
    }

    /**
     * Runs a task on the service's thread after a delay. Must be called on the service's thread.
     */
    void schedule(long delayMillis, Runnable task) {
        eventLoop.schedule(clock.nowMillis() + delayMillis, () -> begin(task));
    }

    /**
     * Makes a call, and passes its outcome to a consumer like {@link #onServiceThread}. A call that fails before it returns
     * is passed on as one that fails, never thrown.
     */
    <T> void call(Supplier<CompletableFuture<T>> call, BiConsumer<T, Throwable> consumer) {
        onServiceThread(AsyncCalls.start(call), consumer);
    }

    /**
     * Passes the outcome of a call to a consumer on the service's thread. A failure is passed without the
     * {@link CompletionException} around it.
     */
    <T> void onServiceThread(CompletableFuture<T> call, BiConsumer<T, Throwable> consumer) {
        call.whenComplete((value, failure) -> execute(() -> consumer.accept(value, unwrap(failure))));
    }

    /**
     * Counts and logs a decision. May be called on any thread.
     */
    void logDecision(Decision decision) {
        metrics.countDecision(decision);
        log.write(decision);
    }

    private void begin(Runnable task) {
        lastTaskMillis = clock.nowMillis();
        task.run();
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
