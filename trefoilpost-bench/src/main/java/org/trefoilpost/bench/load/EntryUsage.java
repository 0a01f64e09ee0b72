package org.trefoilpost.bench.load;

/**
 * What one entry process used up to now.
 */
final class EntryUsage {
    private static final double NANOS_PER_MILLI = 1e6;

    private final long cpuNanos;
    private final double peerBytesSent;
    private final double peerBytesReceived;

    EntryUsage(long cpuNanos, double peerBytesSent, double peerBytesReceived) {
        this.cpuNanos = cpuNanos;
        this.peerBytesSent = peerBytesSent;
        this.peerBytesReceived = peerBytesReceived;
    }

    /** Returns the processor time since an earlier usage, in milliseconds. */
    double cpuMillisSince(EntryUsage earlier) {
        return (cpuNanos - earlier.cpuNanos) / NANOS_PER_MILLI;
    }

    /** Returns the bytes sent to peers since an earlier usage. */
    double sentSince(EntryUsage earlier) {
        return peerBytesSent - earlier.peerBytesSent;
    }

    /** Returns the bytes received from peers since an earlier usage. */
    double receivedSince(EntryUsage earlier) {
        return peerBytesReceived - earlier.peerBytesReceived;
    }
}
