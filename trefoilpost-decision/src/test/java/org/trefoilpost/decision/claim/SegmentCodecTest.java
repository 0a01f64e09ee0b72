package org.trefoilpost.decision.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.trefoilpost.model.EntryId;

class SegmentCodecTest {
    private static Segment segment(long seed) {
        Random random = new Random(seed);
        List<ClaimRecord> claims = new ArrayList<>();
        for (int i = random.nextInt(50); i > 0; i--) {
            ClaimKey key = ClaimKey.ofHash(random.nextLong(), random.nextLong());
            long time = 1_700_000_000_000L + random.nextInt(1_000_000);
            claims.add(ClaimRecord.of(key, RequestFingerprint.ofHash(random.nextLong()), time));
        }
        SegmentStamp stamp =
                new SegmentStamp(random.nextLong(), EntryId.of("e1"), random.nextLong(), random.nextLong());
        return Segment.tail(3, stamp, random.nextLong(), random.nextLong(), claims);
    }

    @Property(seed = "11", tries = 300)
    void segmentsSurviveTheRoundTrip(@ForAll long seed) throws SegmentException {
        Segment segment = segment(seed);
        byte[] bytes = SegmentCodec.encode(segment);
        Segment decoded = SegmentCodec.decode(3, bytes);
        assertEquals(segment.claims(), decoded.claims());
        assertTrue(segment.stamp().isSameWrite(decoded.stamp()));
        assertEquals(segment.epoch(), decoded.epoch());
        assertEquals(segment.firstSequence(), decoded.firstSequence());
        assertEquals(segment.lastSequence(), decoded.lastSequence());
        assertTrue(bytes.length <= 128 + segment.claims().size() * SegmentCodec.MAX_CLAIM_BYTES);
    }

    @Property(seed = "12", tries = 300)
    void flippedBitIsDetected(@ForAll long seed) {
        byte[] bytes = SegmentCodec.encode(segment(seed));
        Random random = new Random(seed);
        bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(Byte.SIZE));
        assertThrows(SegmentException.class, () -> SegmentCodec.decode(3, bytes));
    }

    @Property(seed = "13", tries = 100)
    void truncatedAndForeignSegmentsAreRefused(@ForAll long seed) {
        byte[] bytes = SegmentCodec.encode(segment(seed));
        byte[] truncated = Arrays.copyOf(bytes, new Random(seed).nextInt(bytes.length));
        assertThrows(SegmentException.class, () -> SegmentCodec.decode(3, truncated));
        assertThrows(SegmentException.class, () -> SegmentCodec.decode(4, bytes));
    }
}
