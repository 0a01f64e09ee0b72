package org.trefoilpost.bench.membership;

/**
 * What was counted in one run.
 */
public final class NetworkResult {
    private final int entries;
    private final double seconds;
    private long messages;
    private long bytes;
    private long carriedBytes;
    private int falseSuspicions;
    private long firstDetectionMillis = -1;
    private long lastDetectionMillis = -1;
    private int detections;

    NetworkResult(int entries, double seconds) {
        this.entries = entries;
        this.seconds = seconds;
    }

    void sent(int length) {
        messages++;
        bytes += length;
    }

    void carried(int length) {
        carriedBytes += length;
    }

    void falselySuspected() {
        falseSuspicions++;
    }

    void detected(long millis) {
        firstDetectionMillis = detections == 0 ? millis : firstDetectionMillis;
        lastDetectionMillis = millis;
        detections++;
    }

    /**
     * Returns the heartbeats that an entry sends as messages of their own.
     *
     * @return the messages per second
     */
    public double messagesPerSecond() {
        return messages / seconds / entries;
    }

    /**
     * Returns the bytes of the heartbeats that an entry sends, alone or with other messages.
     *
     * @return the bytes per second
     */
    public double bytesPerSecond() {
        return (bytes + carriedBytes) / seconds / entries;
    }

    /**
     * Returns the suspicions of entries that ran all the time.
     *
     * @return the suspicions
     */
    public int falseSuspicions() {
        return falseSuspicions;
    }

    /**
     * Returns the time from the stop of an entry to the first suspicion.
     *
     * @return the time in milliseconds, -1 if it was not suspected
     */
    public long firstDetectionMillis() {
        return firstDetectionMillis;
    }

    /**
     * Returns the time from the stop of an entry to the last entry's suspicion.
     *
     * @return the time in milliseconds, -1 if it was not suspected
     */
    public long lastDetectionMillis() {
        return lastDetectionMillis;
    }

    /**
     * Returns how many entries suspected the one that stopped.
     *
     * @return the entries
     */
    public int detections() {
        return detections;
    }
}
