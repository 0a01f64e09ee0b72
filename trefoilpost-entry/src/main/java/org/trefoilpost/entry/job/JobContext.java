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
    private final NodeSettings settings;
    private final JobPorts ports;
    private final ServiceThread<Runnable> duty;
    private final MillisClock clock;
    private final DecisionLog log;
    private final JobMetrics metrics;

    JobContext(
            NodeSettings settings,
            JobPorts ports,
            ServiceThread<Runnable> duty,
            MillisClock clock,
            DecisionLog log,
            JobMetrics metrics) {
        this.settings = settings;
        this.ports = ports;
        this.duty = duty;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    NodeSettings settings() {
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

    void run(Runnable event) {
        duty.post(event);
    }

    /**
     * Runs something after a while; to be called on the service's thread only.
     */
    void later(long millis, Runnable event) {
        duty.schedule(clock.nowMillis() + millis, event);
    }

    /**
     * Passes the outcome of a call on, on the service's thread, with the failure's own cause.
     */
    <T> void onDuty(CompletableFuture<T> call, BiConsumer<T, Throwable> consumer) {
        call.whenComplete((value, failure) -> duty.post(() -> consumer.accept(value, cause(failure))));
    }

    void decided(Decision decision) {
        metrics.decided(decision);
        log.write(decision);
    }

    private static Throwable cause(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
