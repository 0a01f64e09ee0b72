package org.trefoilpost.decision.claim;

/**
 * The store call that a shard waits for, with the attempts made so far.
 *
 * <p>A call whose answer is lost is made again with the same content: a write has the same expected revision each time,
 * so that at most one of the attempts can ever take effect, however late the store applies it.
 */
final class PendingStoreCall {
    private static final long NOT_ISSUED = 0;
    private static final long FIRST_BACKOFF_MILLIS = 20;
    private static final long MAX_BACKOFF_MILLIS = 1_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 6;

    private final JournalOperation operation;
    private final String storeKey;
    private final long expectedRevision;
    private final Segment segment;
    private byte[] value;
    private long callId = NOT_ISSUED;
    private long dueAtMillis;
    private int failures;

    private PendingStoreCall(JournalOperation step, String storeKey, long expectedRevision, Segment segment) {
        this.operation = step;
        this.storeKey = storeKey;
        this.expectedRevision = expectedRevision;
        this.segment = segment;
    }

    static PendingStoreCall read(JournalOperation step, String storeKey, Segment attempted) {
        return new PendingStoreCall(step, storeKey, 0, attempted);
    }

    static PendingStoreCall write(JournalOperation step, String storeKey, long expectedRevision, Segment segment) {
        PendingStoreCall call = new PendingStoreCall(step, storeKey, expectedRevision, segment);
        call.value = SegmentCodec.encode(segment);
        return call;
    }

    static PendingStoreCall delete(String storeKey, long expectedRevision) {
        return new PendingStoreCall(JournalOperation.DELETE, storeKey, expectedRevision, null);
    }

    JournalOperation operation() {
        return operation;
    }

    String storeKey() {
        return storeKey;
    }

    long expectedRevision() {
        return expectedRevision;
    }

    Segment segment() {
        return segment;
    }

    int failures() {
        return failures;
    }

    PendingStoreCall setFailures(int count) {
        failures = count;
        return this;
    }

    boolean isIssued() {
        return callId != NOT_ISSUED;
    }

    boolean isAnsweredBy(StoreReply reply) {
        return isIssued() && reply.callId() == callId;
    }

    long dueAtMillis() {
        return dueAtMillis;
    }

    StoreCall issue(long newCallId) {
        callId = newCallId;
        if (operation == JournalOperation.DELETE) {
            return DeleteKey.of(newCallId, storeKey, expectedRevision);
        }
        if (operation.isRead()) {
            return ReadKey.of(newCallId, storeKey);
        }
        return WriteKey.of(newCallId, storeKey, expectedRevision, value);
    }

    void fail(long nowMillis) {
        callId = NOT_ISSUED;
        long backoff = FIRST_BACKOFF_MILLIS << Math.min(failures, MAX_BACKOFF_DOUBLINGS);
        dueAtMillis = nowMillis + Math.min(backoff, MAX_BACKOFF_MILLIS);
        failures++;
    }
}
