package org.trefoilpost.entry.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpHeaderNames;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Writes a request's outcome as an HTTP answer.
 */
final class ResponseWriter {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String VERDICT_HEADER = "Trefoilpost-Verdict";
    private static final String REASON_HEADER = "Trefoilpost-Reason";
    private static final int BAD_GATEWAY = 502;

    private ResponseWriter() {}

    /**
     * Writes an outcome.
     *
     * @param outcome  the outcome, not null
     * @param detail  what is wrong, empty if the reason says all, not null
     * @param factory  the factory of answers, not null
     * @return the answer, not null
     */
    static StreamingHttpResponse write(
            RequestOutcome outcome, Optional<String> detail, StreamingHttpResponseFactory factory) {
        return outcome.response()
                .map(answer -> answered(answer, factory))
                .orElseGet(() -> problem(outcome.verdict(), detail, factory));
    }

    private static StreamingHttpResponse answered(TargetResponse answer, StreamingHttpResponseFactory factory) {
        StreamingHttpResponse response = factory.newResponse(HttpResponseStatus.of(answer.status(), ""));
        for (Map.Entry<String, String> header : answer.headers()) {
            response.addHeader(header.getKey(), header.getValue());
        }
        response.setHeader(VERDICT_HEADER, Verdict.answered().kind().code());
        if (answer.stream().isPresent()) {
            return response.payloadBody(answer.stream().get());
        }
        return withBody(response, answer.body());
    }

    private static StreamingHttpResponse problem(
            Verdict verdict, Optional<String> detail, StreamingHttpResponseFactory factory) {
        int status = status(verdict);
        StreamingHttpResponse response = factory.newResponse(HttpResponseStatus.of(status, ""))
                .setHeader(VERDICT_HEADER, verdict.kind().code())
                .setHeader(REASON_HEADER, verdict.reasonCode())
                .setHeader(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        verdict.retryAfter()
                .ifPresent(
                        time -> response.setHeader(HttpHeaderNames.RETRY_AFTER, Long.toString(roundedUpSeconds(time))));
        return withBody(response, body(verdict, status, detail));
    }

    private static StreamingHttpResponse withBody(StreamingHttpResponse response, byte[] body) {
        if (response.status().code() != 204 && response.status().code() != 304) {
            response.setHeader(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        }
        return body.length == 0
                ? response
                : response.payloadBody(Publisher.from(BufferAllocators.PREFER_HEAP_ALLOCATOR.wrap(body)));
    }

    private static int status(Verdict verdict) {
        if (verdict.refusal().isPresent()) {
            return verdict.refusal().get().status();
        }
        return verdict.uncertainty().map(reason -> reason.status()).orElse(BAD_GATEWAY);
    }

    private static byte[] body(Verdict verdict, int status, Optional<String> detail) {
        ObjectNode problem = MAPPER.createObjectNode()
                .put("type", "urn:trefoilpost:" + verdict.reasonCode())
                .put("title", title(verdict))
                .put("status", status)
                .put("verdict", verdict.kind().code())
                .put("reason", verdict.reasonCode());
        detail.ifPresent(text -> problem.put("detail", text));
        try {
            return MAPPER.writeValueAsBytes(problem);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a problem has only texts and numbers", e);
        }
    }

    private static String title(Verdict verdict) {
        return verdict.refusal().isPresent()
                ? "The request was refused and did not run"
                : "It is unknown whether the request ran";
    }

    private static long roundedUpSeconds(Duration time) {
        return Math.max(1, (time.toMillis() + 999) / 1000);
    }
}
