package org.trefoilpost.decision.wave;

/**
 * Reports whether a cordoned worker still has work in flight, as its entries and the worker itself see it.
 */
public final class DrainReport implements WaveEvent {
    private final int step;
    private final int attempt;
    private final boolean drained;
    private final long incarnation;
    private final int headroom;

    private DrainReport(int step, int attempt, boolean drained, long incarnation, int headroom) {
        this.step = step;
        this.attempt = attempt;
        this.drained = drained;
        this.incarnation = incarnation;
        this.headroom = headroom;
    }

    /**
     * Obtains the event.
     *
     * @param step  the number of the step
     * @param attempt  the attempt of the step that the report belongs to, counted from 1
     * @param drained  whether every entry and the worker report no work in flight
     * @param incarnation  the current incarnation of the worker
     * @param headroom  the workers that the pool has above its budget after all planned stops, negative if it is exceeded
     * @return the event, not null
     */
    public static DrainReport of(int step, int attempt, boolean drained, long incarnation, int headroom) {
        return new DrainReport(step, attempt, drained, incarnation, headroom);
    }

    /**
     * Returns the number of the step.
     *
     * @return the number
     */
    public int step() {
        return step;
    }

    /**
     * Returns the attempt of the step that the report belongs to.
     *
     * @return the attempt, counted from 1
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns whether every entry and the worker report no work in flight.
     *
     * @return true if the worker is drained
     */
    public boolean drained() {
        return drained;
    }

    /**
     * Returns the incarnation of the worker at the time of the report.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the headroom of the worker's pool at the time of the report, all planned stops subtracted.
     *
     * @return the count of workers, negative if the budget is exceeded
     */
    public int headroom() {
        return headroom;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "DrainReport" + " " + step + " " + attempt + " " + drained + " " + incarnation + " " + headroom;
    }
}
