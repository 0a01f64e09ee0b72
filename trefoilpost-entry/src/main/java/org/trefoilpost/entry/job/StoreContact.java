package org.trefoilpost.entry.job;

import java.util.OptionalLong;
import org.trefoilpost.decision.job.Decision;

/**
 * Whether the store answers the calls of a mirror, and since when. Used on the service's thread only.
 */
final class StoreContact {
    private final String prefix;
    private final JobContext context;
    private boolean connected;
    private long reconnectedMillis = Long.MIN_VALUE / 2;
    /** True from a failed call until the next answer. */
    private boolean silent;
    /** When the first of the failed calls was sent. */
    private long silentSinceMillis;

    StoreContact(String prefix, JobContext context) {
        this.prefix = prefix;
        this.context = context;
    }

    /**
     * Returns when the store first answered after the last failure, on the steady clock in milliseconds.
     */
    long reconnectedMillis() {
        return reconnectedMillis;
    }

    /**
     * Handles that calls are sent again, as the store may not have received them.
     */
    void lost() {
        connected = false;
    }

    /**
     * Handles an answer.
     *
     * @param confirmedAgeMillis  how long ago the store last confirmed the mirror's contents, in milliseconds
     * @return if calls have failed before, the time in milliseconds since the first of them was sent, else empty
     */
    OptionalLong answered(long confirmedAgeMillis) {
        long nowMillis = context.now().steadyMillis();
        if (!connected) {
            connected = true;
            reconnectedMillis = nowMillis;
            context.logDecision(Decision.of("dependency-regained")
                    .with("dependency", "store " + prefix)
                    .with("confirmedAge", confirmedAgeMillis));
        }
        if (!silent) {
            return OptionalLong.empty();
        }
        silent = false;
        return OptionalLong.of(nowMillis - silentSinceMillis);
    }

    /**
     * Handles a failed call.
     *
     * @param sentMillis  when the call was sent, on the steady clock in milliseconds
     * @param confirmedAgeMillis  how long ago the store last confirmed the mirror's contents, in milliseconds
     */
    void failed(Throwable failure, long sentMillis, long confirmedAgeMillis) {
        if (!silent) {
            silent = true;
            silentSinceMillis = sentMillis;
        }
        if (connected) {
            connected = false;
            context.logDecision(Decision.failure("dependency-lost")
                    .with("dependency", "store " + prefix)
                    .with("confirmedAge", confirmedAgeMillis)
                    .with("failure", String.valueOf(failure.getMessage())));
        }
    }
}
