package org.trefoilpost.decision.wave;

/**
 * What the entries and the worker report of work in flight on a cordoned worker.
 */
public final class DrainReport implements WaveEvent {
    private final int step;
    private final int attempt;
    private final boolean drained;
    private final long incarnation;
    private final int headroom;

    private DrainReport(int step, int attempt, boolean quiet, long incarnation, int headroom) {
        this.step = step;
        this.attempt = attempt;
        this.drained = quiet;
        this.incarnation = incarnation;
        this.headroom = headroom;
    }

    /**
     * Obtains the event.
     *
     * @param step  the number of the step
     * @param attempt  the attempt of the step that the report belongs to
     * @param quiet  the quietness, true if every entry and the worker report none in flight
     * @param incarnation  the incarnation of the worker as seen
     * @param headroom  the present headroom of the worker's pool with all planned stops, negative if its budget is exceeded
     * @return the event, not null
     */
    public static DrainReport of(int step, int attempt, boolean quiet, long incarnation, int headroom) {
        return new DrainReport(step, attempt, quiet, incarnation, headroom);
    }

    /**
     * Returns the number of the step.
     *
     * @return the number of the step
     */
    public int step() {
        return step;
    }

    /**
     * Returns the attempt of the step that the report belongs to.
     *
     * @return the attempt of the step that the report belongs to
     */
    public int attempt() {
        return attempt;
    }

    /**
     * Returns the quietness, true if every entry and the worker report none in flight.
     *
     * @return the quietness
     */
    public boolean drained() {
        return drained;
    }

    /**
     * Returns the incarnation of the worker as seen.
     *
     * @return the incarnation of the worker as seen
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the present headroom of the worker's pool with all planned stops, negative if its budget is exceeded.
     *
     * @return the present headroom of the worker's pool with all planned stops
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
