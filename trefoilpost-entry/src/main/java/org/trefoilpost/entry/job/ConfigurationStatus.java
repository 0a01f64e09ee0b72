package org.trefoilpost.entry.job;

import java.util.OptionalLong;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.StoreConfirmation;

/**
 * How recently the configuration in force was confirmed, by the store or by another entry. Written on the service's
 * thread; may be read on any thread.
 */
final class ConfigurationStatus {
    private final JobContext context;
    private final Moment start;
    private volatile StoreConfirmation confirmation;

    ConfigurationStatus(JobContext context) {
        this.context = context;
        this.start = context.now();
        this.confirmation = StoreConfirmation.none(start);
    }

    /**
     * Applies a confirmation.
     *
     * @param confirmed  the moment at which the configuration in force was the newest one or was newer
     */
    void confirmed(Moment confirmed) {
        confirmation = confirmation.confirmed(confirmed, context.now());
    }

    /**
     * Discards the confirmation, as the process has been suspended.
     */
    void invalidate() {
        confirmation = confirmation.voided();
    }

    /**
     * Returns the age of the confirmation in milliseconds, empty if there is none.
     */
    OptionalLong ageMillis() {
        return confirmation.ageMillis(context.now());
    }

    /**
     * Returns the age of the confirmation in milliseconds, or the time since the start if there is none.
     */
    long displayedAgeMillis() {
        Moment now = context.now();
        return confirmation.ageMillis(now).orElse(now.steadyMillis() - start.steadyMillis());
    }

    /**
     * Returns whether requests can be answered by the configuration in force.
     */
    boolean isConfirmed() {
        return context.settings().configurationBound().isConfirmed(ageMillis());
    }
}
