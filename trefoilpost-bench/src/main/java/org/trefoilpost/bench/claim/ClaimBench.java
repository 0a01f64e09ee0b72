package org.trefoilpost.bench.claim;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.trefoilpost.decision.claim.ClaimSettings;
import org.trefoilpost.decision.claim.ShardMap;

/**
 * Prints what the variants of the claim journal cost, and what a store key per request costs.
 *
 * <p>The heap is measured and may differ by a little between runs; all other figures depend only on the seed.
 */
public final class ClaimBench {
    private static final long DEFAULT_SEED = 42;
    private static final int SHARDS = ShardMap.DEFAULT_SHARDS;
    private static final double GRANTED_WRITES_PER_SECOND = 300;
    private static final int[] REQUEST_RATES = {500, 2_000, 8_000};
    private static final int KILO = 1_024;
    private static final int NO_MERGING = 0;
    private static final int[] SWEEP_RATES = {100, 500, 2_000};
    private static final int[] SHARD_COUNTS = {8, 16, 64};
    private static final double SECONDS = ShardRun.MEASURED_MILLIS / 1_000.0;
    private static final double HOLD_SECONDS = 17 * 60;
    private static final int SEGMENT_HEADER_BYTES = 60;
    private static final int CLAIM_BYTES = 30;

    private ClaimBench() {}

    /**
     * Runs the bench.
     *
     * @param arguments  the seed, or none for the default seed
     */
    public static void main(String[] arguments) {
        long seed = arguments.length == 0 ? DEFAULT_SEED : Long.parseLong(arguments[0]);
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        out.println("seed " + seed + ", " + SHARDS + " shards, " + GRANTED_WRITES_PER_SECOND + " writes/s granted");
        out.println(JournalFigures.HEADING);
        for (int rate : REQUEST_RATES) {
            out.println(keyPerRequest(seed, rate).row());
            out.println(keyPerBatch(seed, rate).row());
            out.println(measure("a: 16 KiB segments", seed, rate, settings(16, NO_MERGING))
                    .row());
            out.println(measure("a: 64 KiB segments", seed, rate, settings(64, NO_MERGING))
                    .row());
            out.println(measure("c: 4 KiB tail, 256 KiB archives", seed, rate, settings(4, 256))
                    .row());
            out.println(measure("c: 16 KiB tail, 256 KiB archives", seed, rate, settings(16, 256))
                    .row());
            out.println(measure("c: 16 KiB tail, 512 KiB archives", seed, rate, settings(16, 512))
                    .row());
        }
        for (int rate : SWEEP_RATES) {
            for (int shards : SHARD_COUNTS) {
                out.println(sweep(seed, rate, shards).row());
            }
        }
    }

    private static ClaimSettings.Builder settings(int tailKilobytes, int archiveKilobytes) {
        return ClaimSettings.builder()
                .grantedWrites(GRANTED_WRITES_PER_SECOND, SHARDS)
                .tailRolloverBytes(tailKilobytes * KILO)
                .maxArchiveBytes(Math.max(1, archiveKilobytes * KILO));
    }

    private static JournalFigures sweep(long seed, int rate, int shards) {
        ClaimSettings.Builder settings = settings(16, 256).grantedWrites(GRANTED_WRITES_PER_SECOND, shards);
        return measure("c, " + shards + " shards", seed, rate, shards, settings.build());
    }

    private static JournalFigures measure(String name, long seed, int rate, ClaimSettings.Builder settings) {
        return measure(name, seed, rate, SHARDS, settings.build());
    }

    private static JournalFigures measure(String name, long seed, int rate, int shards, ClaimSettings settings) {
        ShardRun run = new ShardRun(seed, (double) rate / shards, settings);
        run.run();
        StoreCounts steady = run.counts();
        double perSecond = shards / SECONDS;
        long heldKeys = run.heldKeys();
        double megabytes = run.dropAndMeasureMegabytes();
        long mostInASecond = run.mostWritesInASecond() * shards;
        long takeOverMillis = run.takeOver();
        StoreCounts takeOver = run.counts();
        return new JournalFigures(name, rate)
                .withWrites(
                        steady.writes() * perSecond, steady.deletes() * perSecond, steady.writtenBytes() * perSecond)
                .withMostInASecond(mostInASecond)
                .withWaits(run.waits(), run.refusedShare())
                .withTakeOver(
                        takeOver.reads() + takeOver.writes(),
                        takeOver.readBytes() + takeOver.writtenBytes(),
                        takeOverMillis)
                .withMemory(heldKeys, megabytes);
    }

    private static double perSecond(long ofOneShard) {
        return ofOneShard * SHARDS / SECONDS;
    }

    private static JournalFigures keyPerBatch(long seed, int rate) {
        Arrivals arrivals = new Arrivals(seed, (double) rate / SHARDS);
        KeyPerBatchModel model =
                new KeyPerBatchModel(arrivals, GRANTED_WRITES_PER_SECOND / SHARDS, Integer.MAX_VALUE, false);
        model.run(ShardRun.MEASURED_MILLIS);
        double batches = perSecond(model.batches());
        double bytes = batches * SEGMENT_HEADER_BYTES + perSecond(model.claims()) * CLAIM_BYTES;
        long keys = Math.round(batches / SHARDS * HOLD_SECONDS);
        return new JournalFigures("b: a key per batch (model)", rate)
                .withWrites(batches, batches, bytes)
                .withWaits(model.waits(), model.refusedShare())
                .withTakeOver(
                        keys + 1,
                        Math.round(bytes / SHARDS * HOLD_SECONDS),
                        (keys + 1) * ShardRun.STORE_LATENCY_MILLIS);
    }

    private static JournalFigures keyPerRequest(long seed, int rate) {
        KeyPerBatchModel model = new KeyPerBatchModel(new Arrivals(seed, rate), GRANTED_WRITES_PER_SECOND, 1, true);
        model.run(ShardRun.MEASURED_MILLIS);
        double writes = model.batches() / SECONDS;
        return new JournalFigures("plain: a key per request (model)", rate)
                .withWrites(writes, writes, writes * (SEGMENT_HEADER_BYTES + CLAIM_BYTES))
                .withWaits(model.waits(), model.refusedShare())
                .withTakeOver(0, 0, 0);
    }
}
