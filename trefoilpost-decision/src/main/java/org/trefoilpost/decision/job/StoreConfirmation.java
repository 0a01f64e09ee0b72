package org.trefoilpost.decision.job;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The latest moment at which it was certain that an entry lacked no change of what it keeps of the store: the configuration
 * in force, or the registry of workers. The moment is kept on both clocks, because the steady clock may stop while the process
 * is suspended: if the clocks have advanced differently since that moment, it is void. Immutable.
 */
public final class StoreConfirmation {
    /** If the advances of the wall clock and the steady clock differ by more, the process counts as suspended. */
    public static final long MAX_CLOCK_DIVERGENCE_MILLIS = 300;

    private final Moment start;
    private final Optional<Moment> latest;

    private StoreConfirmation(Moment start, Optional<Moment> latest) {
        this.start = start;
        this.latest = latest;
    }

    /**
     * Returns the state of a process that has no confirmation yet.
     *
     * @param start  the start of the process, not null
     * @return the state, not null
     */
    public static StoreConfirmation none(Moment start) {
        return new StoreConfirmation(start, Optional.empty());
    }

    /**
     * Applies a confirmation. One that is void, older than the present one, or older than the process has no effect: the
     * process that ran this entry before may have served newer contents.
     *
     * @param confirmed  the moment for which there is a confirmation, not null
     * @param now  the present moment, not null
     * @return the new state, not null
     */
    public StoreConfirmation confirmed(Moment confirmed, Moment now) {
        boolean older = ageMillis(now).isPresent() && latest.orElseThrow().steadyMillis() >= confirmed.steadyMillis();
        if (older || confirmed.steadyMillis() < start.steadyMillis() || isDiverged(confirmed, now)) {
            return this;
        }
        return new StoreConfirmation(start, Optional.of(confirmed));
    }

    /**
     * Returns the state without any confirmation, as after a suspension of the process.
     *
     * @return the state, not null
     */
    public StoreConfirmation voided() {
        return none(start);
    }

    /**
     * Returns the age of the confirmation.
     *
     * @param now  the present moment, not null
     * @return the age in milliseconds, empty if there is no confirmation or it is void, not null
     */
    public OptionalLong ageMillis(Moment now) {
        if (latest.isEmpty() || isDiverged(latest.get(), now)) {
            return OptionalLong.empty();
        }
        Moment confirmed = latest.get();
        return OptionalLong.of(Math.max(
                0, Math.max(now.steadyMillis() - confirmed.steadyMillis(), now.wallMillis() - confirmed.wallMillis())));
    }

    /**
     * Returns whether the clocks have advanced so differently between two moments that the process counts as suspended.
     *
     * @param earlier  the earlier moment, not null
     * @param later  the later moment, not null
     * @return true if the difference is over the limit
     */
    public static boolean isDiverged(Moment earlier, Moment later) {
        long steadyAdvanceMillis = later.steadyMillis() - earlier.steadyMillis();
        long wallAdvanceMillis = later.wallMillis() - earlier.wallMillis();
        return Math.abs(wallAdvanceMillis - steadyAdvanceMillis) > MAX_CLOCK_DIVERGENCE_MILLIS;
    }
}
