package org.trefoilpost.entry.fleet;

/**
 * The number of requests that an entry has in flight on a cordoned worker, and the cordon it had acknowledged then.
 */
public final class DrainCount {
    private final int acknowledgedAttempt;
    private final int inFlight;

    private DrainCount(int acknowledgedAttempt, int inFlight) {
        this.acknowledgedAttempt = acknowledgedAttempt;
        this.inFlight = inFlight;
    }

    /**
     * Obtains an instance.
     *
     * @param acknowledgedAttempt  the newest attempt whose cordon the entry had acknowledged when it counted, 0 if none
     * @param inFlight  the number of requests in flight, not negative
     * @return the count, not null
     */
    public static DrainCount of(int acknowledgedAttempt, int inFlight) {
        return new DrainCount(acknowledgedAttempt, inFlight);
    }

    /**
     * Returns the newest attempt of the step whose cordon the entry had acknowledged when it counted.
     *
     * @return the attempt, 0 if none
     */
    public int acknowledgedAttempt() {
        return acknowledgedAttempt;
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number of requests, not negative
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
