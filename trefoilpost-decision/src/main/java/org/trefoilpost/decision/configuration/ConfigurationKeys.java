package org.trefoilpost.decision.configuration;

import org.trefoilpost.model.configuration.ConfigurationPart;

/**
 * Keys of the configuration in the store.
 */
public final class ConfigurationKeys {
    /** The key of the head. */
    public static final String HEAD = "trefoilpost/config/head";

    /** The prefix of the keys of all parts. */
    public static final String PARTS_PREFIX = "trefoilpost/config/parts/";

    private ConfigurationKeys() {}

    /**
     * Returns the key of one version of a part.
     *
     * @param part  the part, not null
     * @param version  the version, not null
     * @return the key, not null
     */
    public static String part(ConfigurationPart part, ChangeVersion version) {
        return PARTS_PREFIX + part.path() + "/" + version;
    }
}
