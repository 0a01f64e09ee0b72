package org.trefoilpost.model.worker;

import java.util.Objects;

/**
 * The amounts of the resources that a worker has or that a job needs.
 */
public final class Resources {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0, 0);

    private final int cores;
    private final int memoryMb;
    private final int accelerators;
    private final int slots;

    private Resources(int cores, int memoryMb, int accelerators, int slots) {
        this.cores = cores;
        this.memoryMb = memoryMb;
        this.accelerators = accelerators;
        this.slots = slots;
    }

    /**
     * Obtains resources from their amounts.
     *
     * @param cores  the number of processor cores, not negative
     * @param memoryMb  the memory in MiB, not negative
     * @param accelerators  the number of accelerators, not negative
     * @param slots  the number of requests that can run at once, not negative
     * @return the resources, not null
     * @throws IllegalArgumentException if an amount is negative
     */
    public static Resources of(int cores, int memoryMb, int accelerators, int slots) {
        if (cores < 0 || memoryMb < 0 || accelerators < 0 || slots < 0) {
            throw new IllegalArgumentException("resources must not be negative: " + cores + " cores, " + memoryMb
                    + " MiB, " + accelerators + " accelerators, " + slots + " slots");
        }
        return new Resources(cores, memoryMb, accelerators, slots);
    }

    /**
     * Returns the number of processor cores.
     *
     * @return the number of cores, not negative
     */
    public int cores() {
        return cores;
    }

    /**
     * Returns the memory.
     *
     * @return the memory in MiB, not negative
     */
    public int memoryMb() {
        return memoryMb;
    }

    /**
     * Returns the number of accelerators.
     *
     * @return the number of accelerators, not negative
     */
    public int accelerators() {
        return accelerators;
    }

    /**
     * Returns the number of requests that can run at once.
     *
     * @return the number of request slots, not negative
     */
    public int slots() {
        return slots;
    }

    /**
     * Returns the sum of these resources and others.
     *
     * @param other  the resources to add, not null
     * @return the sum, not null
     */
    public Resources plus(Resources other) {
        return of(
                cores + other.cores, memoryMb + other.memoryMb, accelerators + other.accelerators, slots + other.slots);
    }

    /**
     * Returns these resources minus others, where no amount falls below zero.
     *
     * @param other  the resources to subtract, not null
     * @return the difference, not null
     */
    public Resources minus(Resources other) {
        return of(
                Math.max(0, cores - other.cores),
                Math.max(0, memoryMb - other.memoryMb),
                Math.max(0, accelerators - other.accelerators),
                Math.max(0, slots - other.slots));
    }

    /**
     * Returns whether these resources satisfy a need.
     *
     * @param need  the amounts needed, not null
     * @return true if no amount is less than the one needed
     */
    public boolean covers(Resources need) {
        return cores >= need.cores
                && memoryMb >= need.memoryMb
                && accelerators >= need.accelerators
                && slots >= need.slots;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Resources other
                && other.cores == cores
                && other.memoryMb == memoryMb
                && other.accelerators == accelerators
                && other.slots == slots;
    }

    @Override
    public int hashCode() {
        return Objects.hash(cores, memoryMb, accelerators, slots);
    }

    /**
     * Returns the amount of each resource.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return cores + " cores, " + memoryMb + " MiB, " + accelerators + " accelerators, " + slots + " slots";
    }
}
