package org.trefoilpost.standins.http;

import io.servicetalk.http.api.HttpRequest;
import java.util.Objects;
import java.util.Optional;

/**
 * One HTTP request with its whole body.
 */
public final class HttpCall {
    private final HttpRequest request;
    private final byte[] body;

    private HttpCall(HttpRequest request, byte[] body) {
        this.request = request;
        this.body = body;
    }

    /**
     * Obtains a call from a received request.
     *
     * @param request  the request, not null
     * @return the call, not null
     */
    static HttpCall of(HttpRequest request) {
        Objects.requireNonNull(request, "request");
        byte[] body = new byte[request.payloadBody().readableBytes()];
        request.payloadBody().readBytes(body);
        return new HttpCall(request, body);
    }

    /**
     * Returns the method.
     *
     * @return the method's name in capital letters, not null
     */
    public String method() {
        return request.method().name();
    }

    /**
     * Returns the decoded path.
     *
     * @return the path with its leading slash, not null
     */
    public String path() {
        return request.path();
    }

    /**
     * Returns the path and the query as they came.
     *
     * @return the request's target, not null
     */
    public String target() {
        return request.requestTarget();
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name  the parameter's name, not null
     * @return the value, not null, empty if the query lacks it
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(request.queryParameter(name));
    }

    /**
     * Returns a parameter of the query that is a whole number.
     *
     * @param name  the parameter's name, not null
     * @param absent  the value of a parameter that the query lacks
     * @return the value
     * @throws BadCallException if the parameter is not a whole number
     */
    public long number(String name, long absent) {
        return parameter(name).map(text -> parse(name, text)).orElse(absent);
    }

    /**
     * Returns a parameter of the query that must be there and be a whole number.
     *
     * @param name  the parameter's name, not null
     * @return the value
     * @throws BadCallException if the parameter is missing or not a whole number
     */
    public long number(String name) {
        String text = parameter(name).orElseThrow(() -> new BadCallException("the parameter " + name + " is missing"));
        return parse(name, text);
    }

    private static long parse(String name, String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new BadCallException("the parameter " + name + " is not a whole number", e);
        }
    }

    /**
     * Returns a header.
     *
     * @param name  the header's name, not null
     * @return the value, not null, empty if the request lacks it
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(request.headers().get(name)).map(CharSequence::toString);
    }

    /**
     * Returns the body, which the receiver must not change.
     *
     * @return the body's bytes, not null
     */
    public byte[] body() {
        return body;
    }
}
