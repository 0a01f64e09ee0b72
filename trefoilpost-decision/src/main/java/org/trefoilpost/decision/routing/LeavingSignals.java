package org.trefoilpost.decision.routing;

import java.util.Objects;

/**
 * What is known of one worker's leaving.
 *
 * <p>Every part only grows, so that merging is commutative, associative and idempotent, and a late or repeated message
 * changes nothing.
 */
public final class LeavingSignals {
    /** The incarnation and the cordon version that stand for "never". */
    public static final long NEVER = Long.MIN_VALUE;

    /** Nothing is known. */
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
     * Obtains an entry, as decoded from a peer's message.
     *
     * @param listIncarnation  the newest incarnation that the platform's list showed as leaving, or {@link #NEVER}
     * @param workerIncarnation  the newest incarnation in which the worker said it leaves, or {@link #NEVER}
     * @param cordonVersion  the version of the newest cordon or uncordon, or {@link #NEVER}
     * @param cordoned  true if that version is a cordon
     * @return the entry, not null
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
     * Returns the newest incarnation in which the worker said that it leaves.
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
     * @return true if any signal says so
     */
    public boolean leaving(long incarnation) {
        return cordoned || incarnation <= listIncarnation || incarnation <= workerIncarnation;
    }

    /**
     * Returns the union of this entry and another; of two cordon messages of one version the cordon counts.
     *
     * @param other  the other entry, not null
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
     * Returns the parts of this entry.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "list " + listIncarnation + ", worker " + workerIncarnation + ", cordon " + cordonVersion + " "
                + cordoned;
    }
}
