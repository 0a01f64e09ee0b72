package org.trefoilpost.entry.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.entry.job.StoreFailure;
import org.trefoilpost.entry.job.StorePort;

class StoreCallCodecTest {
    private static final StorePort.Item ITEM = new StorePort.Item("a/key", new byte[] {0, -1, 7}, 12, 34);

    @Test
    void callsAreDecodedAsEncoded() {
        for (StoreCall<?> call : List.of(
                new StoreCall.Read("a"),
                new StoreCall.Range("a/", "a/b"),
                new StoreCall.Watch("a/", 9, new WatchTimes(1_500, 2_100)),
                new StoreCall.GrantLease(2_000),
                new StoreCall.RenewLease(Long.MAX_VALUE),
                new StoreCall.EndLease(5))) {
            assertEquals(Optional.of(call), StoreCallCodec.decode(StoreCallCodec.encode(call)));
        }
    }

    @Test
    void changeIsDecodedAsEncoded() {
        StorePort.Change change = new StorePort.Change(
                Map.of("owner", 3L, "new", 0L),
                List.of(new StorePort.Put("k", new byte[] {1, 2}, 8), new StorePort.Put("l", new byte[0], 0)),
                List.of("old"));
        StoreCall.Commit decoded =
                (StoreCall.Commit) StoreCallCodec.decode(StoreCallCodec.encode(new StoreCall.Commit(change)))
                        .orElseThrow();
        assertEquals(change.expected(), decoded.change().expected());
        assertEquals(change.removedKeys(), decoded.change().removedKeys());
        assertArrayEquals(
                change.puts().get(0).value(), decoded.change().puts().get(0).value());
        assertEquals(8, decoded.change().puts().get(0).lease());
        assertEquals("l", decoded.change().puts().get(1).key());
    }

    @Test
    void resultsAreDecodedAsEncoded() {
        assertEquals(Optional.empty(), resultOf(new StoreCall.Read("a"), Optional.empty()));
        StorePort.Item item =
                resultOf(new StoreCall.Read("a"), Optional.of(ITEM)).orElseThrow();
        assertEquals("a/key", item.key());
        assertArrayEquals(ITEM.value(), item.value());
        assertEquals(12, item.revision());
        assertEquals(34, item.lease());
        StorePort.Page page = resultOf(new StoreCall.Range("a/", ""), new StorePort.Page(List.of(ITEM), true, 77));
        assertEquals(1, page.items().size());
        assertEquals(77, page.revision());
        StorePort.Changes changes = resultOf(
                new StoreCall.Watch("a/", 1, WatchTimes.LONGEST),
                new StorePort.Changes(List.of(Map.entry("a/key", Optional.empty())), 78));
        assertEquals(List.of(Map.entry("a/key", Optional.empty())), changes.changes());
        assertEquals(false, resultOf(new StoreCall.RenewLease(1), false));
        assertNull(resultOf(new StoreCall.EndLease(1), null));
    }

    @Test
    void failureIsDecodedWithItsKindAndItems() {
        byte[] reply = StoreCallCodec.encodeFailure(
                new StoreFailure(StoreFailure.Kind.CONFLICT, "another revision", List.of(ITEM)));
        StoreFailure failure =
                assertThrows(StoreFailure.class, () -> StoreCallCodec.decodeReply(new StoreCall.GrantLease(1), reply));
        assertEquals(StoreFailure.Kind.CONFLICT, failure.kind());
        assertEquals(12, failure.currentItem("a/key").orElseThrow().revision());
    }

    @Test
    void damagedMessagesAreCallsOfNoKindOrRepliesOfUnknownOutcome() {
        Random random = new Random(1);
        byte[] call = StoreCallCodec.encode(new StoreCall.Watch("a/", 9, new WatchTimes(1_500, 2_100)));
        byte[] reply =
                StoreCallCodec.encodeResult(new StoreCall.Range("a/", ""), new StorePort.Page(List.of(ITEM), true, 77));
        for (int i = 0; i < 2_000; i++) {
            StoreCallCodec.decode(damaged(call, random));
            try {
                StoreCallCodec.decodeReply(new StoreCall.Range("a/", ""), damaged(reply, random));
            } catch (StoreFailure e) {
                assertEquals(StoreFailure.Kind.UNKNOWN, e.kind());
            }
        }
    }

    private static byte[] damaged(byte[] message, Random random) {
        byte[] damaged = Arrays.copyOf(message, random.nextInt(message.length + 1));
        if (damaged.length > 0) {
            damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
        }
        return damaged;
    }

    private static <T> T resultOf(StoreCall<T> call, T result) {
        return StoreCallCodec.decodeReply(call, StoreCallCodec.encodeResult(call, result));
    }
}
