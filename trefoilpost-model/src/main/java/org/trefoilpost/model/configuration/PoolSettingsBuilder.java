package org.trefoilpost.model.configuration;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;

/**
 * Builder of the settings of a pool. The budget is required; the other settings have defaults.
 */
public final class PoolSettingsBuilder {
    private final PoolName name;
    private AvailabilityBudget budget;
    private SortedSet<RackName> initialRacks = new TreeSet<>();
    private SortedSet<WorkerId> initialWorkers = new TreeSet<>();
    private int maxBodyBytes = PoolSettings.DEFAULT_MAX_BODY_BYTES;
    private Duration timeout = PoolSettings.DEFAULT_TIMEOUT;
    private int queueLimit = PoolSettings.DEFAULT_QUEUE_LIMIT;
    private int slotsPerWorker = PoolSettings.DEFAULT_SLOTS_PER_WORKER;
    private int connectionsPerEntry = PoolSettings.DEFAULT_CONNECTIONS_PER_ENTRY;
    private double retryShare = PoolSettings.DEFAULT_SHARE;
    private double bulkShare = PoolSettings.DEFAULT_SHARE;
    private Duration drainTimeout = PoolSettings.DEFAULT_DRAIN_TIMEOUT;
    private Duration rebootTimeout = PoolSettings.DEFAULT_REBOOT_TIMEOUT;
    private Optional<StandingConsentSettings> standingConsent = Optional.empty();

    PoolSettingsBuilder(PoolName name) {
        this.name = Objects.requireNonNull(name, "name");
    }

    /**
     * Sets the availability budget of the pool.
     *
     * @param newBudget  the budget, not null
     * @return this builder, not null
     */
    public PoolSettingsBuilder budget(AvailabilityBudget newBudget) {
        this.budget = Objects.requireNonNull(newBudget, "budget");
        return this;
    }

    /**
     * Sets the racks whose workers join this pool when they are first seen.
     *
     * @param newInitialRacks  the racks, none by default, not null, may be empty
     * @return this builder, not null
     */
    public PoolSettingsBuilder initialRacks(Set<RackName> newInitialRacks) {
        this.initialRacks = new TreeSet<>(newInitialRacks);
        return this;
    }

    /**
     * Sets the workers that join this pool when they are first seen.
     *
     * @param newInitialWorkers  the workers, none by default, not null, may be empty
     * @return this builder, not null
     */
    public PoolSettingsBuilder initialWorkers(Set<WorkerId> newInitialWorkers) {
        this.initialWorkers = new TreeSet<>(newInitialWorkers);
        return this;
    }

    /**
     * Sets the maximum size of the body of a request or an answer that is buffered as a whole.
     *
     * @param newMaxBodyBytes  the size in bytes, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder maxBodyBytes(int newMaxBodyBytes) {
        this.maxBodyBytes = newMaxBodyBytes;
        return this;
    }

    /**
     * Sets the timeout of a request that states no deadline.
     *
     * @param newTimeout  the timeout, not null, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder timeout(Duration newTimeout) {
        this.timeout = Objects.requireNonNull(newTimeout, "timeout");
        return this;
    }

    /**
     * Sets the maximum number of requests that wait at one entry.
     *
     * @param newQueueLimit  the number of requests, not negative
     * @return this builder, not null
     */
    public PoolSettingsBuilder queueLimit(int newQueueLimit) {
        this.queueLimit = newQueueLimit;
        return this;
    }

    /**
     * Sets the number of requests that one worker runs concurrently.
     *
     * @param newSlotsPerWorker  the number of request slots, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder slotsPerWorker(int newSlotsPerWorker) {
        this.slotsPerWorker = newSlotsPerWorker;
        return this;
    }

    /**
     * Sets the maximum number of connections from one entry to one worker.
     *
     * @param newConnectionsPerEntry  the number of connections, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder connectionsPerEntry(int newConnectionsPerEntry) {
        this.connectionsPerEntry = newConnectionsPerEntry;
        return this;
    }

    /**
     * Sets the maximum number of retries as a share of the number of first attempts.
     *
     * @param newRetryShare  the share, from 0 to 1
     * @return this builder, not null
     */
    public PoolSettingsBuilder retryShare(double newRetryShare) {
        this.retryShare = newRetryShare;
        return this;
    }

    /**
     * Sets the share of the capacity that is reserved for bulk requests.
     *
     * @param newBulkShare  the share, from 0 to 1
     * @return this builder, not null
     */
    public PoolSettingsBuilder bulkShare(double newBulkShare) {
        this.bulkShare = newBulkShare;
        return this;
    }

    /**
     * Sets how long a worker may drain before the step of the plan is given up (set aside).
     *
     * @param newDrainTimeout  the timeout, not null, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder drainTimeout(Duration newDrainTimeout) {
        this.drainTimeout = Objects.requireNonNull(newDrainTimeout, "drainTimeout");
        return this;
    }

    /**
     * Sets how long a worker may reboot before the step of the plan is given up (set aside).
     *
     * @param newRebootTimeout  the timeout, not null, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder rebootTimeout(Duration newRebootTimeout) {
        this.rebootTimeout = Objects.requireNonNull(newRebootTimeout, "rebootTimeout");
        return this;
    }

    /**
     * Sets the limits within which instances may be moved into the pool without confirmation.
     *
     * @param newStandingConsent  the settings, none by default, not null
     * @return this builder, not null
     */
    public PoolSettingsBuilder standingConsent(StandingConsentSettings newStandingConsent) {
        this.standingConsent = Optional.of(newStandingConsent);
        return this;
    }

    /**
     * Builds the settings.
     *
     * @return the settings, not null
     * @throws NullPointerException if the budget is missing
     * @throws IllegalArgumentException if a value is out of range
     */
    public PoolSettings build() {
        return new PoolSettings(this);
    }

    PoolName name() {
        return name;
    }

    AvailabilityBudget budget() {
        return budget;
    }

    SortedSet<RackName> initialRacks() {
        return initialRacks;
    }

    SortedSet<WorkerId> initialWorkers() {
        return initialWorkers;
    }

    int maxBodyBytes() {
        return maxBodyBytes;
    }

    Duration timeout() {
        return timeout;
    }

    int queueLimit() {
        return queueLimit;
    }

    int slotsPerWorker() {
        return slotsPerWorker;
    }

    int connectionsPerEntry() {
        return connectionsPerEntry;
    }

    double retryShare() {
        return retryShare;
    }

    double bulkShare() {
        return bulkShare;
    }

    Duration drainTimeout() {
        return drainTimeout;
    }

    Duration rebootTimeout() {
        return rebootTimeout;
    }

    Optional<StandingConsentSettings> standingConsent() {
        return standingConsent;
    }
}
