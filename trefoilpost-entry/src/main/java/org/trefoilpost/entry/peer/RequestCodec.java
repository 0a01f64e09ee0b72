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
 * Encodes and decodes forwarded requests and their outcomes. The deadline is not part of the encoded request: {@link
 * ForwardRequest} has it as the remaining time.
 */
final class RequestCodec {
    private static final int KIND_ANSWERED = 0;
    private static final int KIND_NOT_RUN = 1;
    private static final int KIND_MAY_HAVE_RUN = 2;

    private RequestCodec() {}

    static void pack(MessageBufferPacker packer, CallerRequest request) throws IOException {
        packer.packString(request.pool().text());
        packer.packString(request.method());
        packer.packString(request.path());
        ValueCodec.packHeaders(packer, request.headers());
        ValueCodec.packBytes(packer, request.body());
        packer.packString(request.requestClass().code());
        ValueCodec.packOptional(packer, request.team().map(TeamName::text));
        ValueCodec.packOptional(packer, request.idempotencyKey());
        packer.packBoolean(request.repeatable());
    }

    static CallerRequest unpack(MessageUnpacker unpacker) throws IOException {
        return CallerRequest.builder(PoolName.of(unpacker.unpackString()))
                .method(unpacker.unpackString())
                .path(unpacker.unpackString())
                .headers(ValueCodec.unpackHeaders(unpacker))
                .body(ValueCodec.unpackBytes(unpacker))
                .requestClass(requestClassOfCode(unpacker.unpackString()))
                .team(ValueCodec.unpackOptional(unpacker).map(TeamName::of))
                .idempotencyKey(ValueCodec.unpackOptional(unpacker))
                .repeatable(unpacker.unpackBoolean())
                .build();
    }

    static void packOutcome(MessageBufferPacker packer, RequestOutcome outcome) throws IOException {
        Verdict verdict = outcome.verdict();
        if (outcome.response().isPresent()) {
            TargetResponse answer = outcome.response().get();
            packer.packInt(KIND_ANSWERED).packInt(answer.status());
            ValueCodec.packHeaders(packer, answer.headers());
            ValueCodec.packBytes(packer, answer.body());
        } else if (verdict.refusal().isPresent()) {
            packer.packInt(KIND_NOT_RUN).packString(verdict.refusal().get().code());
            packer.packLong(verdict.retryAfter().orElse(Duration.ZERO).toMillis());
        } else {
            packer.packInt(KIND_MAY_HAVE_RUN).packString(verdict.reasonCode());
        }
    }

    static RequestOutcome unpackOutcome(MessageUnpacker unpacker) throws IOException {
        int kind = unpacker.unpackInt();
        return switch (kind) {
            case KIND_ANSWERED -> unpackAnswer(unpacker);
            case KIND_NOT_RUN ->
                RequestOutcome.of(Verdict.notRun(
                        refusalReasonOfCode(unpacker.unpackString()), Duration.ofMillis(unpacker.unpackLong())));
            case KIND_MAY_HAVE_RUN ->
                RequestOutcome.of(Verdict.mayHaveRun(uncertaintyReasonOfCode(unpacker.unpackString())));
            default -> throw new MalformedFrameException("unknown outcome kind " + kind, null);
        };
    }

    private static RequestOutcome unpackAnswer(MessageUnpacker unpacker) throws IOException {
        int status = unpacker.unpackInt();
        List<Map.Entry<String, String>> headers = ValueCodec.unpackHeaders(unpacker);
        return RequestOutcome.answered(TargetResponse.whole(status, headers, ValueCodec.unpackBytes(unpacker)));
    }

    private static RequestClass requestClassOfCode(String code) {
        return RequestClass.ofCode(code).orElseThrow(() -> unknownCode("request class", code));
    }

    private static RefusalReason refusalReasonOfCode(String code) {
        return Arrays.stream(RefusalReason.values())
                .filter(reason -> reason.code().equals(code))
                .findFirst()
                .orElseThrow(() -> unknownCode("refusal reason", code));
    }

    private static UncertaintyReason uncertaintyReasonOfCode(String code) {
        Optional<UncertaintyReason> found = Arrays.stream(UncertaintyReason.values())
                .filter(reason -> reason.code().equals(code))
                .findFirst();
        return found.orElseThrow(() -> unknownCode("uncertainty reason", code));
    }

    private static MalformedFrameException unknownCode(String kind, String code) {
        return new MalformedFrameException("unknown " + kind + " code '" + code + "'", null);
    }
}
