package org.trefoilpost.decision.job;

/**
 * An amount of a worker's resources.
 *
 * @param cpuMillis  the processor share in thousandths of a core
 * @param memoryMb  the memory in MB
 * @param accelerators  the number of accelerators
 */
public record Demand(long cpuMillis, long memoryMb, long accelerators) {
    /** No resources. */
    public static final Demand NONE = new Demand(0, 0, 0);

    /**
     * Returns the sum of this amount and another.
     *
     * @param other  the other amount, not null
     * @return the sum, not null
     */
    public Demand plus(Demand other) {
        return new Demand(cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /**
     * Returns this amount less another.
     *
     * @param other  the other amount, not null
     * @return the difference, which may be negative, not null
     */
    public Demand minus(Demand other) {
        return new Demand(cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /**
     * Returns this amount several times.
     *
     * @param count  the number of times, not negative
     * @return the product, not null
     */
    public Demand times(long count) {
        return new Demand(cpuMillis * count, memoryMb * count, accelerators * count);
    }

    /**
     * Returns whether this amount is contained in another.
     *
     * @param room  the other amount, not null
     * @return true if no component exceeds the other's
     */
    public boolean fitsIn(Demand room) {
        return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }

    /**
     * Returns how often this amount is contained in another.
     *
     * @param room  the other amount, not null
     * @return the number, not negative; the largest number if this amount is nothing
     */
    public long timesIn(Demand room) {
        long times = Math.min(times(cpuMillis, room.cpuMillis), times(memoryMb, room.memoryMb));
        return Math.min(times, times(accelerators, room.accelerators));
    }

    private static long times(long part, long whole) {
        return part == 0 ? Integer.MAX_VALUE : Math.max(0, whole / part);
    }

    /**
     * Returns this amount without its processor share.
     *
     * @return the amount, not null
     */
    public Demand withoutCpu() {
        return new Demand(0, memoryMb, accelerators);
    }
}
