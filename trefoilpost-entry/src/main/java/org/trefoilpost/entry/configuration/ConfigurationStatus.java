package org.trefoilpost.entry.configuration;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.trefoilpost.decision.configuration.ChangeId;
import org.trefoilpost.model.configuration.Configuration;

/**
 * What an entry knows of the configuration in force, and as of when that was confirmed.
 */
public final class ConfigurationStatus {
    private static final ConfigurationStatus INITIAL = new ConfigurationStatus(null, null, OptionalLong.empty(), false);

    private final Configuration configuration;
    private final ChangeId change;
    private final OptionalLong confirmedAsOfMillis;
    private final boolean initialized;

    private ConfigurationStatus(
            Configuration configuration, ChangeId change, OptionalLong confirmedAsOfMillis, boolean informed) {
        this.configuration = configuration;
        this.change = change;
        this.confirmedAsOfMillis = confirmedAsOfMillis;
        this.initialized = informed;
    }

    /**
     * Returns the status of an entry that has not read the configuration yet.
     *
     * @return the status, not null
     */
    static ConfigurationStatus initial() {
        return INITIAL;
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, empty if there is none, not null
     */
    public Optional<Configuration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /**
     * Returns the change that made the version in force.
     *
     * @return the change, empty if there is none, not null
     */
    public Optional<ChangeId> change() {
        return Optional.ofNullable(change);
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 if there is none
     */
    public long version() {
        return configuration == null ? 0 : configuration.version();
    }

    /**
     * Returns the time as of which the version was confirmed as the newest.
     *
     * @return the time in milliseconds since 1970, empty if it was never confirmed, not null
     */
    public OptionalLong confirmedAsOfMillis() {
        return confirmedAsOfMillis;
    }

    /**
     * Returns whether the entry knows which configuration is in force, or that none is.
     *
     * @return false until the entry has learnt the state of the configuration
     */
    public boolean isInitialized() {
        return initialized;
    }

    /**
     * Returns a copy with a configuration in force.
     *
     * @param newConfiguration  the configuration, not null
     * @param newChange  the change that made it, not null
     * @return the copy, not null
     */
    ConfigurationStatus withInForce(Configuration newConfiguration, ChangeId newChange) {
        return new ConfigurationStatus(
                Objects.requireNonNull(newConfiguration, "configuration"),
                Objects.requireNonNull(newChange, "change"),
                confirmedAsOfMillis,
                true);
    }

    /**
     * Returns a copy with another time of confirmation.
     *
     * @param ageMillis  the age of the last confirmation, empty if there is none, not null
     * @param newInitialized  true if the entry knows which configuration is in force, or that none is
     * @param nowMillis  the present time in milliseconds since 1970
     * @return the copy, not null
     */
    ConfigurationStatus withConfirmation(OptionalLong ageMillis, boolean newInitialized, long nowMillis) {
        OptionalLong asOfMillis =
                ageMillis.isPresent() ? OptionalLong.of(nowMillis - ageMillis.getAsLong()) : OptionalLong.empty();
        return new ConfigurationStatus(configuration, change, asOfMillis, newInitialized);
    }
}
