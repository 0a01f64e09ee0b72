package org.trefoilpost.decision.job;

/**
 * Time has passed.
 */
public final class JobTick implements JobEvent {
    private final boolean active;

    private JobTick(boolean active) {
        this.active = active;
    }

    /**
     * Obtains the value.
     *
     * @param active  whether this executor is responsible for the shard, so it places and calls
     * @return the value, not null
     */
    public static JobTick of(boolean active) {
        return new JobTick(active);
    }

    /**
     * Returns whether this executor is responsible for the shard, so it places and calls.
     *
     * @return true if this executor is responsible for the shard, so it places and calls
     */
    public boolean isActive() {
        return active;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "JobTick " + active;
    }
}
