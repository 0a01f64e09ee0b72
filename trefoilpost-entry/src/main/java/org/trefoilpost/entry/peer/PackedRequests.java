package org.trefoilpost.entry.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Packs forwarded requests and their outcomes. The deadline travels apart, as the time that remains.
 */
final class PackedRequests {
    private static final int ANSWERED = 0;
    private static final int NOT_RUN = 1;
    private static final int MAY_HAVE_RUN = 2;

    private PackedRequests() {}

    static void pack(MessageBufferPacker packer, CallerRequest request) throws IOException {
        packer.packString(request.pool().text());
        packer.packString(request.method());
        packer.packString(request.path());
        PackedValues.packHeaders(packer, request.headers());
        PackedValues.packBytes(packer, request.body());
        packer.packString(request.requestClass().code());
        PackedValues.packOptional(packer, request.team().map(TeamName::text));
        PackedValues.packOptional(packer, request.idempotencyKey());
        packer.packBoolean(request.repeatable());
    }

    static CallerRequest unpack(MessageUnpacker unpacker) throws IOException {
        return CallerRequest.builder(PoolName.of(unpacker.unpackString()))
                .method(unpacker.unpackString())
                .path(unpacker.unpackString())
                .headers(PackedValues.unpackHeaders(unpacker))
                .body(PackedValues.unpackBytes(unpacker))
                .requestClass(requestClass(unpacker.unpackString()))
                .team(PackedValues.unpackOptional(unpacker).map(TeamName::of))
                .idempotencyKey(PackedValues.unpackOptional(unpacker))
                .repeatable(unpacker.unpackBoolean())
                .build();
    }

    static void packOutcome(MessageBufferPacker packer, RequestOutcome outcome) throws IOException {
        Verdict verdict = outcome.verdict();
        if (outcome.response().isPresent()) {
            TargetResponse answer = outcome.response().get();
            packer.packInt(ANSWERED).packInt(answer.status());
            PackedValues.packHeaders(packer, answer.headers());
            PackedValues.packBytes(packer, answer.body());
        } else if (verdict.refusal().isPresent()) {
            packer.packInt(NOT_RUN).packString(verdict.refusal().get().code());
            packer.packLong(verdict.retryAfter().orElse(Duration.ZERO).toMillis());
        } else {
            packer.packInt(MAY_HAVE_RUN).packString(verdict.reasonCode());
        }
    }

    static RequestOutcome unpackOutcome(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case ANSWERED -> unpackAnswer(unpacker);
            case NOT_RUN ->
                RequestOutcome.of(
                        Verdict.notRun(refusal(unpacker.unpackString()), Duration.ofMillis(unpacker.unpackLong())));
            case MAY_HAVE_RUN -> RequestOutcome.of(Verdict.mayHaveRun(uncertainty(unpacker.unpackString())));
            default -> throw new MalformedFrameException("no outcome has the kind " + kind, null);
        };
    }

    private static RequestOutcome unpackAnswer(MessageUnpacker unpacker) throws IOException {
        int status = unpacker.unpackInt();
        List<Map.Entry<String, String>> headers = PackedValues.unpackHeaders(unpacker);
        return RequestOutcome.answered(TargetResponse.whole(status, headers, PackedValues.unpackBytes(unpacker)));
    }

    private static RequestClass requestClass(String code) {
        return RequestClass.ofCode(code).orElseThrow(() -> unknown("request class", code));
    }

    private static RefusalReason refusal(String code) {
        return Arrays.stream(RefusalReason.values())
                .filter(reason -> reason.code().equals(code))
                .findFirst()
                .orElseThrow(() -> unknown("refusal reason", code));
    }

    private static UncertaintyReason uncertainty(String code) {
        Optional<UncertaintyReason> found = Arrays.stream(UncertaintyReason.values())
                .filter(reason -> reason.code().equals(code))
                .findFirst();
        return found.orElseThrow(() -> unknown("uncertainty reason", code));
    }

    private static MalformedFrameException unknown(String kind, String code) {
        return new MalformedFrameException("no " + kind + " has the code '" + code + "'", null);
    }
}
