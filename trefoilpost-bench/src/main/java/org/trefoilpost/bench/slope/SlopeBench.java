package org.trefoilpost.bench.slope;

/**
 * Prints how bytes, processor time and memory of the parts of an entry grow with the fleet.
 *
 * <p>Argument: the seed of the routers.
 */
public final class SlopeBench {
    private static final long DEFAULT_SEED = 1;

    private SlopeBench() {}

    /**
     * Runs the bench.
     *
     * @param args  the seed, optional
     */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        System.out.println("seed " + seed);
        HeartbeatSlopes.print(System.out);
        new FleetSlopes(System.out, seed).print();
    }
}
