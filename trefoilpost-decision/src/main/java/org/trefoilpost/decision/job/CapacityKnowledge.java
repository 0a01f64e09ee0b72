package org.trefoilpost.decision.job;

import java.util.Map;
import java.util.OptionalLong;

/**
 * Whether the capacities of workers, which they report to the registry, are known well enough to start tasks. They are not
 * if the registry has not been heard of for too long, and, after such a silence, until each worker has had the time to
 * report again. Immutable.
 */
public final class CapacityKnowledge {
    /** Time that a start may take to reach its worker, in milliseconds. */
    private static final long START_MILLIS = 300;

    private final CapacityBound bound;
    private final StoreConfirmation confirmation;
    /** When the workers have had the time to report, on the steady clock. */
    private final long reportsDueMillis;

    private CapacityKnowledge(CapacityBound bound, StoreConfirmation confirmation, long reportsDueMillis) {
        this.bound = bound;
        this.confirmation = confirmation;
        this.reportsDueMillis = reportsDueMillis;
    }

    /**
     * Returns the knowledge of a process that has not read the registry yet.
     *
     * @param bound  the time within which smaller capacities must be respected, not null
     * @param start  the start of the process, not null
     * @return the knowledge, not null
     */
    public static CapacityKnowledge none(CapacityBound bound, Moment start) {
        return new CapacityKnowledge(bound, StoreConfirmation.none(start), Long.MIN_VALUE / 2);
    }

    /**
     * Applies a confirmation that no report before a moment is missing.
     *
     * @param confirmed  the moment, not null
     * @param now  the present moment, not null
     * @return the new knowledge, not null
     */
    public CapacityKnowledge confirmed(Moment confirmed, Moment now) {
        return new CapacityKnowledge(bound, confirmation.confirmed(confirmed, now), reportsDueMillis);
    }

    /**
     * Handles that the registry answers again after a silence, in which workers may have failed to report too. A short one
     * hides no report for too long, unless the workers' reports are awaited after an earlier one.
     *
     * @param silenceMillis  the duration of the silence, in milliseconds
     * @param now  the present moment, not null
     * @return the new knowledge, not null
     */
    public CapacityKnowledge afterSilence(long silenceMillis, Moment now) {
        return silenceMillis > bound.applyMillis() || isAwaitingReports(now)
                ? new CapacityKnowledge(bound, confirmation, now.steadyMillis() + bound.reportIntervalMillis())
                : this;
    }

    private boolean isAwaitingReports(Moment now) {
        OptionalLong ageMillis = confirmation.ageMillis(now);
        return ageMillis.isPresent() && now.steadyMillis() - ageMillis.getAsLong() < reportsDueMillis;
    }

    /**
     * Returns whether starts that rest on the known capacities respect those that must be known by now.
     *
     * @param now  the present moment, not null
     * @return true if tasks may be started
     */
    public boolean isSufficient(Moment now) {
        OptionalLong ageMillis = confirmation.ageMillis(now);
        return ageMillis.isPresent()
                && ageMillis.getAsLong() <= bound.applyMillis() - START_MILLIS
                && !isAwaitingReports(now);
    }

    /**
     * Returns what the knowledge rests on, for the log: the age of the confirmation, and the time for which reports are
     * still awaited, in milliseconds.
     *
     * @param now  the present moment, not null
     * @return the values by field key, not null
     */
    public Map<String, Object> inputs(Moment now) {
        OptionalLong ageMillis = confirmation.ageMillis(now);
        return Map.of(
                "confirmedAge",
                ageMillis.isPresent() ? ageMillis.getAsLong() : "void",
                "awaitsReportsMillis",
                Math.max(0, reportsDueMillis - now.steadyMillis()));
    }
}
