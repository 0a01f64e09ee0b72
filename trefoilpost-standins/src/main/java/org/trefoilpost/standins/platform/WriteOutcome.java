package org.trefoilpost.standins.platform;

/**
 * What became of a conditional write, with the key's revision after it.
 */
final class WriteOutcome {
    private final Kind kind;
    private final long revision;

    private WriteOutcome(Kind kind, long revision) {
        this.kind = kind;
        this.revision = revision;
    }

    static WriteOutcome of(Kind kind, long revision) {
        return new WriteOutcome(kind, revision);
    }

    Kind kind() {
        return kind;
    }

    long revision() {
        return revision;
    }

    /**
     * The ways in which a write can end.
     */
    enum Kind {
        /** The write took effect. */
        DONE(200),
        /** The key has another revision. */
        CONFLICT(409),
        /** The key to delete does not exist. */
        NO_KEY(404),
        /** The lease is unknown or has lapsed. */
        NO_LEASE(404);

        private final int status;

        Kind(int status) {
            this.status = status;
        }

        int status() {
            return status;
        }
    }
}
