package org.trefoilpost.entry.peer;

import org.trefoilpost.decision.configuration.ConfigurationUpdate;

/**
 * Sends an accepted configuration change to a peer.
 */
public final class ConfigurationPush implements PeerMessage {
    private final ConfigurationUpdate update;

    private ConfigurationPush(ConfigurationUpdate update) {
        this.update = update;
    }

    /**
     * Creates the message.
     *
     * @param update  the change, not null
     * @return the message, not null
     */
    public static ConfigurationPush of(ConfigurationUpdate update) {
        return new ConfigurationPush(update);
    }

    /**
     * Returns the change.
     *
     * @return the change, not null
     */
    public ConfigurationUpdate update() {
        return update;
    }

    /**
     * Returns the type of the message and its short values, for logs and tests.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "ConfigurationPush(" + "" + ")";
    }
}
