package org.trefoilpost.decision.job;

/**
 * An amount of a worker's resources.
 *
 * @param cpuMillis  the processor share in thousandths of a core
 * @param memoryMb  the memory in MB
 * @param accelerators  the number of accelerators
 */
public record ResourceAmount(long cpuMillis, long memoryMb, long accelerators) {
    /** No resources. */
    public static final ResourceAmount NONE = new ResourceAmount(0, 0, 0);

    /**
     * Returns the sum of this amount and another.
     *
     * @param other  the other amount, not null
     * @return the sum, not null
     */
    public ResourceAmount plus(ResourceAmount other) {
        return new ResourceAmount(
                cpuMillis + other.cpuMillis, memoryMb + other.memoryMb, accelerators + other.accelerators);
    }

    /**
     * Returns this amount less another.
     *
     * @param other  the other amount, not null
     * @return the difference, which may be negative, not null
     */
    public ResourceAmount minus(ResourceAmount other) {
        return new ResourceAmount(
                cpuMillis - other.cpuMillis, memoryMb - other.memoryMb, accelerators - other.accelerators);
    }

    /**
     * Returns this amount several times.
     *
     * @param count  the number of times, not negative
     * @return the product, not null
     */
    public ResourceAmount times(long count) {
        return new ResourceAmount(cpuMillis * count, memoryMb * count, accelerators * count);
    }

    /**
     * Returns whether this amount is contained in another.
     *
     * @param room  the other amount, not null
     * @return true if no component exceeds the other's
     */
    public boolean fitsIn(ResourceAmount room) {
        return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }

    /**
     * Returns how often this amount is contained in another.
     *
     * @param room  the other amount, not null
     * @return the number, not negative; the largest number if this amount is nothing
     */
    public long timesIn(ResourceAmount room) {
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
    public ResourceAmount withoutCpu() {
        return new ResourceAmount(0, memoryMb, accelerators);
    }
}
