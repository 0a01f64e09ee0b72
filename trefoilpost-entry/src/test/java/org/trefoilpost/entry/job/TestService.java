package org.trefoilpost.entry.job;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.CapacityBound;
import org.trefoilpost.decision.job.ConfigurationBound;
import org.trefoilpost.decision.job.PoolTimeouts;
import org.trefoilpost.decision.job.team.TeamPolicy;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;

/**
 * The context of a job service with a thread of its own, for tests of its parts.
 */
final class TestService implements AutoCloseable {
    private final ServiceThread<Runnable> thread;
    private final DecisionLog log = new DecisionLog();
    private final JobContext context;

    TestService(StorePort store, MachinePort machines, PlatformFormats formats) {
        this(new JobPorts(store, null, machines, null, formats), MillisClock.steady(), System::currentTimeMillis);
    }

    TestService(StorePort store, WorkerPort workers, MachinePort machines, PlatformFormats formats) {
        this(new JobPorts(store, workers, machines, null, formats), MillisClock.steady(), System::currentTimeMillis);
    }

    TestService(StorePort store, MachinePort machines, PlatformFormats formats, MillisClock clock) {
        this(new JobPorts(store, null, machines, null, formats), clock, clock);
    }

    TestService(StorePort store, WorkerPort workers, PlatformFormats formats, MillisClock clock, TeamPolicy policy) {
        this(new JobPorts(store, workers, null, null, formats), clock, clock, policy);
    }

    TestService(StorePort store, WorkerPort workers, PlatformFormats formats, TeamPolicy policy) {
        this(
                new JobPorts(store, workers, null, null, formats),
                MillisClock.steady(),
                System::currentTimeMillis,
                policy);
    }

    TestService(JobPorts ports, MillisClock clock, MillisClock wallClock) {
        this(ports, clock, wallClock, TeamPolicy.NONE);
    }

    private TestService(JobPorts ports, MillisClock clock, MillisClock wallClock, TeamPolicy policy) {
        this.thread = ServiceThread.of("jobs-test", 256, clock);
        JobMetrics metrics = new JobMetrics(new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
        this.context = new JobContext(settings("127.0.0.1:1", policy), ports, thread, clock, wallClock, log, metrics);
        thread.start((event, nowMillis) -> event.run());
    }

    /**
     * Returns the settings of an entry.
     *
     * @param peerAddress  the address for other entries, not null
     * @param policy  the policy for teams, not null
     */
    static JobServiceSettings settings(String peerAddress, TeamPolicy policy) {
        return new JobServiceSettings(
                "entry-1",
                peerAddress,
                new PoolTimeouts(5_000, 10_000, 120_000, 2_000),
                64,
                true,
                1_000,
                new ConfigurationBound(2_000),
                new CapacityBound(3_000, 1_500),
                policy);
    }

    JobContext context() {
        return context;
    }

    /**
     * Runs a step on the service's thread, and waits until the calls that it made are handled.
     */
    void run(Runnable step) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        context.execute(() -> {
            try {
                step.run();
            } catch (RuntimeException e) {
                done.completeExceptionally(e);
                throw e;
            }
            context.execute(() -> context.execute(() -> context.execute(() -> done.complete(true))));
        });
        done.join();
    }

    /**
     * Runs a step on the service's thread, and waits until the calls that it made and all timers that are due are handled.
     */
    void runWithTimers(Runnable step) {
        run(step);
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        // Timers of the same time run in the order in which they were scheduled, so this one is the last.
        context.execute(() -> context.schedule(0, () -> done.complete(true)));
        done.join();
    }

    /**
     * Returns how many decisions of a name were logged.
     */
    long countDecisions(String name) {
        String counter = "trefoilpost_jobs_decisions_" + name.replace('-', '_') + "_total";
        return context.metrics()
                .text()
                .lines()
                .filter(line -> line.startsWith(counter))
                .mapToLong(line -> (long) Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    @Override
    public void close() {
        thread.close();
        log.close();
    }
}
