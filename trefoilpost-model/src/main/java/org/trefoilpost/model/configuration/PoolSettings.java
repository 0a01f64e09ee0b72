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
 * The settings of one pool.
 *
 * <p>An instance joins the pool that lists its identifier or its rack when it is first seen. After that, only moves
 * change the pool of the instance.
 */
public final class PoolSettings {
    /** The default maximum size of a buffered body, in bytes. */
    public static final int DEFAULT_MAX_BODY_BYTES = 1_048_576;

    /** The default timeout of a request that states no deadline. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    /** The default maximum number of requests that wait at one entry. */
    public static final int DEFAULT_QUEUE_LIMIT = 256;

    /** The default number of requests that one worker runs concurrently. */
    public static final int DEFAULT_SLOTS_PER_WORKER = 8;

    /** The default maximum number of connections from one entry to one worker. */
    public static final int DEFAULT_CONNECTIONS_PER_ENTRY = 7;

    /** The default of both the retry share and the bulk share. */
    public static final double DEFAULT_SHARE = 0.1;

    /** The default timeout for draining a worker. */
    public static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofMinutes(10);

    /** The default timeout for rebooting a worker. */
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

    private static int requireAtLeast(int min, String field, int value) {
        if (value < min) {
            throw new IllegalArgumentException(field + " must be at least " + min + ": " + value);
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
     * Returns a builder of the settings of a pool, with defaults for all settings but the budget.
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
     * Returns the availability budget of the pool.
     *
     * @return the budget, not null
     */
    public AvailabilityBudget budget() {
        return budget;
    }

    /**
     * Returns the racks whose workers join this pool when they are first seen.
     *
     * @return the racks, not null, may be empty, unmodifiable
     */
    public SortedSet<RackName> initialRacks() {
        return initialRacks;
    }

    /**
     * Returns the workers that join this pool when they are first seen.
     *
     * @return the workers, not null, may be empty, unmodifiable
     */
    public SortedSet<WorkerId> initialWorkers() {
        return initialWorkers;
    }

    /**
     * Returns the maximum size of the body of a request or an answer that is buffered as a whole.
     *
     * @return the size in bytes, positive
     */
    public int maxBodyBytes() {
        return maxBodyBytes;
    }

    /**
     * Returns the timeout of a request that states no deadline.
     *
     * @return the timeout, not null, positive
     */
    public Duration timeout() {
        return timeout;
    }

    /**
     * Returns the maximum number of requests that wait at one entry.
     *
     * @return the number of requests, not negative
     */
    public int queueLimit() {
        return queueLimit;
    }

    /**
     * Returns the number of requests that one worker runs concurrently.
     *
     * @return the number of request slots, positive
     */
    public int slotsPerWorker() {
        return slotsPerWorker;
    }

    /**
     * Returns the maximum number of connections from one entry to one worker.
     *
     * @return the number of connections, positive
     */
    public int connectionsPerEntry() {
        return connectionsPerEntry;
    }

    /**
     * Returns the maximum number of retries as a share of the number of first attempts.
     *
     * @return the share, from 0 to 1
     */
    public double retryShare() {
        return retryShare;
    }

    /**
     * Returns the share of the capacity that is reserved for bulk requests.
     *
     * @return the share, from 0 to 1
     */
    public double bulkShare() {
        return bulkShare;
    }

    /**
     * Returns how long a worker may drain before the step of the plan is given up (set aside).
     *
     * @return the timeout, not null, positive
     */
    public Duration drainTimeout() {
        return drainTimeout;
    }

    /**
     * Returns how long a worker may reboot before the step of the plan is given up (set aside).
     *
     * @return the timeout, not null, positive
     */
    public Duration rebootTimeout() {
        return rebootTimeout;
    }

    /**
     * Returns the limits within which instances may be moved into this pool without confirmation.
     *
     * @return the settings, not null, empty if every move must be confirmed
     */
    public Optional<StandingConsentSettings> standingConsent() {
        return standingConsent;
    }

    /**
     * Returns a builder initialized with these settings.
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
     * Returns the name and the availability budget, for messages.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return name + ": " + budget;
    }
}
