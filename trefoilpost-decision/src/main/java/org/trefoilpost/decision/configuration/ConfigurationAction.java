package org.trefoilpost.decision.configuration;

/**
 * Something that the acceptor or the follower of the configuration asks its caller to do.
 */
public sealed interface ConfigurationAction {
    /**
     * Read a key and report the result under the same number of the call.
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
         * @param callId  the number of the call
         * @param key  the key, not null
         * @return the action, not null
         */
        public static ReadKey of(long callId, String key) {
            return new ReadKey(callId, key);
        }

        /**
         * Returns the number of the call.
         *
         * @return the number of the call
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
     * Write a key by compare-and-swap and report the result under the same number of the call.
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
         * @param callId  the number of the call
         * @param key  the key, not null
         * @param expectedRevision  the revision that the key must have, 0 if it must not exist
         * @param value  the value, not null
         * @return the action, not null
         */
        public static WriteKey of(long callId, String key, long expectedRevision, String value) {
            return new WriteKey(callId, key, expectedRevision, value);
        }

        /**
         * Returns the number of the call.
         *
         * @return the number of the call
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
         * @return the revision that the key must have, 0 if it must not exist
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
     * Delete a key that nothing refers to any more; the result need not be reported.
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
         * @return the revision that the key must have
         */
        public long expectedRevision() {
            return expectedRevision;
        }
    }

    /**
     * Put a configuration in force at this entry.
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
         * @return the configuration with its documents, not null
         */
        public ConfigurationSnapshot snapshot() {
            return snapshot;
        }
    }

    /**
     * Tell the operators about a state of the store that needs them.
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
         * @param detail  the versions concerned, not null
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
         * Returns the versions concerned.
         *
         * @return the versions concerned, not null
         */
        public String detail() {
            return detail;
        }
    }

    /**
     * Send an accepted change to every peer and to the follower of this entry.
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
         * @return the accepted change, not null
         */
        public ConfigurationUpdate update() {
            return update;
        }
    }

    /**
     * Ask the peers for the whole configuration that they have in force.
     */
    final class RequestFromPeers implements ConfigurationAction {
        private final long minVersion;

        private RequestFromPeers(long version) {
            this.minVersion = version;
        }

        /**
         * Obtains the action.
         *
         * @param version  the least version that helps
         * @return the action, not null
         */
        public static RequestFromPeers of(long version) {
            return new RequestFromPeers(version);
        }

        /**
         * Returns the least version that helps.
         *
         * @return the least version that helps
         */
        public long minVersion() {
            return minVersion;
        }
    }

    /**
     * Answer the operator who asked for a change, or tell how a change of unknown outcome ended.
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
         * @param change  the change, not null
         * @param outcome  the outcome, not null
         * @return the action, not null
         */
        public static AnswerOperator of(ChangeId change, ChangeOutcome outcome) {
            return new AnswerOperator(change, outcome);
        }

        /**
         * Returns the change.
         *
         * @return the change, not null
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
