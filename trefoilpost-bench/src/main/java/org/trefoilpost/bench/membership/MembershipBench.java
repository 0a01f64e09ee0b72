package org.trefoilpost.bench.membership;

import java.util.Locale;

/**
 * Prints what each manner of surveillance costs, how soon it detects a stop, and how often it is wrong.
 *
 * <p>Argument: the seed.
 */
public final class MembershipBench {
    private static final long DEFAULT_SEED = 1;
    private static final int[] SIZES = {3, 6, 9, 27, 81};
    private static final double[] LOSSES = {0, 0.2};
    private static final double TRAFFIC_PER_SECOND = 2;

    private MembershipBench() {}

    /**
     * Runs the bench.
     *
     * @param args  the seed, optional
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        System.out.println("seed " + seed + ", other messages to each peer: " + TRAFFIC_PER_SECOND + "/s");
        System.out.println();
        System.out.println("| entries | loss | manner | messages/s an entry | bytes/s an entry | first detection ms"
                + " | last detection ms | detected by | false suspicions |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        for (int size : SIZES) {
            for (double loss : LOSSES) {
                for (Manner manner : Manner.values()) {
                    print(size, loss, manner, NetworkModel.run(manner, size, loss, TRAFFIC_PER_SECOND, seed));
                }
            }
        }
    }

    private static void print(int size, double loss, Manner manner, NetworkResult result) {
        System.out.println(String.format(
                Locale.ROOT,
                "| %d | %.0f%% | %s | %.1f | %.0f | %d | %d | %d of %d | %d |",
                size,
                loss * 100,
                manner.label(),
                result.messagesPerSecond(),
                result.bytesPerSecond(),
                result.firstDetectionMillis(),
                result.lastDetectionMillis(),
                result.detections(),
                size - 1,
                result.falseSuspicions()));
    }
}
