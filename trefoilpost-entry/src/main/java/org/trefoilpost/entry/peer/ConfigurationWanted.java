package org.trefoilpost.entry.peer;

/**
 * Asks for the configuration in force at a peer, from a version on.
 */
public final class ConfigurationWanted implements PeerMessage {
    private final long version;

    private ConfigurationWanted(long version) {
        this.version = version;
    }

    /**
     * Obtains a message.
     *
     * @param version  the lowest version that is wanted
     * @return the message, not null
     */
    public static ConfigurationWanted of(long version) {
        return new ConfigurationWanted(version);
    }

    /**
     * Returns the lowest version that is wanted.
     *
     * @return the lowest version that is wanted
     */
    public long version() {
        return version;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ConfigurationWanted(" + version + ")";
    }
}
