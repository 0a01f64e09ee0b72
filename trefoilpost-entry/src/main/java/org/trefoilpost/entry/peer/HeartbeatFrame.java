package org.trefoilpost.entry.peer;

/**
 * Carries an encoded heartbeat and the identifier of the configuration change in force at the sender.
 */
public final class HeartbeatFrame implements PeerMessage {
    private final byte[] heartbeat;
    private final String configurationChange;

    private HeartbeatFrame(byte[] heartbeat, String configurationChange) {
        this.heartbeat = heartbeat;
        this.configurationChange = configurationChange;
    }

    /**
     * Creates the message.
     *
     * @param heartbeat  the encoded heartbeat, not null
     * @param configurationChange  the identifier of the change that made the configuration in force, empty if none is
     *     in force, not null
     * @return the message, not null
     */
    public static HeartbeatFrame of(byte[] heartbeat, String configurationChange) {
        return new HeartbeatFrame(heartbeat, configurationChange);
    }

    /**
     * Returns the encoded heartbeat.
     *
     * @return the encoded heartbeat, not null
     */
    public byte[] heartbeat() {
        return heartbeat;
    }

    /**
     * Returns the identifier of the change that made the configuration in force at the sender.
     *
     * @return the identifier of the change, empty if no configuration is in force, not null
     */
    public String configurationChange() {
        return configurationChange;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "HeartbeatFrame(" + "" + ")";
    }
}
