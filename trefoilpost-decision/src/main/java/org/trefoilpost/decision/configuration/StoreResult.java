package org.trefoilpost.decision.configuration;

/**
 * Result of a call to the store.
 */
public sealed interface StoreResult extends ConfigurationEvent {
    /**
     * Returns the id of the call.
     *
     * @return the call id
     */
    long callId();

    /**
     * A read found the key.
     */
    final class ReadFound implements StoreResult {
        private final long callId;
        private final long revision;
        private final String value;

        private ReadFound(long callId, long revision, String value) {
            this.callId = callId;
            this.revision = revision;
            this.value = value;
        }

        /**
         * Obtains the event.
         *
         * @param callId  the id of the call
         * @param revision  the revision of the key
         * @param value  the value, not null
         * @return the event, not null
         */
        public static ReadFound of(long callId, long revision, String value) {
            return new ReadFound(callId, revision, value);
        }

        /**
         * Returns the id of the call.
         *
         * @return the call id
         */
        @Override
        public long callId() {
            return callId;
        }

        /**
         * Returns the revision of the key.
         *
         * @return the revision
         */
        public long revision() {
            return revision;
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
     * A read found that the key does not exist.
     */
    final class ReadAbsent implements StoreResult {
        private final long callId;

        private ReadAbsent(long callId) {
            this.callId = callId;
        }

        /**
         * Obtains the event.
         *
         * @param callId  the id of the call
         * @return the event, not null
         */
        public static ReadAbsent of(long callId) {
            return new ReadAbsent(callId);
        }

        /**
         * Returns the id of the call.
         *
         * @return the call id
         */
        @Override
        public long callId() {
            return callId;
        }
    }

    /**
     * A write took effect.
     */
    final class WriteDone implements StoreResult {
        private final long callId;
        private final long revision;

        private WriteDone(long callId, long revision) {
            this.callId = callId;
            this.revision = revision;
        }

        /**
         * Obtains the event.
         *
         * @param callId  the id of the call
         * @param revision  the new revision of the key
         * @return the event, not null
         */
        public static WriteDone of(long callId, long revision) {
            return new WriteDone(callId, revision);
        }

        /**
         * Returns the id of the call.
         *
         * @return the call id
         */
        @Override
        public long callId() {
            return callId;
        }

        /**
         * Returns the new revision of the key.
         *
         * @return the revision
         */
        public long revision() {
            return revision;
        }
    }

    /**
     * A compare-and-swap was refused because the key has a different revision.
     */
    final class WriteConflict implements StoreResult {
        private final long callId;
        private final long revision;

        private WriteConflict(long callId, long revision) {
            this.callId = callId;
            this.revision = revision;
        }

        /**
         * Obtains the event.
         *
         * @param callId  the id of the call
         * @param revision  the current revision of the key, 0 if it does not exist
         * @return the event, not null
         */
        public static WriteConflict of(long callId, long revision) {
            return new WriteConflict(callId, revision);
        }

        /**
         * Returns the id of the call.
         *
         * @return the call id
         */
        @Override
        public long callId() {
            return callId;
        }

        /**
         * Returns the current revision of the key.
         *
         * @return the revision, 0 if it does not exist
         */
        public long revision() {
            return revision;
        }
    }

    /**
     * A call failed or its answer was lost. A write may have taken effect, or may still do so later.
     */
    final class CallFailed implements StoreResult {
        private final long callId;

        private CallFailed(long callId) {
            this.callId = callId;
        }

        /**
         * Obtains the event.
         *
         * @param callId  the id of the call
         * @return the event, not null
         */
        public static CallFailed of(long callId) {
            return new CallFailed(callId);
        }

        /**
         * Returns the id of the call.
         *
         * @return the call id
         */
        @Override
        public long callId() {
            return callId;
        }
    }
}
