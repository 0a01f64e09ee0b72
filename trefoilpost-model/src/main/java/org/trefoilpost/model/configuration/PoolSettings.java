package org.trefoilpost.model.configuration;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;

/**
 * What operators set for one pool.
 *
 * <p>An instance that is in no pool yet joins the pool that lists its rack or its name when it is first seen. Later only
 * moves change an instance's pool.
 */
public final class PoolSettings {
    /** The default size limit of a body, in bytes. */
    public static final int DEFAULT_MAX_BODY_BYTES = 1_048_576;

    /** The default deadline of a request. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    /** The default number of requests that wait at one entry. */
    public static final int DEFAULT_QUEUE_LIMIT = 256;

    /** The default number of requests that one worker runs at once. */
    public static final int DEFAULT_SLOTS_PER_WORKER = 8;

    /** The default number of connections from one entry to one worker. */
    public static final int DEFAULT_CONNECTIONS_PER_ENTRY = 7;

    /** The default share of retries and of bulk capacity. */
    public static final double DEFAULT_SHARE = 0.1;

    /** The default time that a worker may drain. */
    public static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofMinutes(10);

    /** The default time that a worker may reboot. */
    public static final Duration DEFAULT_REBOOT_TIMEOUT = Duration.ofMinutes(10);

    private final PoolName name;

    private final AvailabilityBudget budget;
    private final SortedSet<RackName> initialRacks;
    private final SortedSet<WorkerId> initialWorkers;
    private final int maxBodyBytes;
    private final Duration timeout;
    private final int queueLimit;
    private final int slotsPerWorker;
    private final int connectionsPerEntry;
    private final double retryShare;
    private final double bulkShare;
    private final Duration drainTimeout;
    private final Duration rebootTimeout;
    private final Optional<StandingConsentSettings> standingConsent;

    PoolSettings(PoolSettingsBuilder builder) {
        this.name = builder.name();
        this.budget = Objects.requireNonNull(builder.budget(), "budget");
        this.initialRacks = Collections.unmodifiableSortedSet(new TreeSet<>(builder.initialRacks()));
        this.initialWorkers = Collections.unmodifiableSortedSet(new TreeSet<>(builder.initialWorkers()));
        this.maxBodyBytes = requireAtLeast(1, "maxBodyBytes", builder.maxBodyBytes());
        this.timeout = requirePositive("timeout", builder.timeout());
        this.queueLimit = requireAtLeast(0, "queueLimit", builder.queueLimit());
        this.slotsPerWorker = requireAtLeast(1, "slotsPerWorker", builder.slotsPerWorker());
        this.connectionsPerEntry = requireAtLeast(1, "connectionsPerEntry", builder.connectionsPerEntry());
        this.retryShare = requireShare("retryShare", builder.retryShare());
        this.bulkShare = requireShare("bulkShare", builder.bulkShare());
        this.drainTimeout = requirePositive("drainTimeout", builder.drainTimeout());
        this.rebootTimeout = requirePositive("rebootTimeout", builder.rebootTimeout());
        this.standingConsent = builder.standingConsent();
    }

    private static int requireAtLeast(int least, String field, int value) {
        if (value < least) {
            throw new IllegalArgumentException(field + " must be at least " + least + ": " + value);
        }
        return value;
    }

    private static double requireShare(String field, double value) {
        if (!(value >= 0 && value <= 1)) {
            throw new IllegalArgumentException(field + " must be from 0 to 1: " + value);
        }
        return value;
    }

    private static Duration requirePositive(String field, Duration value) {
        if (value.isNegative() || value.isZero()) {
            throw new IllegalArgumentException(field + " must be positive: " + value);
        }
        return value;
    }

    /**
     * Starts the settings of a pool.
     *
     * @param name  the name of the pool, not null
     * @return the builder, not null
     */
    public static PoolSettingsBuilder builder(PoolName name) {
        return new PoolSettingsBuilder(name);
    }

    /**
     * Returns the name of the pool.
     *
     * @return the name, not null
     */
    public PoolName name() {
        return name;
    }

    /**
     * Returns the availability budget.
     *
     * @return the budget, not null
     */
    public AvailabilityBudget budget() {
        return budget;
    }

    /**
     * Returns the racks whose new workers join this pool.
     *
     * @return the racks, not null, unmodifiable
     */
    public SortedSet<RackName> initialRacks() {
        return initialRacks;
    }

    /**
     * Returns the new workers that join this pool.
     *
     * @return the workers, not null, unmodifiable
     */
    public SortedSet<WorkerId> initialWorkers() {
        return initialWorkers;
    }

    /**
     * Returns the largest body of a request or an answer that is held whole.
     *
     * @return the size in bytes, positive
     */
    public int maxBodyBytes() {
        return maxBodyBytes;
    }

    /**
     * Returns the deadline of a request that names none.
     *
     * @return the timeout, positive
     */
    public Duration timeout() {
        return timeout;
    }

    /**
     * Returns the most requests that wait at one entry.
     *
     * @return the limit, not negative
     */
    public int queueLimit() {
        return queueLimit;
    }

    /**
     * Returns the requests that one worker runs at once.
     *
     * @return the slots, positive
     */
    public int slotsPerWorker() {
        return slotsPerWorker;
    }

    /**
     * Returns the most connections from one entry to one worker.
     *
     * @return the connections, positive
     */
    public int connectionsPerEntry() {
        return connectionsPerEntry;
    }

    /**
     * Returns the most retries as a share of first attempts.
     *
     * @return the share, from 0 to 1
     */
    public double retryShare() {
        return retryShare;
    }

    /**
     * Returns the share of the capacity kept for bulk requests.
     *
     * @return the share, from 0 to 1
     */
    public double bulkShare() {
        return bulkShare;
    }

    /**
     * Returns how long a worker may drain before it is set aside.
     *
     * @return the time, positive
     */
    public Duration drainTimeout() {
        return drainTimeout;
    }

    /**
     * Returns how long a worker may reboot before it is set aside.
     *
     * @return the time, positive
     */
    public Duration rebootTimeout() {
        return rebootTimeout;
    }

    /**
     * Returns the loans that this pool may take without a confirmation.
     *
     * @return the consent, not null, empty if every move has to be confirmed
     */
    public Optional<StandingConsentSettings> standingConsent() {
        return standingConsent;
    }

    /**
     * Returns a builder that starts from these settings.
     *
     * @return the builder, not null
     */
    public PoolSettingsBuilder toBuilder() {
        PoolSettingsBuilder builder = new PoolSettingsBuilder(name);
        builder.budget(budget);
        builder.initialRacks(initialRacks);
        builder.initialWorkers(initialWorkers);
        builder.maxBodyBytes(maxBodyBytes);
        builder.timeout(timeout);
        builder.queueLimit(queueLimit);
        builder.slotsPerWorker(slotsPerWorker);
        builder.connectionsPerEntry(connectionsPerEntry);
        builder.retryShare(retryShare);
        builder.bulkShare(bulkShare);
        builder.drainTimeout(drainTimeout);
        builder.rebootTimeout(rebootTimeout);
        standingConsent.ifPresent(builder::standingConsent);
        return builder;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PoolSettings other
                && other.name.equals(name)
                && other.values().equals(values());
    }

    @Override
    public int hashCode() {
        return Objects.hash(name, values());
    }

    private List<Object> values() {
        return List.of(
                budget,
                initialRacks,
                initialWorkers,
                maxBodyBytes,
                timeout,
                queueLimit,
                slotsPerWorker,
                connectionsPerEntry,
                retryShare,
                bulkShare,
                drainTimeout,
                rebootTimeout,
                standingConsent);
    }

    /**
     * Returns the name and the budget.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return name + ": " + budget;
    }
}
