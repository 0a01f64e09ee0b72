package org.trefoilpost.model.configuration;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.capacity.PlanMeasureWeights;

/**
 * Reads a configuration, or a part of one, from a tree and collects the faults.
 */
final class ConfigurationReader {
    private static final int MAX_FLOOR = 100_000;
    private static final int MAX_BODY_BYTES = 16_777_216;
    private static final long MAX_REQUEST_TIMEOUT_MILLIS = 3_600_000;
    private static final int MAX_QUEUE_LIMIT = 65_536;
    private static final int MAX_SLOTS_PER_WORKER = 1_024;
    private static final int MAX_CONNECTIONS_PER_ENTRY = 64;
    private static final long MIN_MAINTENANCE_TIMEOUT_MILLIS = 1_000;
    private static final long MAX_MAINTENANCE_TIMEOUT_MILLIS = 86_400_000;
    private static final int MAX_MOVES_PER_DAY = 10_000;
    private static final int MAX_QUOTA = 1_000_000;
    private static final double MAX_WEIGHT = 1_000_000;
    private static final String EXPECTED_DOMAINS = "none, worker, rack or data-centre is expected";

    private final List<ConfigurationFault> faults = new ArrayList<>();

    List<ConfigurationFault> faults() {
        return faults;
    }

    Configuration readDocument(JsonNode tree) {
        Configuration.Builder builder = Configuration.builder();
        FieldReader document = new FieldReader("", tree, faults);
        builder.version(document.integerOr("version", 0, Long.MAX_VALUE, 0));
        readPools(document.object("pools"), builder);
        document.optionalObject("teams").ifPresent(teams -> readTeams(teams, builder));
        builder.weights(readWeights(document.object("weights")));
        document.reportUnknown();
        Configuration configuration = builder.build();
        faults.addAll(ConfigurationChecks.findFaults(configuration));
        return configuration;
    }

    void readPart(ConfigurationPart part, JsonNode tree, Configuration.Builder builder) {
        FieldReader fields = new FieldReader(part.path(), tree, faults);
        if (part.pool().isPresent()) {
            builder.pool(readPool(part.pool().get(), fields));
        } else if (part.equals(ConfigurationPart.TEAMS)) {
            readTeams(fields, builder);
        } else {
            builder.weights(readWeights(fields));
        }
    }

    private void readPools(FieldReader pools, Configuration.Builder builder) {
        for (String text : pools.names()) {
            FieldReader fields = pools.object(text);
            pools.parseName(text, text, PoolName::of)
                    .ifPresentOrElse(name -> builder.pool(readPool(name, fields)), () -> reportPoolFaults(fields));
        }
    }

    private void reportPoolFaults(FieldReader fields) {
        readPool(PoolName.of("invalid"), fields);
    }

    private PoolSettings readPool(PoolName name, FieldReader fields) {
        PoolSettingsBuilder builder = PoolSettings.builder(name)
                .budget(readBudget(fields.object("budget")))
                .initialRacks(fields.names("initialRacks", RackName::of))
                .initialWorkers(fields.names("initialWorkers", WorkerId::of));
        readRequestLimits(fields, builder);
        readTimeouts(fields, builder);
        fields.optionalObject("standingConsent").ifPresent(consent -> builder.standingConsent(readConsent(consent)));
        fields.reportUnknown();
        return builder.build();
    }

    private static void readRequestLimits(FieldReader fields, PoolSettingsBuilder builder) {
        builder.maxBodyBytes(
                (int) fields.integerOr("maxBodyBytes", 1, MAX_BODY_BYTES, PoolSettings.DEFAULT_MAX_BODY_BYTES));
        builder.queueLimit((int) fields.integerOr("queueLimit", 0, MAX_QUEUE_LIMIT, PoolSettings.DEFAULT_QUEUE_LIMIT));
        builder.slotsPerWorker((int)
                fields.integerOr("slotsPerWorker", 1, MAX_SLOTS_PER_WORKER, PoolSettings.DEFAULT_SLOTS_PER_WORKER));
        builder.connectionsPerEntry((int) fields.integerOr(
                "connectionsPerEntry", 1, MAX_CONNECTIONS_PER_ENTRY, PoolSettings.DEFAULT_CONNECTIONS_PER_ENTRY));
        builder.retryShare(fields.numberOr("retryShare", 0, 1, PoolSettings.DEFAULT_SHARE));
        builder.bulkShare(fields.numberOr("bulkShare", 0, 1, PoolSettings.DEFAULT_SHARE));
    }

    private static void readTimeouts(FieldReader fields, PoolSettingsBuilder builder) {
        builder.timeout(
                readMillis(fields, "timeoutMillis", 1, MAX_REQUEST_TIMEOUT_MILLIS, PoolSettings.DEFAULT_TIMEOUT));
        builder.drainTimeout(readMaintenanceTimeout(fields, "drainTimeoutMillis", PoolSettings.DEFAULT_DRAIN_TIMEOUT));
        builder.rebootTimeout(
                readMaintenanceTimeout(fields, "rebootTimeoutMillis", PoolSettings.DEFAULT_REBOOT_TIMEOUT));
    }

    private static Duration readMaintenanceTimeout(FieldReader fields, String field, Duration absent) {
        return readMillis(fields, field, MIN_MAINTENANCE_TIMEOUT_MILLIS, MAX_MAINTENANCE_TIMEOUT_MILLIS, absent);
    }

    private static Duration readMillis(FieldReader fields, String field, long least, long most, Duration absent) {
        return Duration.ofMillis(fields.integerOr(field, least, most, absent.toMillis()));
    }

    private static AvailabilityBudget readBudget(FieldReader fields) {
        int floor = fields.integer("floor", 0, MAX_FLOOR);
        FailureDomain reserve = fields.choice("reserve", FailureDomain::ofCode, EXPECTED_DOMAINS, FailureDomain.NONE);
        fields.reportUnknown();
        return AvailabilityBudget.of(floor, reserve);
    }

    private static StandingConsentSettings readConsent(FieldReader fields) {
        int movesPerDay = fields.integer("movesPerDay", 0, MAX_MOVES_PER_DAY);
        StandingConsentSettings consent =
                StandingConsentSettings.of(movesPerDay, fields.names("lendingPools", PoolName::of));
        fields.reportUnknown();
        return consent;
    }

    private static void readTeams(FieldReader teams, Configuration.Builder builder) {
        for (String text : teams.names()) {
            FieldReader fields = teams.object(text);
            int requests = fields.integer("concurrentRequests", 0, MAX_QUOTA);
            int cores = fields.integer("cores", 0, MAX_QUOTA);
            int accelerators = fields.integer("accelerators", 0, MAX_QUOTA);
            fields.reportUnknown();
            teams.parseName(text, text, TeamName::of)
                    .ifPresent(team -> builder.team(TeamQuota.of(team, requests, cores, accelerators)));
        }
    }

    private static PlanMeasureWeights readWeights(FieldReader fields) {
        double bufferCost = fields.number("bufferCost", 0, MAX_WEIGHT);
        double rollOutTime = fields.number("rollOutTime", 0, MAX_WEIGHT);
        double moves = fields.number("moves", 0, MAX_WEIGHT);
        fields.reportUnknown();
        return PlanMeasureWeights.of(bufferCost, rollOutTime, moves);
    }
}
