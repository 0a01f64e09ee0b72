package org.trefoilpost.decision.claim;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.model.EntryId;

/**
 * Writes and reads segments as MessagePack: the format number, a checksum of the rest, and the rest.
 */
final class SegmentCodec {
    /** The format that this program writes, and the newest that it reads. */
    static final int FORMAT = 1;

    /** The most bytes that a claim takes up in a segment. */
    static final int MAX_CLAIM_BYTES = 36;

    private SegmentCodec() {}

    static byte[] encode(Segment segment) {
        try (MessageBufferPacker body = MessagePack.newDefaultBufferPacker();
                MessageBufferPacker whole = MessagePack.newDefaultBufferPacker()) {
            packBody(body, segment);
            byte[] bytes = body.toByteArray();
            whole.packInt(FORMAT);
            whole.packLong(checksum(bytes));
            whole.packBinaryHeader(bytes.length);
            whole.writePayload(bytes);
            return whole.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a segment could not be written to memory", e);
        }
    }

    static Segment decode(int shard, byte[] value) throws SegmentException {
        try (MessageUnpacker whole = MessagePack.newDefaultUnpacker(value)) {
            int format = whole.unpackInt();
            if (format > FORMAT) {
                throw new SegmentException(JournalFault.NEWER_FORMAT, "format " + format + " is newer than " + FORMAT);
            }
            long checksum = whole.unpackLong();
            byte[] bytes = whole.readPayload(whole.unpackBinaryHeader());
            if (checksum != checksum(bytes)) {
                throw new SegmentException(JournalFault.DAMAGED, "the checksum does not match");
            }
            return decodeBody(shard, bytes);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new SegmentException(JournalFault.DAMAGED, "the segment cannot be read", e);
        }
    }

    private static void packBody(MessageBufferPacker body, Segment segment) throws IOException {
        SegmentStamp stamp = segment.stamp();
        body.packInt(segment.shard());
        body.packLong(stamp.epoch());
        body.packString(stamp.owner().text());
        body.packLong(stamp.incarnation());
        body.packLong(stamp.writeNumber());
        body.packLong(segment.firstSequence());
        body.packLong(segment.lastSequence());
        body.packArrayHeader(segment.claims().size());
        long previous = 0;
        for (ClaimRecord claim : segment.claims()) {
            body.packLong(claim.key().high());
            body.packLong(claim.key().low());
            body.packLong(claim.fingerprint().hash());
            body.packLong(claim.claimedAtMillis() - previous);
            previous = claim.claimedAtMillis();
        }
    }

    private static Segment decodeBody(int shard, byte[] bytes) throws IOException, SegmentException {
        try (MessageUnpacker body = MessagePack.newDefaultUnpacker(bytes)) {
            if (body.unpackInt() != shard) {
                throw new SegmentException(JournalFault.DAMAGED, "the segment belongs to another shard");
            }
            long epoch = body.unpackLong();
            EntryId owner = EntryId.of(body.unpackString());
            SegmentStamp stamp = new SegmentStamp(epoch, owner, body.unpackLong(), body.unpackLong());
            long first = body.unpackLong();
            long last = body.unpackLong();
            return Segment.tail(shard, stamp, first, last, unpackClaims(body));
        }
    }

    private static List<ClaimRecord> unpackClaims(MessageUnpacker body) throws IOException {
        int size = body.unpackArrayHeader();
        List<ClaimRecord> claims = new ArrayList<>();
        long previous = 0;
        for (int i = 0; i < size; i++) {
            ClaimKey key = ClaimKey.ofHash(body.unpackLong(), body.unpackLong());
            RequestFingerprint fingerprint = RequestFingerprint.ofHash(body.unpackLong());
            previous += body.unpackLong();
            claims.add(ClaimRecord.of(key, fingerprint, previous));
        }
        return claims;
    }

    private static long checksum(byte[] bytes) {
        CRC32C checksum = new CRC32C();
        checksum.update(bytes);
        return checksum.getValue();
    }
}
