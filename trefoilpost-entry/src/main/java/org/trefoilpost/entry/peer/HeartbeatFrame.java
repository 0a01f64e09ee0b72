package org.trefoilpost.entry.peer;

/**
 * Carries a heartbeat in its own encoding.
 */
public final class HeartbeatFrame implements PeerMessage {
    private final byte[] heartbeat;
    private final String configurationChange;

    private HeartbeatFrame(byte[] heartbeat, String configurationChange) {
        this.heartbeat = heartbeat;
        this.configurationChange = configurationChange;
    }

    /**
     * Obtains a message.
     *
     * @param heartbeat  the encoded heartbeat, not null
     * @param configurationChange  the change that made the configuration in force, without text if none is, not null
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
     * Returns the change that made the configuration in force at the sender.
     *
     * @return the change, without text if none is in force, not null
     */
    public String configurationChange() {
        return configurationChange;
    }

    /**
     * Returns the kind of the message with its values.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "HeartbeatFrame(" + "" + ")";
    }
}
