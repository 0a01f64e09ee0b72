package org.trefoilpost.bench.routing;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * What was counted in one run.
 */
public final class ModelResult {
    private static final long MAX_LATENCY_MILLIS = 100_000;
    private static final int DIGITS = 3;

    private final Histogram latency = new Histogram(MAX_LATENCY_MILLIS, DIGITS);
    private final Map<RequestClass, Histogram> startDelays = new EnumMap<>(RequestClass.class);
    private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);
    private final Map<RequestClass, Integer> answeredByClass = new EnumMap<>(RequestClass.class);
    private final long measuredMillis;
    private long requests;
    private long dispatched;
    private long attempts;
    private long answered;
    private long rejected;
    private long uncertain;
    private long failingAttempts;
    private long lateAttempts;
    private long samples;
    private long idleWhileWaiting;

    ModelResult(long measuredMillis) {
        this.measuredMillis = measuredMillis;
        for (RequestClass requestClass : RequestClass.values()) {
            startDelays.put(requestClass, new Histogram(MAX_LATENCY_MILLIS, DIGITS));
            answeredByClass.put(requestClass, 0);
        }
    }

    void arrived() {
        requests++;
    }

    void attempted(boolean first, boolean atFailing, boolean late) {
        attempts++;
        dispatched += first ? 1 : 0;
        lateAttempts += late ? 1 : 0;
        failingAttempts += late && atFailing ? 1 : 0;
    }

    void firstStart(RequestClass requestClass, long delayMillis) {
        startDelays.get(requestClass).recordValue(delayMillis);
    }

    void answered(RequestClass requestClass, long latencyMillis) {
        answered++;
        answeredByClass.merge(requestClass, 1, Integer::sum);
        latency.recordValue(latencyMillis);
    }

    void rejected() {
        rejected++;
    }

    void refused(RefusalReason reason) {
        refusals.merge(reason, 1, Integer::sum);
    }

    void uncertain() {
        uncertain++;
    }

    void sample(int idleSlots, int waiting) {
        samples++;
        idleWhileWaiting += Math.min(idleSlots, waiting);
    }

    /**
     * Returns the whole answers in time.
     *
     * @return the answers per second
     */
    public double goodput() {
        return answered * 1_000.0 / measuredMillis;
    }

    /**
     * Returns the answered requests of a class.
     *
     * @param requestClass  the class, not null
     * @return the requests
     */
    public int answered(RequestClass requestClass) {
        return answeredByClass.get(requestClass);
    }

    /**
     * Returns the attempts that workers rejected before they started.
     *
     * @return the attempts
     */
    public long rejectedAttempts() {
        return rejected;
    }

    /**
     * Returns the attempts for each request that had any.
     *
     * @return the ratio
     */
    public double attemptsPerRequest() {
        return dispatched == 0 ? 0 : (double) attempts / dispatched;
    }

    /**
     * Returns the attempts.
     *
     * @return the attempts
     */
    public long attempts() {
        return attempts;
    }

    /**
     * Returns the requests that arrived.
     *
     * @return the requests
     */
    public long requests() {
        return requests;
    }

    /**
     * Returns the requests whose callers were told that they may have run.
     *
     * @return the requests
     */
    public long uncertainRequests() {
        return uncertain;
    }

    /**
     * Returns the share of the attempts at failing workers after five seconds.
     *
     * @return the share, from 0 to 1
     */
    public double failingShare() {
        return lateAttempts == 0 ? 0 : (double) failingAttempts / lateAttempts;
    }

    /**
     * Returns the mean number of slots that were idle while as many requests waited.
     *
     * @return the slots
     */
    public double idleWhileWaiting() {
        return samples == 0 ? 0 : (double) idleWhileWaiting / samples;
    }

    /**
     * Returns a percentile of the times from arrival to answer.
     *
     * @param percentile  the percentile, from 0 to 100
     * @return the time in milliseconds
     */
    public long latencyMillis(double percentile) {
        return latency.getValueAtPercentile(percentile);
    }

    /**
     * Returns the longest time from the arrival to the start of a request of a class.
     *
     * @param requestClass  the class, not null
     * @return the time in milliseconds
     */
    public long maxStartDelayMillis(RequestClass requestClass) {
        return startDelays.get(requestClass).getMaxValue();
    }

    /**
     * Returns the refused requests of each reason.
     *
     * @return the requests, not null
     */
    public Map<RefusalReason, Integer> refusals() {
        return refusals;
    }
}
