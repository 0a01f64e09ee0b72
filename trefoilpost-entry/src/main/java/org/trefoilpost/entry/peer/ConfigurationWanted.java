package org.trefoilpost.entry.peer;

/**
 * Requests the configuration in force at a peer, if its version is not lower than a given one.
 */
public final class ConfigurationWanted implements PeerMessage {
    private final long version;

    private ConfigurationWanted(long version) {
        this.version = version;
    }

    /**
     * Creates the message.
     *
     * @param version  the lowest version to send
     * @return the message, not null
     */
    public static ConfigurationWanted of(long version) {
        return new ConfigurationWanted(version);
    }

    /**
     * Returns the lowest version to send.
     *
     * @return the version; a peer with an older configuration does not reply
     */
    public long version() {
        return version;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ConfigurationWanted(" + version + ")";
    }
}
