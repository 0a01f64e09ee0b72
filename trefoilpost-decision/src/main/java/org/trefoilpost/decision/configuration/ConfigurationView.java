package org.trefoilpost.decision.configuration;

import java.util.Optional;

/**
 * What an entry knows of the configuration in force.
 */
public interface ConfigurationView {
    /**
     * Returns the configuration in force at this entry.
     *
     * @return the configuration, not null, empty if this entry has none yet
     */
    Optional<ConfigurationSnapshot> inForce();

    /**
     * Returns the highest version that this entry was ever told of, whether it has its parts or not.
     *
     * @return the version, not negative
     */
    long highestVersionSeen();
}
