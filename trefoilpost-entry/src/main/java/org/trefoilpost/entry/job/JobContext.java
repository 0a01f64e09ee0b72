package org.trefoilpost.entry.job;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BiConsumer;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;

/**
 * What the parts of the job service share: its thread, its clocks, its ports, its log and its counters.
 */
final class JobContext {
    private final JobServiceSettings settings;
    private final JobPorts ports;
    private final ServiceThread<Runnable> eventLoop;
    private final MillisClock clock;
    private final DecisionLog log;
    private final JobMetrics metrics;

    JobContext(
            JobServiceSettings settings,
            JobPorts ports,
            ServiceThread<Runnable> duty,
            MillisClock clock,
            DecisionLog log,
            JobMetrics metrics) {
        this.settings = settings;
        this.ports = ports;
        this.eventLoop = duty;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
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

    Moment now() {
        return new Moment(clock.nowMillis(), System.currentTimeMillis());
    }

    void execute(Runnable event) {
        eventLoop.post(event);
    }

    /**
     * Runs something after a while; to be called on the service's thread only.
     */
    void schedule(long millis, Runnable event) {
        eventLoop.schedule(clock.nowMillis() + millis, event);
    }

    /**
     * Passes the outcome of a call on, on the service's thread, with the failure's own cause.
     */
    <T> void onServiceThread(CompletableFuture<T> call, BiConsumer<T, Throwable> consumer) {
        call.whenComplete((value, failure) -> eventLoop.post(() -> consumer.accept(value, unwrap(failure))));
    }

    void logDecision(Decision decision) {
        metrics.countDecision(decision);
        log.write(decision);
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
