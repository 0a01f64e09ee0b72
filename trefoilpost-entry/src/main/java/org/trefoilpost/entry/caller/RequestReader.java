package org.trefoilpost.entry.caller;

import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMetaData;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.trefoilpost.entry.http.EndToEndHeaders;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.configuration.PoolSettings;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * Reads and checks what a request says in its first line and its headers.
 */
final class RequestReader {
    private static final String DEADLINE_HEADER = "Trefoilpost-Deadline-Millis";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String REPEATABLE_HEADER = "Trefoilpost-Repeatable";
    private static final String CLASS_HEADER = "Trefoilpost-Class";
    private static final String TEAM_HEADER = "Trefoilpost-Team";
    private static final int MAX_KEY_LENGTH = 128;
    private static final long MAX_DEADLINE_MILLIS = 24 * 60 * 60 * 1000L;
    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");
    private static final Set<String> EXCLUDED_HEADERS = Set.of(
            "trefoilpost-deadline-millis",
            "trefoilpost-repeatable",
            "trefoilpost-class",
            "trefoilpost-team",
            "trefoilpost-request-id");

    private RequestReader() {}

    /**
     * Returns the pool that a request names.
     *
     * @param request  the request, not null
     * @return the pool, not null
     * @throws RejectedRequestException if the path does not start with the name of a pool
     */
    static PoolName poolName(HttpRequestMetaData request) {
        String path = request.rawPath();
        int end = path.indexOf('/', 1);
        String name = path.isEmpty() ? "" : path.substring(1, end < 0 ? path.length() : end);
        try {
            return PoolName.of(name);
        } catch (IllegalArgumentException e) {
            throw malformed("the path must start with the name of a pool: " + e.getMessage());
        }
    }

    /**
     * Reads a request without its body.
     *
     * @param request  the request, not null
     * @param settings  the settings of its pool, not null
     * @param nowMillis  the present time in milliseconds since 1970
     * @return the request, not null
     * @throws RejectedRequestException if a header is malformed or the deadline has passed
     */
    static CallerRequest.Builder read(HttpRequestMetaData request, PoolSettings settings, long nowMillis) {
        HttpHeaders headers = request.headers();
        Optional<String> key = headerValue(headers, IDEMPOTENCY_KEY_HEADER).map(RequestReader::checkedKey);
        String method = request.method().name();
        return CallerRequest.builder(settings.name())
                .method(method)
                .path(targetPath(request.requestTarget(), settings.name()))
                .headers(EndToEndHeaders.of(headers, EXCLUDED_HEADERS))
                .requestClass(headerValue(headers, CLASS_HEADER)
                        .map(RequestReader::parseRequestClass)
                        .orElse(RequestClass.NORMAL))
                .team(headerValue(headers, TEAM_HEADER).map(value -> parse(TEAM_HEADER, value, TeamName::of)))
                .idempotencyKey(key)
                .repeatable(key.isEmpty()
                        && headerValue(headers, REPEATABLE_HEADER)
                                .map(RequestReader::parseBoolean)
                                .orElse(SAFE_METHODS.contains(method)))
                .deadlineMillis(nowMillis
                        + headerValue(headers, DEADLINE_HEADER)
                                .map(RequestReader::parseTimeoutMillis)
                                .orElse(settings.timeout().toMillis()));
    }

    /**
     * Returns the length that a request's body has by its header.
     *
     * @param request  the request, not null
     * @return the length in bytes, 0 if there is no header
     * @throws RejectedRequestException if the header is not a number
     */
    static long contentLength(HttpRequestMetaData request) {
        return headerValue(request.headers(), "Content-Length")
                .map(value -> parse("Content-Length", value, Long::parseLong))
                .orElse(0L);
    }

    private static String targetPath(String requestTarget, PoolName pool) {
        String rest = requestTarget.substring(1 + pool.text().length());
        return rest.startsWith("/") ? rest : "/" + rest;
    }

    private static Optional<String> headerValue(HttpHeaders headers, String name) {
        return Optional.ofNullable(headers.get(name)).map(CharSequence::toString);
    }

    private static String checkedKey(String key) {
        boolean visible = key.chars().allMatch(character -> character > ' ' && character < 127);
        if (key.isEmpty() || key.length() > MAX_KEY_LENGTH || !visible) {
            throw malformed(IDEMPOTENCY_KEY_HEADER + " must have 1 to " + MAX_KEY_LENGTH + " visible ASCII characters");
        }
        return key;
    }

    private static RequestClass parseRequestClass(String value) {
        return RequestClass.ofCode(value)
                .orElseThrow(() -> malformed(CLASS_HEADER + " is '" + value + "': urgent, normal or bulk is allowed"));
    }

    private static boolean parseBoolean(String value) {
        if (!value.equals("true") && !value.equals("false")) {
            throw malformed(REPEATABLE_HEADER + " is '" + value + "': true or false is allowed");
        }
        return value.equals("true");
    }

    private static long parseTimeoutMillis(String value) {
        long millis = parse(DEADLINE_HEADER, value, Long::parseLong);
        if (millis <= 0) {
            throw new RejectedRequestException(
                    RefusalReason.DEADLINE_PAST, DEADLINE_HEADER + " is " + millis + ": the deadline has passed");
        }
        return Math.min(millis, MAX_DEADLINE_MILLIS);
    }

    private static <T> T parse(String name, String value, Function<String, T> parser) {
        try {
            return parser.apply(value);
        } catch (IllegalArgumentException e) {
            throw malformed(name + " is '" + value + "': " + e.getMessage());
        }
    }

    private static RejectedRequestException malformed(String detail) {
        return new RejectedRequestException(RefusalReason.MALFORMED, detail);
    }
}
