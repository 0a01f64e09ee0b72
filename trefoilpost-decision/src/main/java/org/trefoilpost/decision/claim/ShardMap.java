package org.trefoilpost.decision.claim;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.trefoilpost.model.EntryId;

/**
 * Maps each key to a shard, and each shard to its preferred owner.
 *
 * <p>The preferred owner is chosen by rendezvous hashing, so that the loss of an entry moves only the shards of that
 * entry. The actual owner is the entry that last wrote its epoch to the journal of the shard.
 */
public final class ShardMap {
    /** The number of shards if none is configured. */
    public static final int DEFAULT_SHARDS = 32;

    private final int shards;
    private final List<EntryId> members;

    private ShardMap(int shards, List<EntryId> members) {
        this.shards = shards;
        this.members = members;
    }

    /**
     * Obtains the map of a number of shards and a set of entries.
     *
     * @param shards  the number of shards, more than 0, the same on every entry and never changed
     * @param members  the entries, not null
     * @return the map, not null
     * @throws IllegalArgumentException if the number of shards is not positive
     */
    public static ShardMap of(int shards, Collection<EntryId> members) {
        if (shards <= 0) {
            throw new IllegalArgumentException("the number of shards must be positive: " + shards);
        }
        return new ShardMap(shards, members.stream().sorted().distinct().toList());
    }

    /**
     * Returns the number of shards.
     *
     * @return the number, more than 0
     */
    public int shards() {
        return shards;
    }

    /**
     * Returns the shard that holds a key.
     *
     * @param key  the key, not null
     * @return the number of the shard, from 0
     */
    public int shardOf(ClaimKey key) {
        return (int) Long.remainderUnsigned(Objects.requireNonNull(key, "key").high(), shards);
    }

    /**
     * Returns the entry that should own a shard.
     *
     * @param shard  the number of the shard
     * @return the entry, not null, empty if there is no entry
     */
    public Optional<EntryId> preferredOwner(int shard) {
        ToLongFunction<EntryId> weight = member -> weight(member, shard);
        return members.stream().max(Comparator.comparingLong(weight));
    }

    private static long weight(EntryId member, int shard) {
        MessageDigest digest = Hashes.digest();
        digest.update(member.text().getBytes(StandardCharsets.US_ASCII));
        return Hashes.mix(Hashes.finish(digest).getLong() + Hashes.mix(shard + 1L));
    }
}
