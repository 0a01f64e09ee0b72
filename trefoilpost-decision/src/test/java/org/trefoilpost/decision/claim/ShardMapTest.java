package org.trefoilpost.decision.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.EntryId;

class ShardMapTest {
    private static List<EntryId> entries(int count) {
        List<EntryId> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(EntryId.of("entry" + i));
        }
        return entries;
    }

    @Test
    void lossOfAnEntryMovesOnlyItsShards() {
        List<EntryId> members = entries(7);
        ShardMap before = ShardMap.of(ShardMap.DEFAULT_SHARDS, members);
        EntryId lost = members.remove(3);
        ShardMap after = ShardMap.of(ShardMap.DEFAULT_SHARDS, members);
        for (int shard = 0; shard < before.shards(); shard++) {
            Optional<EntryId> owner = before.preferredOwner(shard);
            if (!owner.equals(Optional.of(lost))) {
                assertEquals(owner, after.preferredOwner(shard));
            }
        }
    }

    @Test
    void everyEntryOwnsShardsAndEveryShardHoldsKeys() {
        ShardMap map = ShardMap.of(ShardMap.DEFAULT_SHARDS, entries(6));
        long owners = IntStream.range(0, map.shards())
                .mapToObj(map::preferredOwner)
                .distinct()
                .count();
        assertEquals(6, owners);
        int[] keys = new int[map.shards()];
        for (int i = 0; i < 32_000; i++) {
            keys[map.shardOf(ClaimKey.parse("key-" + i))]++;
        }
        for (int count : keys) {
            assertTrue(count > 800 && count < 1_200, "keys in a shard: " + count);
        }
    }

    @Test
    void emptyMapHasNoOwnerAndInvalidArgumentsAreRefused() {
        assertEquals(Optional.empty(), ShardMap.of(1, List.of()).preferredOwner(0));
        assertThrows(IllegalArgumentException.class, () -> ShardMap.of(0, List.of()));
        assertThrows(IllegalArgumentException.class, () -> ClaimKey.parse("with space"));
    }
}
