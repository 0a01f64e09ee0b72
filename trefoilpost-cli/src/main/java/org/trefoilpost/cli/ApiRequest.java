package org.trefoilpost.cli;

/**
 * A request to the operator API: the HTTP method, the request target and the body.
 */
final class ApiRequest {
    private final String method;
    private final String target;
    private final String body;

    private ApiRequest(String method, String target, String body) {
        this.method = method;
        this.target = target;
        this.body = body;
    }

    static ApiRequest read(String target) {
        return new ApiRequest("GET", target, "");
    }

    static ApiRequest post(String target, String body) {
        return new ApiRequest("POST", target, body);
    }

    static ApiRequest put(String target, String body) {
        return new ApiRequest("PUT", target, body);
    }

    String method() {
        return method;
    }

    String target() {
        return target;
    }

    String body() {
        return body;
    }

    boolean isRead() {
        return method.equals("GET");
    }
}
