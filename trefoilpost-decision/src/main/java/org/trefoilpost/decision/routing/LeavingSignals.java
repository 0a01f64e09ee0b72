package org.trefoilpost.decision.routing;

import java.util.Objects;

/**
 * The signals that one worker is leaving: from the platform's list, from the worker itself and from cordons.
 *
 * <p>Every part only increases, so that merging is commutative, associative and idempotent, and delayed, reordered or
 * repeated messages change nothing.
 */
public final class LeavingSignals {
    /** The incarnation or cordon version of a signal that was never given. */
    public static final long NEVER = Long.MIN_VALUE;

    /** The signals of a worker for which none was given. */
    static final LeavingSignals NONE = new LeavingSignals(NEVER, NEVER, NEVER, false);

    private final long listIncarnation;
    private final long workerIncarnation;
    private final long cordonVersion;
    private final boolean cordoned;

    private LeavingSignals(long listIncarnation, long workerIncarnation, long cordonVersion, boolean cordoned) {
        this.listIncarnation = listIncarnation;
        this.workerIncarnation = workerIncarnation;
        this.cordonVersion = cordonVersion;
        this.cordoned = cordoned;
    }

    /**
     * Obtains the signals of a worker, for example as decoded from a peer's message.
     *
     * @param listIncarnation  the newest incarnation that the platform's list showed as leaving, or {@link #NEVER}
     * @param workerIncarnation  the newest incarnation that announced itself as leaving, or {@link #NEVER}
     * @param cordonVersion  the version of the newest cordon or uncordon, or {@link #NEVER}
     * @param cordoned  true if that version is a cordon
     * @return the signals, not null
     */
    public static LeavingSignals of(
            long listIncarnation, long workerIncarnation, long cordonVersion, boolean cordoned) {
        return new LeavingSignals(listIncarnation, workerIncarnation, cordonVersion, cordoned);
    }

    /**
     * Returns the newest incarnation that the platform's list showed as leaving.
     *
     * @return the incarnation, or {@link #NEVER}
     */
    public long listIncarnation() {
        return listIncarnation;
    }

    /**
     * Returns the newest incarnation in which the worker announced that it is leaving.
     *
     * @return the incarnation, or {@link #NEVER}
     */
    public long workerIncarnation() {
        return workerIncarnation;
    }

    /**
     * Returns the version of the newest cordon or uncordon.
     *
     * @return the version, or {@link #NEVER}
     */
    public long cordonVersion() {
        return cordonVersion;
    }

    /**
     * Returns whether the newest cordon version is a cordon.
     *
     * @return true if cordoned
     */
    public boolean cordoned() {
        return cordoned;
    }

    /**
     * Returns whether an incarnation of the worker takes no new work.
     *
     * @param incarnation  the incarnation
     * @return true if the worker is cordoned, or this or a newer incarnation was signalled as leaving
     */
    public boolean leaving(long incarnation) {
        return cordoned || incarnation <= listIncarnation || incarnation <= workerIncarnation;
    }

    /**
     * Returns the union of these signals and others; of a cordon and an uncordon of one version, the cordon wins.
     *
     * @param other  the other signals of the same worker, not null
     * @return the union, not null
     */
    public LeavingSignals merge(LeavingSignals other) {
        boolean otherNewer = other.cordonVersion > cordonVersion;
        boolean sameVersion = other.cordonVersion == cordonVersion;
        boolean either = cordoned || other.cordoned;
        boolean newest = otherNewer ? other.cordoned : cordoned;
        return new LeavingSignals(
                Math.max(listIncarnation, other.listIncarnation),
                Math.max(workerIncarnation, other.workerIncarnation),
                Math.max(cordonVersion, other.cordonVersion),
                sameVersion ? either : newest);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof LeavingSignals other
                && other.listIncarnation == listIncarnation
                && other.workerIncarnation == workerIncarnation
                && other.cordonVersion == cordonVersion
                && other.cordoned == cordoned;
    }

    @Override
    public int hashCode() {
        return Objects.hash(listIncarnation, workerIncarnation, cordonVersion, cordoned);
    }

    /**
     * Returns the incarnations, the cordon version and whether it is a cordon.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "list " + listIncarnation + ", worker " + workerIncarnation + ", cordon " + cordonVersion + " "
                + cordoned;
    }
}
