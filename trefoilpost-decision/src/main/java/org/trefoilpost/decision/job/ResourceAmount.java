package org.trefoilpost.decision.job;

/**
 * An amount of resources, demanded by a task or provided by a worker.
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
     * Returns this amount multiplied by a number.
     *
     * @param count  the multiplier, not negative
     * @return the product, not null
     */
    public ResourceAmount times(long count) {
        return new ResourceAmount(cpuMillis * count, memoryMb * count, accelerators * count);
    }

    /**
     * Returns the larger of this amount and another, component by component.
     *
     * @param other  the other amount, not null
     * @return the larger amount, not null
     */
    public ResourceAmount max(ResourceAmount other) {
        return new ResourceAmount(
                Math.max(cpuMillis, other.cpuMillis),
                Math.max(memoryMb, other.memoryMb),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns whether this amount fits in another.
     *
     * @param available  the other amount, not null
     * @return true if no component exceeds the other's
     */
    public boolean fitsIn(ResourceAmount available) {
        return cpuMillis <= available.cpuMillis
                && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators;
    }

    /**
     * Returns how many times this amount fits in another.
     *
     * @param available  the other amount, not null
     * @return the number, not negative; {@link Integer#MAX_VALUE} if this amount is zero
     */
    public long timesIn(ResourceAmount available) {
        long times = Math.min(times(cpuMillis, available.cpuMillis), times(memoryMb, available.memoryMb));
        return Math.min(times, times(accelerators, available.accelerators));
    }

    private static long times(long part, long whole) {
        return part == 0 ? Integer.MAX_VALUE : Math.max(0, whole / part);
    }

    /**
     * Returns this amount with a processor share of 0.
     *
     * @return the amount, not null
     */
    public ResourceAmount withoutCpu() {
        return new ResourceAmount(0, memoryMb, accelerators);
    }
}
