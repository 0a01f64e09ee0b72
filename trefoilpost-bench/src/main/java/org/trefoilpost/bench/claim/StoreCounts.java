package org.trefoilpost.bench.claim;

/**
 * Calls to a store and the bytes that they carried.
 */
final class StoreCounts {
    private long reads;
    private long writes;
    private long deletes;
    private long readBytes;
    private long writtenBytes;

    void addRead(long bytes) {
        reads++;
        readBytes += bytes;
    }

    void addWrite(long bytes) {
        writes++;
        writtenBytes += bytes;
    }

    void addDelete() {
        deletes++;
    }

    long reads() {
        return reads;
    }

    long writes() {
        return writes;
    }

    long deletes() {
        return deletes;
    }

    long readBytes() {
        return readBytes;
    }

    long writtenBytes() {
        return writtenBytes;
    }
}
