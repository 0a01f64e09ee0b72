package org.trefoilpost.entry.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;
import org.trefoilpost.model.verdict.VerdictKind;

/**
 * The metrics of an entry.
 *
 * <p>The verdict counters of all reasons are registered at the start, so that a reason that has not occurred is
 * exported as 0.
 */
public final class EntryMetrics {
    private static final String VERDICTS_COUNTER = "trefoilpost.verdicts";
    private static final String REASON_TAG = "reason";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Counter> counters = new ConcurrentHashMap<>();
    private final Timer answerTime = Timer.builder("trefoilpost.answer.time")
            .description("Time from a request's arrival to its verdict")
            .publishPercentiles(0.5, 0.99)
            .register(registry);

    private EntryMetrics() {
        verdictCounter(VerdictKind.ANSWERED, "none");
        for (RefusalReason reason : RefusalReason.values()) {
            verdictCounter(VerdictKind.NOT_RUN, reason.code());
        }
        for (UncertaintyReason reason : UncertaintyReason.values()) {
            verdictCounter(VerdictKind.MAY_HAVE_RUN, reason.code());
        }
    }

    /**
     * Creates metrics whose counters are 0.
     *
     * @return the metrics, not null
     */
    public static EntryMetrics create() {
        return new EntryMetrics();
    }

    /**
     * Counts a verdict by kind and reason, and records its response time.
     *
     * @param verdict  the verdict, not null
     * @param millis  the time from the request's arrival to the verdict, in milliseconds; a negative time is recorded
     *     as 0
     */
    public void countVerdict(Verdict verdict, long millis) {
        verdictCounter(verdict.kind(), verdict.reasonCode()).increment();
        answerTime.record(Math.max(0, millis), TimeUnit.MILLISECONDS);
    }

    /**
     * Increments a counter by 1.
     *
     * @param name  the counter's name, such as {@code trefoilpost.attempts}, not null
     * @param reason  the value of the counter's {@code reason} tag, not null
     */
    public void count(String name, String reason) {
        counter(name, reason).increment();
    }

    /**
     * Increments a counter by an amount.
     *
     * @param name  the counter's name, not null
     * @param reason  the value of the counter's {@code reason} tag, not null
     * @param amount  the amount, not negative
     */
    public void count(String name, String reason, double amount) {
        counter(name, reason).increment(amount);
    }

    /**
     * Returns the value of a counter.
     *
     * @param name  the counter's name, not null
     * @param reason  the value of the counter's {@code reason} tag, not null
     * @return the value, 0 if nothing was counted
     */
    public double counterValue(String name, String reason) {
        return counter(name, reason).count();
    }

    /**
     * Registers a gauge.
     *
     * @param name  the gauge's name, not null
     * @param description  what the gauge shows, with its unit, not null
     * @param value  supplies the value at each scrape, not null
     */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /**
     * Returns all metrics in Prometheus' text format.
     *
     * @return the text, not null
     */
    public String scrape() {
        return registry.scrape();
    }

    private Counter verdictCounter(VerdictKind kind, String reason) {
        return counters.computeIfAbsent(
                kind.code() + '/' + reason,
                key -> Counter.builder(VERDICTS_COUNTER)
                        .description("Final verdicts by kind and reason")
                        .tag("kind", kind.code())
                        .tag(REASON_TAG, reason)
                        .register(registry));
    }

    private Counter counter(String name, String reason) {
        return counters.computeIfAbsent(
                name + '/' + reason,
                key -> Counter.builder(name).tag(REASON_TAG, reason).register(registry));
    }
}
