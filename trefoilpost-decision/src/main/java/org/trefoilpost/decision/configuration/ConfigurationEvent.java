package org.trefoilpost.decision.configuration;

import java.util.OptionalLong;
import org.trefoilpost.model.configuration.Configuration;

/**
 * Something that happened to the acceptor or the follower of the configuration.
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
     * Time has passed.
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
     * An operator asked for a change to a whole configuration.
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
         * @param change  the id that no other change has, not null
         * @param configuration  the configuration that is wanted, not null
         * @param expectedVersion  the version that must be in force, not null, empty if any may be
         * @return the event, not null
         */
        public static ChangeRequested of(ChangeId change, Configuration configuration, OptionalLong expectedVersion) {
            return new ChangeRequested(change, configuration, expectedVersion);
        }

        /**
         * Returns the id that no other change has.
         *
         * @return the id that no other change has, not null
         */
        public ChangeId change() {
            return change;
        }

        /**
         * Returns the configuration that is wanted.
         *
         * @return the configuration that is wanted, not null
         */
        public Configuration configuration() {
            return configuration;
        }

        /**
         * Returns the version that must be in force.
         *
         * @return the version that must be in force, not null, empty if any may be
         */
        public OptionalLong expectedVersion() {
            return expectedVersion;
        }
    }

    /**
     * The watch saw the head change.
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
         * @return the new revision of the head
         */
        public long revision() {
            return revision;
        }
    }

    /**
     * The watch ended without a change of the head.
     */
    final class HeadUnchanged implements ConfigurationEvent {
        private final long storeRevision;
        private final long asOfMillis;

        private HeadUnchanged(long revision, long asOfMillis) {
            this.storeRevision = revision;
            this.asOfMillis = asOfMillis;
        }

        /**
         * Obtains the event.
         *
         * @param revision  the revision of the whole store, as the watch told it
         * @param asOfMillis  the time up to which the head did not change, in milliseconds
         * @return the event, not null
         */
        public static HeadUnchanged of(long revision, long asOfMillis) {
            return new HeadUnchanged(revision, asOfMillis);
        }

        /**
         * Returns the revision of the whole store.
         *
         * @return the revision of the whole store, as the watch told it
         */
        public long storeRevision() {
            return storeRevision;
        }

        /**
         * Returns the time up to which the head did not change.
         *
         * @return the time up to which the head did not change, in milliseconds
         */
        public long asOfMillis() {
            return asOfMillis;
        }
    }

    /**
     * A heartbeat told which configuration a peer has in force.
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
         * @param change  the change that made the version, not null
         * @param confirmedAsOfMillis  the time on the clock of this entry up to which the confirmation of the peer surely reaches, in milliseconds, not null, empty if the peer has none
         * @return the event, not null
         */
        public static PeerReported of(long version, ChangeId change, OptionalLong confirmedAsOfMillis) {
            return new PeerReported(version, change, confirmedAsOfMillis);
        }

        /**
         * Returns the version in force at the peer.
         *
         * @return the version in force at the peer
         */
        public long version() {
            return version;
        }

        /**
         * Returns the change that made the version.
         *
         * @return the change that made the version, not null
         */
        public ChangeId change() {
            return change;
        }

        /**
         * Returns the time on the clock of this entry up to which the confirmation of the peer surely reaches.
         *
         * @return the time on the clock of this entry up to which the confirmation of the peer surely reaches, in milliseconds, not null, empty if the peer has none
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
         * @param update  the change, not null
         * @return the event, not null
         */
        public static UpdateReceived of(ConfigurationUpdate update) {
            return new UpdateReceived(update);
        }

        /**
         * Returns the change.
         *
         * @return the change, not null
         */
        public ConfigurationUpdate update() {
            return update;
        }
    }
}
