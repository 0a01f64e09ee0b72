package org.trefoilpost.entry.platform;

/**
 * The service's answer to a compare-and-swap.
 */
public final class WriteOutcome {
    private final boolean written;
    private final long revision;

    private WriteOutcome(boolean written, long revision) {
        this.written = written;
        this.revision = revision;
    }

    /**
     * Obtains the outcome of a write that took effect.
     *
     * @param revision  the new revision
     * @return the outcome, not null
     */
    public static WriteOutcome written(long revision) {
        return new WriteOutcome(true, revision);
    }

    /**
     * Obtains the outcome of a write that found another revision.
     *
     * @param presentRevision  the revision found, 0 if the key does not exist
     * @return the outcome, not null
     */
    public static WriteOutcome conflict(long presentRevision) {
        return new WriteOutcome(false, presentRevision);
    }

    /**
     * Returns whether the write took effect.
     *
     * @return true if it took effect, false if another revision was found
     */
    public boolean isWritten() {
        return written;
    }

    /**
     * Returns the key's revision after the call.
     *
     * @return the revision, 0 if the key does not exist
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the outcome and the revision.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return (written ? "written@" : "conflict@") + revision;
    }
}
