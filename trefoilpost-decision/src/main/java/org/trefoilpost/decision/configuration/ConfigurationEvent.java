package org.trefoilpost.decision.configuration;

import java.util.OptionalLong;
import org.trefoilpost.model.configuration.Configuration;

/**
 * Input event of the acceptor or the follower of the configuration.
 */
public sealed interface ConfigurationEvent
        permits StoreResult,
                ConfigurationEvent.Tick,
                ConfigurationEvent.ChangeRequested,
                ConfigurationEvent.HeadChanged,
                ConfigurationEvent.HeadUnchanged,
                ConfigurationEvent.PeerReported,
                ConfigurationEvent.UpdateReceived {
    /**
     * Signals that time has passed, so that deadlines and retries are checked.
     */
    final class Tick implements ConfigurationEvent {

        private Tick() {}

        /**
         * Obtains the event.
         *
         * @return the event, not null
         */
        public static Tick of() {
            return new Tick();
        }
    }

    /**
     * An operator requested the replacement of the whole configuration.
     */
    final class ChangeRequested implements ConfigurationEvent {
        private final ChangeId change;
        private final Configuration configuration;
        private final OptionalLong expectedVersion;

        private ChangeRequested(ChangeId change, Configuration configuration, OptionalLong expectedVersion) {
            this.change = change;
            this.configuration = configuration;
            this.expectedVersion = expectedVersion;
        }

        /**
         * Obtains the event.
         *
         * @param change  the unique id of the change, not null
         * @param configuration  the requested configuration, not null
         * @param expectedVersion  the version that must be in force, not null, empty if any version may be in force
         * @return the event, not null
         */
        public static ChangeRequested of(ChangeId change, Configuration configuration, OptionalLong expectedVersion) {
            return new ChangeRequested(change, configuration, expectedVersion);
        }

        /**
         * Returns the unique id of the change.
         *
         * @return the id, not null
         */
        public ChangeId change() {
            return change;
        }

        /**
         * Returns the requested configuration.
         *
         * @return the configuration, not null
         */
        public Configuration configuration() {
            return configuration;
        }

        /**
         * Returns the version that must be in force.
         *
         * @return the version, not null, empty if any version may be in force
         */
        public OptionalLong expectedVersion() {
            return expectedVersion;
        }
    }

    /**
     * The store's watch reported a change of the head.
     */
    final class HeadChanged implements ConfigurationEvent {
        private final long revision;

        private HeadChanged(long revision) {
            this.revision = revision;
        }

        /**
         * Obtains the event.
         *
         * @param revision  the new revision of the head
         * @return the event, not null
         */
        public static HeadChanged of(long revision) {
            return new HeadChanged(revision);
        }

        /**
         * Returns the new revision of the head.
         *
         * @return the revision
         */
        public long revision() {
            return revision;
        }
    }

    /**
     * The store's watch ended without a change of the head.
     */
    final class HeadUnchanged implements ConfigurationEvent {
        private final long storeRevision;
        private final long asOfMillis;

        private HeadUnchanged(long storeRevision, long asOfMillis) {
            this.storeRevision = storeRevision;
            this.asOfMillis = asOfMillis;
        }

        /**
         * Obtains the event.
         *
         * @param storeRevision  the revision of the whole store, as reported by the watch
         * @param asOfMillis  the time until which the head is known to be unchanged, in milliseconds
         * @return the event, not null
         */
        public static HeadUnchanged of(long storeRevision, long asOfMillis) {
            return new HeadUnchanged(storeRevision, asOfMillis);
        }

        /**
         * Returns the revision of the whole store.
         *
         * @return the revision, as reported by the watch
         */
        public long storeRevision() {
            return storeRevision;
        }

        /**
         * Returns the time until which the head is known to be unchanged.
         *
         * @return the time, in milliseconds
         */
        public long asOfMillis() {
            return asOfMillis;
        }
    }

    /**
     * A peer's heartbeat reported which configuration the peer has in force.
     */
    final class PeerReported implements ConfigurationEvent {
        private final long version;
        private final ChangeId change;
        private final OptionalLong confirmedAsOfMillis;

        private PeerReported(long version, ChangeId change, OptionalLong confirmedAsOfMillis) {
            this.version = version;
            this.change = change;
            this.confirmedAsOfMillis = confirmedAsOfMillis;
        }

        /**
         * Obtains the event.
         *
         * @param version  the version in force at the peer
         * @param change  the id of the change that made the version, not null
         * @param confirmedAsOfMillis  a lower bound, on this entry's clock, of when the store last confirmed the peer's
         *     version, in milliseconds, not null, empty if the peer has no confirmation
         * @return the event, not null
         */
        public static PeerReported of(long version, ChangeId change, OptionalLong confirmedAsOfMillis) {
            return new PeerReported(version, change, confirmedAsOfMillis);
        }

        /**
         * Returns the version in force at the peer.
         *
         * @return the version
         */
        public long version() {
            return version;
        }

        /**
         * Returns the id of the change that made the version.
         *
         * @return the id, not null
         */
        public ChangeId change() {
            return change;
        }

        /**
         * Returns a lower bound, on this entry's clock, of when the store last confirmed the peer's version.
         *
         * @return the time, in milliseconds, not null, empty if the peer has no confirmation
         */
        public OptionalLong confirmedAsOfMillis() {
            return confirmedAsOfMillis;
        }
    }

    /**
     * A peer, or the acceptor of this entry, sent an accepted change.
     */
    final class UpdateReceived implements ConfigurationEvent {
        private final ConfigurationUpdate update;

        private UpdateReceived(ConfigurationUpdate update) {
            this.update = update;
        }

        /**
         * Obtains the event.
         *
         * @param update  the accepted change, not null
         * @return the event, not null
         */
        public static UpdateReceived of(ConfigurationUpdate update) {
            return new UpdateReceived(update);
        }

        /**
         * Returns the accepted change.
         *
         * @return the update, not null
         */
        public ConfigurationUpdate update() {
            return update;
        }
    }
}
