package org.trefoilpost.decision.configuration;

import java.util.Optional;

/**
 * View of the configuration in force at an entry.
 */
public interface ConfigurationView {
    /**
     * Returns the configuration in force at this entry.
     *
     * @return the configuration, not null, empty if this entry has none yet
     */
    Optional<ConfigurationSnapshot> inForce();

    /**
     * Returns the highest version that this entry has seen in the store or from a peer, in force or not.
     *
     * @return the version, 0 if none was seen
     */
    long highestVersionSeen();
}
