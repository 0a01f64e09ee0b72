package org.trefoilpost.entry.fleet;

/**
 * What an entry tells of its requests in flight on a cordoned worker.
 */
public final class DrainCount {
    private final int acknowledgedAttempt;
    private final int inFlight;

    private DrainCount(int acknowledged, int inFlight) {
        this.acknowledgedAttempt = acknowledged;
        this.inFlight = inFlight;
    }

    /**
     * Obtains a count.
     *
     * @param acknowledged  the newest attempt of the step whose cordon the entry had acknowledged when it counted
     * @param inFlight  the requests in flight, not negative
     * @return the count, not null
     */
    public static DrainCount of(int acknowledged, int inFlight) {
        return new DrainCount(acknowledged, inFlight);
    }

    /**
     * Returns the newest attempt whose cordon the entry had acknowledged.
     *
     * @return the attempt, 0 if none
     */
    public int acknowledgedAttempt() {
        return acknowledgedAttempt;
    }

    /**
     * Returns the requests in flight.
     *
     * @return the requests, not negative
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns both numbers.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return inFlight + " in flight, acknowledged " + acknowledgedAttempt;
    }
}
