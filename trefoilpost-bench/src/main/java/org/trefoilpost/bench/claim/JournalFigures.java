package org.trefoilpost.bench.claim;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * What a journal costs at a rate of requests: figures of all shards together, and of the take-over of one shard.
 */
final class JournalFigures {
    static final String HEADING = """
            | journal | requests/s | writes/s | deletes/s | most in 1 s | MB/s written | wait p50 ms | wait p99 ms | refused % \
            | take-over calls | take-over KB | take-over ms | keys a shard | heap a shard MB |
            |---|---|---|---|---|---|---|---|---|---|---|---|---|---|""";

    private static final double PERCENT = 100;
    private static final double MEGA = 1e6;
    private static final double KILO = 1e3;

    private final String journal;
    private final int requestsPerSecond;
    private double writesPerSecond;
    private double deletesPerSecond;
    private double writtenBytesPerSecond;
    private long mostInASecond;
    private Histogram waits;
    private double refusedShare;
    private long takeOverCalls;
    private long takeOverBytes;
    private long takeOverMillis;
    private long heldKeys;
    private double heapMegabytes = Double.NaN;

    JournalFigures(String journal, int requestsPerSecond) {
        this.journal = journal;
        this.requestsPerSecond = requestsPerSecond;
    }

    JournalFigures withWrites(double writes, double deletes, double bytes) {
        writesPerSecond = writes;
        deletesPerSecond = deletes;
        writtenBytesPerSecond = bytes;
        return this;
    }

    /** Sets the most writes and deletes of all shards in any second, if every shard has its worst second at once. */
    JournalFigures withMostInASecond(long calls) {
        mostInASecond = calls;
        return this;
    }

    JournalFigures withWaits(Histogram newWaits, double newRefusedShare) {
        waits = newWaits;
        refusedShare = newRefusedShare;
        return this;
    }

    JournalFigures withTakeOver(long calls, long bytes, long millis) {
        takeOverCalls = calls;
        takeOverBytes = bytes;
        takeOverMillis = millis;
        return this;
    }

    JournalFigures withMemory(long keys, double megabytes) {
        heldKeys = keys;
        heapMegabytes = megabytes;
        return this;
    }

    String row() {
        String memory = Double.isNaN(heapMegabytes) ? "| – | – |" : format("| %d | %.0f |", heldKeys, heapMegabytes);
        return format(
                        "| %s | %d | %.1f | %.1f | %s | %.2f | %d | %d | %.1f | %d | %.0f | %d ",
                        journal,
                        requestsPerSecond,
                        writesPerSecond,
                        deletesPerSecond,
                        mostInASecond == 0 ? "–" : Long.toString(mostInASecond),
                        writtenBytesPerSecond / MEGA,
                        waits.getValueAtPercentile(50),
                        waits.getValueAtPercentile(99),
                        refusedShare * PERCENT,
                        takeOverCalls,
                        takeOverBytes / KILO,
                        takeOverMillis)
                + memory;
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
