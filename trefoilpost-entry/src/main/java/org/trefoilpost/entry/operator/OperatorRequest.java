package org.trefoilpost.entry.operator;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * A call of an operator.
 */
final class OperatorRequest {
    private final String method;
    private final List<String> path;
    private final Function<String, String> queryParameters;
    private final byte[] body;

    private OperatorRequest(String method, List<String> path, Function<String, String> query, byte[] body) {
        this.method = method;
        this.path = path;
        this.queryParameters = query;
        this.body = body;
    }

    static OperatorRequest of(String method, List<String> path, Function<String, String> query, byte[] body) {
        return new OperatorRequest(
                Objects.requireNonNull(method, "method"),
                List.copyOf(path),
                Objects.requireNonNull(query, "query"),
                Objects.requireNonNull(body, "body"));
    }

    String method() {
        return method;
    }

    byte[] body() {
        return body;
    }

    /**
     * Returns a segment of the path.
     *
     * @param index  the index, from 0
     * @return the segment, not null
     */
    String segment(int index) {
        return path.get(index);
    }

    /**
     * Returns whether the method and the path fit a pattern.
     *
     * @param wantedMethod  the method, not null
     * @param pattern  the path, in which {@code *} stands for any segment, not null
     * @return true if they fit
     */
    boolean matches(String wantedMethod, String... pattern) {
        return method.equals(wantedMethod) && matchesPath(pattern);
    }

    /**
     * Returns whether the path fits a pattern.
     *
     * @param pattern  the path, in which {@code *} stands for any segment, not null
     * @return true if it fits
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
     * Returns a parameter of the query.
     *
     * @param name  the name, not null
     * @return the value, empty if there is none, not null
     */
    Optional<String> queryParameter(String name) {
        return Optional.ofNullable(queryParameters.apply(name));
    }
}
