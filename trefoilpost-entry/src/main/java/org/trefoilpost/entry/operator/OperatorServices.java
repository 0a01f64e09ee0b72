package org.trefoilpost.entry.operator;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.trefoilpost.entry.configuration.ConfigurationService;
import org.trefoilpost.entry.fleet.FleetReports;
import org.trefoilpost.entry.fleet.PlanService;
import org.trefoilpost.entry.membership.MembershipService;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * What operators' calls are answered from.
 */
public final class OperatorServices {
    private final EntryId entry;
    private final ConfigurationService configuration;
    private final MembershipService membership;
    private final FleetReports reports;
    private final PlanService plans;
    private final EntryMetrics metrics;
    private final MillisClock clock;
    private final Supplier<Optional<RefusalReason>> refusalReason;

    private OperatorServices(Builder builder) {
        this.entry = Objects.requireNonNull(builder.entry, "entry");
        this.configuration = Objects.requireNonNull(builder.configuration, "configuration");
        this.membership = Objects.requireNonNull(builder.membership, "membership");
        this.reports = Objects.requireNonNull(builder.reports, "reports");
        this.plans = Objects.requireNonNull(builder.plans, "plans");
        this.metrics = Objects.requireNonNull(builder.metrics, "metrics");
        this.clock = Objects.requireNonNull(builder.clock, "clock");
        this.refusalReason = Objects.requireNonNull(builder.refusalReason, "closed");
    }

    /**
     * Returns a builder.
     *
     * @param entry  the name of this entry, not null
     * @return the builder, not null
     */
    public static Builder builder(EntryId entry) {
        return new Builder(entry);
    }

    EntryId entry() {
        return entry;
    }

    ConfigurationService configuration() {
        return configuration;
    }

    MembershipService membership() {
        return membership;
    }

    FleetReports reports() {
        return reports;
    }

    PlanService plans() {
        return plans;
    }

    EntryMetrics metrics() {
        return metrics;
    }

    MillisClock clock() {
        return clock;
    }

    Optional<RefusalReason> refusalReason() {
        return refusalReason.get();
    }

    /**
     * Builder of services.
     */
    public static final class Builder {
        private final EntryId entry;
        private ConfigurationService configuration;
        private MembershipService membership;
        private FleetReports reports;
        private PlanService plans;
        private EntryMetrics metrics;
        private MillisClock clock;
        private Supplier<Optional<RefusalReason>> refusalReason;

        private Builder(EntryId entry) {
            this.entry = entry;
        }

        /**
         * Sets the configuration's duty.
         *
         * @param newConfiguration  the duty, not null
         * @return this builder, not null
         */
        public Builder configuration(ConfigurationService newConfiguration) {
            this.configuration = newConfiguration;
            return this;
        }

        /**
         * Sets the membership's duty.
         *
         * @param newMembership  the duty, not null
         * @return this builder, not null
         */
        public Builder membership(MembershipService newMembership) {
            this.membership = newMembership;
            return this;
        }

        /**
         * Sets what reports on and changes the fleet.
         *
         * @param newReports  the reports, not null
         * @param newPlans  the desk for plans, not null
         * @return this builder, not null
         */
        public Builder fleet(FleetReports newReports, PlanService newPlans) {
            this.reports = newReports;
            this.plans = newPlans;
            return this;
        }

        /**
         * Sets the metrics.
         *
         * @param newMetrics  the metrics, not null
         * @return this builder, not null
         */
        public Builder metrics(EntryMetrics newMetrics) {
            this.metrics = newMetrics;
            return this;
        }

        /**
         * Sets the clock.
         *
         * @param newClock  the clock, not null
         * @return this builder, not null
         */
        public Builder clock(MillisClock newClock) {
            this.clock = newClock;
            return this;
        }

        /**
         * Sets what tells why callers' requests are not taken.
         *
         * @param newClosed  tells the reason, empty if requests are taken, not null
         * @return this builder, not null
         */
        public Builder refusalReason(Supplier<Optional<RefusalReason>> newClosed) {
            this.refusalReason = newClosed;
            return this;
        }

        /**
         * Builds the services.
         *
         * @return the services, not null
         * @throws NullPointerException if anything is missing
         */
        public OperatorServices build() {
            return new OperatorServices(this);
        }
    }
}
