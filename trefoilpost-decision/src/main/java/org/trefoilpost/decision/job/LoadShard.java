package org.trefoilpost.decision.job;

/**
 * Asks for a read of the shard's document.
 */
public final class LoadShard implements JobAction {
    private final int shard;

    private LoadShard(int shard) {
        this.shard = shard;
    }

    /**
     * Obtains the value.
     *
     * @param shard  the shard
     * @return the value, not null
     */
    public static LoadShard of(int shard) {
        return new LoadShard(shard);
    }

    /**
     * Returns the shard.
     *
     * @return the shard
     */
    public int shard() {
        return shard;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "LoadShard " + shard;
    }
}
