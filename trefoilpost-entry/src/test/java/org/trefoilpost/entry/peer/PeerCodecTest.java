package org.trefoilpost.entry.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.trefoilpost.decision.claim.ClaimKey;
import org.trefoilpost.decision.claim.ClaimRecord;
import org.trefoilpost.decision.claim.HandOver;
import org.trefoilpost.decision.claim.HandedOverClaim;
import org.trefoilpost.decision.claim.RequestFingerprint;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

class PeerCodecTest {
    private static final PlanDigest PLAN = PlanDigest.of("a plan");
    private static final WorkerId WORKER = WorkerId.of("w-1");
    private static final byte[] BYTES = {1, 2, 3};

    static Stream<PeerMessage> messages() {
        TargetResponse answer = TargetResponse.whole(201, List.of(Map.entry("X-Lot", "7")), BYTES);
        CallerRequest request = CallerRequest.builder(PoolName.of("pricing"))
                .method("POST")
                .path("/buy?lot=1")
                .headers(List.of(Map.entry("Accept", "text/plain")))
                .body(BYTES)
                .requestClass(RequestClass.URGENT)
                .team(Optional.of(TeamName.of("dock")))
                .idempotencyKey(Optional.of("key-1"))
                .build();
        ClaimRecord claim = ClaimRecord.of(ClaimKey.parse("key-1"), RequestFingerprint.ofHash(9), 1_000);
        HandOver handOver =
                HandOver.of(3, List.of(HandedOverClaim.of(claim), HandedOverClaim.of(claim, StoredAnswer.of(answer))));
        return Stream.of(
                Challenge.of(BYTES),
                Hello.of(EntryId.of("e-1"), BYTES),
                HeartbeatFrame.of(BYTES, "change-1"),
                ConfigurationWanted.of(7),
                CordonNotice.of(CordonChange.of(PLAN, 2, 1, WORKER, true)),
                LeavingNotice.of(WORKER, 5),
                DrainQuery.of(1, CordonChange.of(PLAN, 2, 1, WORKER, true)),
                DrainAnswer.of(1, 2, 3),
                UncordonCall.of(1, CordonChange.of(PLAN, 2, 1, WORKER, false), 7),
                UncordonAnswer.of(1, true),
                ForwardRequest.of(1, 2_000, request),
                ForwardOutcome.of(1, RequestOutcome.answered(answer)),
                ForwardOutcome.of(
                        2, RequestOutcome.of(Verdict.notRun(RefusalReason.KEY_REUSED, Duration.ofMillis(1_500)))),
                ForwardOutcome.of(3, RequestOutcome.of(Verdict.mayHaveRun(UncertaintyReason.OWNER_LOST))),
                HandOverNotice.of(handOver));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void roundTrips(PeerMessage message) {
        byte[] frame = PeerCodec.encode(message);
        PeerMessage decoded = PeerCodec.decode(frame);
        assertEquals(message.toString(), decoded.toString());
        assertArrayEquals(frame, PeerCodec.encode(decoded));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void rejectsEveryTruncation(PeerMessage message) {
        byte[] frame = PeerCodec.encode(message);
        for (int length = 0; length < frame.length; length++) {
            byte[] part = Arrays.copyOf(frame, length);
            assertThrows(MalformedFrameException.class, () -> PeerCodec.decode(part));
        }
    }

    @Property(tries = 2_000, seed = "11")
    void reportsArbitraryBytesOnlyAsMalformed(@ForAll @Size(max = 64) byte[] frame) {
        try {
            PeerCodec.decode(frame);
        } catch (MalformedFrameException expected) {
            // The only exception that FrameHandler handles as a malformed frame.
        }
    }
}
