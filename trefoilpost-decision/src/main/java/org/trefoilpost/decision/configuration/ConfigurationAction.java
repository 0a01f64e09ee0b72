package org.trefoilpost.decision.configuration;

/**
 * Action that the acceptor or the follower of the configuration asks its caller to perform.
 */
public sealed interface ConfigurationAction {
    /**
     * Reads a key; the result is reported with the same call id.
     */
    final class ReadKey implements ConfigurationAction {
        private final long callId;
        private final String key;

        private ReadKey(long callId, String key) {
            this.callId = callId;
            this.key = key;
        }

        /**
         * Obtains the action.
         *
         * @param callId  the id of the call
         * @param key  the key, not null
         * @return the action, not null
         */
        public static ReadKey of(long callId, String key) {
            return new ReadKey(callId, key);
        }

        /**
         * Returns the id of the call.
         *
         * @return the call id
         */
        public long callId() {
            return callId;
        }

        /**
         * Returns the key.
         *
         * @return the key, not null
         */
        public String key() {
            return key;
        }
    }

    /**
     * Writes a key by compare-and-swap; the result is reported with the same call id.
     */
    final class WriteKey implements ConfigurationAction {
        private final long callId;
        private final String key;
        private final long expectedRevision;
        private final String value;

        private WriteKey(long callId, String key, long expectedRevision, String value) {
            this.callId = callId;
            this.key = key;
            this.expectedRevision = expectedRevision;
            this.value = value;
        }

        /**
         * Obtains the action.
         *
         * @param callId  the id of the call
         * @param key  the key, not null
         * @param expectedRevision  the revision that the key must have, 0 if it must not exist
         * @param value  the value, not null
         * @return the action, not null
         */
        public static WriteKey of(long callId, String key, long expectedRevision, String value) {
            return new WriteKey(callId, key, expectedRevision, value);
        }

        /**
         * Returns the id of the call.
         *
         * @return the call id
         */
        public long callId() {
            return callId;
        }

        /**
         * Returns the key.
         *
         * @return the key, not null
         */
        public String key() {
            return key;
        }

        /**
         * Returns the revision that the key must have.
         *
         * @return the revision, 0 if it must not exist
         */
        public long expectedRevision() {
            return expectedRevision;
        }

        /**
         * Returns the value.
         *
         * @return the value, not null
         */
        public String value() {
            return value;
        }
    }

    /**
     * Deletes a key that is no longer referenced; the result need not be reported.
     */
    final class DeleteKey implements ConfigurationAction {
        private final String key;
        private final long expectedRevision;

        private DeleteKey(String key, long expectedRevision) {
            this.key = key;
            this.expectedRevision = expectedRevision;
        }

        /**
         * Obtains the action.
         *
         * @param key  the key, not null
         * @param expectedRevision  the revision that the key must have
         * @return the action, not null
         */
        public static DeleteKey of(String key, long expectedRevision) {
            return new DeleteKey(key, expectedRevision);
        }

        /**
         * Returns the key.
         *
         * @return the key, not null
         */
        public String key() {
            return key;
        }

        /**
         * Returns the revision that the key must have.
         *
         * @return the revision
         */
        public long expectedRevision() {
            return expectedRevision;
        }
    }

    /**
     * Puts a configuration in force at this entry.
     */
    final class Publish implements ConfigurationAction {
        private final ConfigurationSnapshot snapshot;

        private Publish(ConfigurationSnapshot snapshot) {
            this.snapshot = snapshot;
        }

        /**
         * Obtains the action.
         *
         * @param snapshot  the configuration with its documents, not null
         * @return the action, not null
         */
        public static Publish of(ConfigurationSnapshot snapshot) {
            return new Publish(snapshot);
        }

        /**
         * Returns the configuration with its documents.
         *
         * @return the snapshot, not null
         */
        public ConfigurationSnapshot snapshot() {
            return snapshot;
        }
    }

    /**
     * Reports a fault of the stored configuration to the operators.
     */
    final class RaiseAlarm implements ConfigurationAction {
        private final ConfigurationAlarm alarm;
        private final String detail;

        private RaiseAlarm(ConfigurationAlarm alarm, String detail) {
            this.alarm = alarm;
            this.detail = detail;
        }

        /**
         * Obtains the action.
         *
         * @param alarm  the alarm, not null
         * @param detail  the versions or the parse error concerned, not null
         * @return the action, not null
         */
        public static RaiseAlarm of(ConfigurationAlarm alarm, String detail) {
            return new RaiseAlarm(alarm, detail);
        }

        /**
         * Returns the alarm.
         *
         * @return the alarm, not null
         */
        public ConfigurationAlarm alarm() {
            return alarm;
        }

        /**
         * Returns the versions or the parse error concerned.
         *
         * @return the versions or the parse error concerned, not null
         */
        public String detail() {
            return detail;
        }
    }

    /**
     * Sends an accepted change to every peer and to the follower of this entry.
     */
    final class PushToPeers implements ConfigurationAction {
        private final ConfigurationUpdate update;

        private PushToPeers(ConfigurationUpdate update) {
            this.update = update;
        }

        /**
         * Obtains the action.
         *
         * @param update  the accepted change, not null
         * @return the action, not null
         */
        public static PushToPeers of(ConfigurationUpdate update) {
            return new PushToPeers(update);
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

    /**
     * Asks the peers for the whole configuration that they have in force.
     */
    final class RequestFromPeers implements ConfigurationAction {
        private final long minVersion;

        private RequestFromPeers(long minVersion) {
            this.minVersion = minVersion;
        }

        /**
         * Obtains the action.
         *
         * @param minVersion  the lowest version that the peers should send, at least 1
         * @return the action, not null
         */
        public static RequestFromPeers of(long minVersion) {
            return new RequestFromPeers(minVersion);
        }

        /**
         * Returns the lowest version that the peers should send.
         *
         * @return the version, at least 1
         */
        public long minVersion() {
            return minVersion;
        }
    }

    /**
     * Reports the outcome of a change to the operator, first or after it was unknown.
     */
    final class AnswerOperator implements ConfigurationAction {
        private final ChangeId change;
        private final ChangeOutcome outcome;

        private AnswerOperator(ChangeId change, ChangeOutcome outcome) {
            this.change = change;
            this.outcome = outcome;
        }

        /**
         * Obtains the action.
         *
         * @param change  the id of the change, not null
         * @param outcome  the outcome, not null
         * @return the action, not null
         */
        public static AnswerOperator of(ChangeId change, ChangeOutcome outcome) {
            return new AnswerOperator(change, outcome);
        }

        /**
         * Returns the id of the change.
         *
         * @return the id, not null
         */
        public ChangeId change() {
            return change;
        }

        /**
         * Returns the outcome.
         *
         * @return the outcome, not null
         */
        public ChangeOutcome outcome() {
            return outcome;
        }
    }
}
