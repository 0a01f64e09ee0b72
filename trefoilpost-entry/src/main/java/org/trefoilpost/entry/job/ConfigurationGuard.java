package org.trefoilpost.entry.job;

import java.util.Map;

/**
 * The newest configuration that this entry knows in the store. An owner accepts jobs on condition that the store has no newer
 * one, in which their queues may belong to another pool. Used on the service's thread only.
 */
interface ConfigurationGuard {
    /** Guards nothing: no configuration is known. */
    ConfigurationGuard NONE = new ConfigurationGuard() {
        @Override
        public long version() {
            return 0;
        }

        @Override
        public Map<String, Long> condition() {
            return Map.of();
        }

        @Override
        public void itemFound(StorePort.Item item) {
            // No change is conditional on a configuration, so none conflicts with it.
        }
    };

    /**
     * Returns the version of the configuration in force, 0 if there is none.
     */
    long version();

    /**
     * Returns the revision that the item of the configuration must have by its key, empty if no configuration is known.
     */
    Map<String, Long> condition();

    /**
     * Applies an item that the store has, or that another entry has read there, if its configuration is newer.
     */
    void itemFound(StorePort.Item item);
}
