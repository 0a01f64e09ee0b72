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
 * Builder of the settings of a pool.
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
     * Sets the availability budget.
     *
     * @param newBudget  the budget, not null
     * @return this builder, not null
     */
    public PoolSettingsBuilder budget(AvailabilityBudget newBudget) {
        this.budget = Objects.requireNonNull(newBudget, "budget");
        return this;
    }

    /**
     * Sets the racks whose new workers join this pool.
     *
     * @param newInitialRacks  the racks, not null
     * @return this builder, not null
     */
    public PoolSettingsBuilder initialRacks(Set<RackName> newInitialRacks) {
        this.initialRacks = new TreeSet<>(newInitialRacks);
        return this;
    }

    /**
     * Sets the new workers that join this pool.
     *
     * @param newInitialWorkers  the workers, not null
     * @return this builder, not null
     */
    public PoolSettingsBuilder initialWorkers(Set<WorkerId> newInitialWorkers) {
        this.initialWorkers = new TreeSet<>(newInitialWorkers);
        return this;
    }

    /**
     * Sets the largest body of a request or an answer that is held whole.
     *
     * @param newMaxBodyBytes  the size in bytes, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder maxBodyBytes(int newMaxBodyBytes) {
        this.maxBodyBytes = newMaxBodyBytes;
        return this;
    }

    /**
     * Sets the deadline of a request that names none.
     *
     * @param newTimeout  the timeout, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder timeout(Duration newTimeout) {
        this.timeout = Objects.requireNonNull(newTimeout, "timeout");
        return this;
    }

    /**
     * Sets the most requests that wait at one entry.
     *
     * @param newQueueLimit  the limit, not negative
     * @return this builder, not null
     */
    public PoolSettingsBuilder queueLimit(int newQueueLimit) {
        this.queueLimit = newQueueLimit;
        return this;
    }

    /**
     * Sets the requests that one worker runs at once.
     *
     * @param newSlotsPerWorker  the slots, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder slotsPerWorker(int newSlotsPerWorker) {
        this.slotsPerWorker = newSlotsPerWorker;
        return this;
    }

    /**
     * Sets the most connections from one entry to one worker.
     *
     * @param newConnectionsPerEntry  the connections, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder connectionsPerEntry(int newConnectionsPerEntry) {
        this.connectionsPerEntry = newConnectionsPerEntry;
        return this;
    }

    /**
     * Sets the most retries as a share of first attempts.
     *
     * @param newRetryShare  the share, from 0 to 1
     * @return this builder, not null
     */
    public PoolSettingsBuilder retryShare(double newRetryShare) {
        this.retryShare = newRetryShare;
        return this;
    }

    /**
     * Sets the share of the capacity kept for bulk requests.
     *
     * @param newBulkShare  the share, from 0 to 1
     * @return this builder, not null
     */
    public PoolSettingsBuilder bulkShare(double newBulkShare) {
        this.bulkShare = newBulkShare;
        return this;
    }

    /**
     * Sets how long a worker may drain before it is set aside.
     *
     * @param newDrainTimeout  the time, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder drainTimeout(Duration newDrainTimeout) {
        this.drainTimeout = Objects.requireNonNull(newDrainTimeout, "drainTimeout");
        return this;
    }

    /**
     * Sets how long a worker may reboot before it is set aside.
     *
     * @param newRebootTimeout  the time, positive
     * @return this builder, not null
     */
    public PoolSettingsBuilder rebootTimeout(Duration newRebootTimeout) {
        this.rebootTimeout = Objects.requireNonNull(newRebootTimeout, "rebootTimeout");
        return this;
    }

    /**
     * Sets the loans that the pool may take without a confirmation.
     *
     * @param newStandingConsent  the consent, not null
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
     * @throws IllegalArgumentException if a value is out of its bounds
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
