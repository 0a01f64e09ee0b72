package org.trefoilpost.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.claim.ClaimKey;
import org.trefoilpost.decision.claim.ClaimRecord;
import org.trefoilpost.decision.claim.HandOver;
import org.trefoilpost.decision.claim.HandedOverClaim;
import org.trefoilpost.decision.claim.RequestFingerprint;
import org.trefoilpost.entry.target.TargetResponse;

/**
 * Encodes and decodes the claims and answers of a shard that changes its owner.
 */
final class HandOverCodec {
    private static final int MAX_HANDED_OVER_CLAIMS = 100_000;

    private HandOverCodec() {}

    static void pack(MessageBufferPacker packer, HandOver handOver) throws IOException {
        packer.packInt(handOver.shard());
        packer.packArrayHeader(handOver.claims().size());
        for (HandedOverClaim handedOver : handOver.claims()) {
            packClaim(packer, handedOver.claim());
            packer.packBoolean(handedOver.answer().isPresent());
            if (handedOver.answer().isPresent()) {
                packAnswer(packer, ((StoredAnswer) handedOver.answer().get()).answer());
            }
        }
    }

    static HandOver unpack(MessageUnpacker unpacker) throws IOException {
        int shard = unpacker.unpackInt();
        int count = ValueCodec.checkedCount(unpacker.unpackArrayHeader(), MAX_HANDED_OVER_CLAIMS);
        List<HandedOverClaim> claims = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            ClaimRecord claim = unpackClaim(unpacker);
            boolean answered = unpacker.unpackBoolean();
            claims.add(
                    answered
                            ? HandedOverClaim.of(claim, StoredAnswer.of(unpackAnswer(unpacker)))
                            : HandedOverClaim.of(claim));
        }
        return HandOver.of(shard, claims);
    }

    private static void packClaim(MessageBufferPacker packer, ClaimRecord claim) throws IOException {
        packer.packLong(claim.key().high()).packLong(claim.key().low());
        packer.packLong(claim.fingerprint().hash()).packLong(claim.claimedAtMillis());
    }

    private static ClaimRecord unpackClaim(MessageUnpacker unpacker) throws IOException {
        ClaimKey key = ClaimKey.ofHash(unpacker.unpackLong(), unpacker.unpackLong());
        RequestFingerprint fingerprint = RequestFingerprint.ofHash(unpacker.unpackLong());
        return ClaimRecord.of(key, fingerprint, unpacker.unpackLong());
    }

    private static void packAnswer(MessageBufferPacker packer, TargetResponse answer) throws IOException {
        packer.packInt(answer.status());
        ValueCodec.packHeaders(packer, answer.headers());
        ValueCodec.packBytes(packer, answer.body());
    }

    private static TargetResponse unpackAnswer(MessageUnpacker unpacker) throws IOException {
        int status = unpacker.unpackInt();
        List<Map.Entry<String, String>> headers = ValueCodec.unpackHeaders(unpacker);
        return TargetResponse.whole(status, headers, ValueCodec.unpackBytes(unpacker));
    }
}
