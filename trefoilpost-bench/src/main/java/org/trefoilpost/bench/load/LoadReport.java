package org.trefoilpost.bench.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts of verdicts and percentiles of a load. Requests that got no answer count as {@code no-answer}.
 */
public final class LoadReport {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DIGITS = 3;
    private static final long MAX_MICROS = 600_000_000;
    private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Long> verdicts = new TreeMap<>();
    private final Map<String, Long> reasons = new TreeMap<>();
    private final Histogram latency = new Histogram(MAX_MICROS, DIGITS);
    private long keyed;
    private long elapsedNanos;

    /**
     * Creates an empty report.
     */
    LoadReport() {}

    /**
     * Counts the end of a request.
     *
     * @param verdict  the verdict, {@code no-answer} without an answer, not null
     * @param reason  the reason of a refusal, empty without one, not null
     * @param withKey  whether the request had a key
     * @param micros  the time from when it was due to its end, in microseconds
     */
    synchronized void ended(String verdict, String reason, boolean withKey, long micros) {
        verdicts.merge(verdict, 1L, Long::sum);
        if (!reason.isEmpty()) {
            reasons.merge(reason, 1L, Long::sum);
        }
        keyed += withKey ? 1 : 0;
        latency.recordValue(Math.min(Math.max(0, micros), MAX_MICROS));
    }

    /**
     * Sets the time from the first request to the last end.
     *
     * @param nanos  the time in nanoseconds
     */
    synchronized void elapsed(long nanos) {
        elapsedNanos = nanos;
    }

    /**
     * Returns how many requests ended with a verdict.
     *
     * @param verdict  the verdict, not null
     * @return the count, not negative
     */
    public synchronized long count(String verdict) {
        return verdicts.getOrDefault(verdict, 0L);
    }

    /**
     * Returns all requests that ended.
     *
     * @return the count, not negative
     */
    public synchronized long total() {
        return latency.getTotalCount();
    }

    /**
     * Returns a percentile of the time from when a request was due to its end.
     *
     * @param percentile  the percentile, 0 to 100
     * @return the milliseconds
     */
    public synchronized double latencyMillis(double percentile) {
        return latency.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    /**
     * Returns the seconds from the first request to the last end.
     *
     * @return the seconds
     */
    public synchronized double seconds() {
        return elapsedNanos / NANOS_PER_SECOND;
    }

    /**
     * Returns the report for people.
     *
     * @return the text, several lines, not null
     */
    public synchronized String text() {
        StringBuilder text = new StringBuilder(
                String.format(Locale.ROOT, "%d requests in %.1f s, %d with a key%n", total(), seconds(), keyed));
        verdicts.forEach((verdict, count) ->
                text.append(verdict).append(": ").append(count).append('\n'));
        reasons.forEach((reason, count) ->
                text.append("reason ").append(reason).append(": ").append(count).append('\n'));
        for (double percentile : PERCENTILES) {
            text.append(String.format(Locale.ROOT, "p%s: %.2f ms%n", label(percentile), latencyMillis(percentile)));
        }
        return text.toString();
    }

    /**
     * Returns the report as one line of JSON.
     *
     * @return the text, not null
     */
    public synchronized String json() {
        ObjectNode node = JSON.createObjectNode()
                .put("requests", total())
                .put("seconds", seconds())
                .put("keyed", keyed);
        ObjectNode counts = node.putObject("verdicts");
        verdicts.forEach(counts::put);
        ObjectNode causes = node.putObject("reasons");
        reasons.forEach(causes::put);
        ObjectNode millis = node.putObject("latencyMillis");
        for (double percentile : PERCENTILES) {
            millis.put("p" + label(percentile), latencyMillis(percentile));
        }
        return node.toString();
    }

    private static String label(double percentile) {
        return percentile % 1 == 0 ? Long.toString((long) percentile) : Double.toString(percentile);
    }
}
