package org.trefoilpost.entry.operator;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * An operator's HTTP request.
 */
final class OperatorRequest {
    private final String method;
    private final List<String> path;
    private final Function<String, String> queryParameters;
    private final byte[] body;

    private OperatorRequest(String method, List<String> path, Function<String, String> queryParameters, byte[] body) {
        this.method = method;
        this.path = path;
        this.queryParameters = queryParameters;
        this.body = body;
    }

    static OperatorRequest of(String method, List<String> path, Function<String, String> queryParameters, byte[] body) {
        return new OperatorRequest(
                Objects.requireNonNull(method, "method"),
                List.copyOf(path),
                Objects.requireNonNull(queryParameters, "query"),
                Objects.requireNonNull(body, "body"));
    }

    String method() {
        return method;
    }

    byte[] body() {
        return body;
    }

    /**
     * Returns a segment of the request's path.
     *
     * @param index  the index, from 0
     * @return the segment, not null
     */
    String segment(int index) {
        return path.get(index);
    }

    /**
     * Returns whether the request has the given method and its path matches a pattern.
     *
     * @param expectedMethod  the method, not null
     * @param pattern  the segments of the path, in which {@code *} stands for any segment, not null
     * @return true if both match
     */
    boolean matches(String expectedMethod, String... pattern) {
        return method.equals(expectedMethod) && matchesPath(pattern);
    }

    /**
     * Returns whether the path matches a pattern.
     *
     * @param pattern  the segments of the path, in which {@code *} stands for any segment, not null
     * @return true if it matches
     */
    boolean matchesPath(String... pattern) {
        if (pattern.length != path.size()) {
            return false;
        }
        for (int i = 0; i < pattern.length; i++) {
            if (!pattern[i].equals("*") && !pattern[i].equals(path.get(i))) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns a query parameter.
     *
     * @param name  the name, not null
     * @return the value, empty if the request has no such parameter, not null
     */
    Optional<String> queryParameter(String name) {
        return Optional.ofNullable(queryParameters.apply(name));
    }
}
