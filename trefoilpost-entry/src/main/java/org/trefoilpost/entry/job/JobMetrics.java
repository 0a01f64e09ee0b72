package org.trefoilpost.entry.job;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.trefoilpost.decision.job.Decision;

/**
 * The counters and histograms of the job service.
 */
public final class JobMetrics {
    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(5),
        Duration.ofMillis(25),
        Duration.ofMillis(100),
        Duration.ofMillis(500),
        Duration.ofSeconds(2),
        Duration.ofSeconds(10)
    };

    private final PrometheusMeterRegistry registry;
    private final Map<String, Counter> counters = new ConcurrentHashMap<>();
    private final Map<String, Timer> timers = new ConcurrentHashMap<>();
    private final TeamGauges teams;
    private final WaitGauges waits;

    /**
     * Constructs metrics that are registered in a registry.
     *
     * @param registry  the registry, not null
     */
    public JobMetrics(PrometheusMeterRegistry registry) {
        this.registry = registry;
        this.teams = new TeamGauges(registry);
        this.waits = new WaitGauges(registry);
    }

    /**
     * Increments a counter.
     *
     * @param name  the counter's name, not null
     * @param reason  the value of the {@code reason} tag, not null
     */
    public void count(String name, String reason) {
        counters.computeIfAbsent(name + '/' + reason, key -> registry.counter(name, "reason", reason))
                .increment();
    }

    /**
     * Records a duration in a histogram.
     *
     * @param name  the histogram's name, not null
     * @param kind  the value of the {@code kind} tag, not null
     * @param durationMillis  the duration in milliseconds; a negative one is recorded as 0
     */
    public void record(String name, String kind, long durationMillis) {
        timers.computeIfAbsent(
                        name + '/' + kind,
                        key -> Timer.builder(name)
                                .tag("kind", kind)
                                .serviceLevelObjectives(LATENCY_BUCKETS)
                                .register(registry))
                .record(Math.max(0, durationMillis), TimeUnit.MILLISECONDS);
    }

    /**
     * Registers a gauge whose value is asked for when the metrics are read.
     *
     * @param name  the gauge's name, not null
     * @param value  supplies the value, on any thread, not null
     */
    public void gauge(String name, LongSupplier value) {
        Gauge.builder(name, value::getAsLong).strongReference(true).register(registry);
    }

    /**
     * Returns the gauges of what teams use and hold.
     */
    TeamGauges teams() {
        return teams;
    }

    /**
     * Returns the gauges of how long long-running tasks have not run.
     */
    WaitGauges waits() {
        return waits;
    }

    /**
     * Returns all metrics of the registry.
     *
     * @return the metrics in the Prometheus text format, not null
     */
    public String text() {
        return registry.scrape();
    }

    /**
     * Counts a decision by its name, and by its reason or else by how it was made.
     */
    void countDecision(Decision decision) {
        Object reason =
                decision.inputs().getOrDefault("reason", decision.inputs().getOrDefault("how", "none"));
        count("trefoilpost.jobs.decisions." + decision.name(), reason.toString());
    }
}
