package org.trefoilpost.verify.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.Optional;

/**
 * What one caller got for one request: a verdict, or a connection that broke before one came.
 */
public final class CallerAnswer {
    private final CallerRequest request;
    private final String entry;
    private final Optional<HttpResponse<String>> response;
    private final String failure;

    private CallerAnswer(CallerRequest request, String entry, Optional<HttpResponse<String>> response, String failure) {
        this.request = request;
        this.entry = entry;
        this.response = response;
        this.failure = failure;
    }

    static CallerAnswer of(CallerRequest request, String entry, HttpResponse<String> response) {
        return new CallerAnswer(request, entry, Optional.of(response), "");
    }

    static CallerAnswer broken(CallerRequest request, String entry, Throwable failure) {
        return new CallerAnswer(request, entry, Optional.empty(), String.valueOf(failure));
    }

    public CallerRequest request() {
        return request;
    }

    public String entry() {
        return entry;
    }

    public boolean isBroken() {
        return response.isEmpty();
    }

    public int status() {
        return response.map(HttpResponse::statusCode).orElse(0);
    }

    public String verdict() {
        return header("Trefoilpost-Verdict");
    }

    public String reason() {
        return header("Trefoilpost-Reason");
    }

    public String retryAfter() {
        return header("Retry-After");
    }

    public JsonNode body() {
        return Http.json(response.map(HttpResponse::body).orElse(""));
    }

    private String header(String name) {
        return response.flatMap(present -> present.headers().firstValue(name)).orElse("");
    }

    public boolean isAnswered() {
        return verdict().equals("answered");
    }

    public boolean isNotRun() {
        return verdict().equals("not-run");
    }

    /**
     * Returns whether an answer of a worker is whole and belongs to this request.
     *
     * @return true if the path, the key and the digest of the body are the request's own
     */
    public boolean isOwn() {
        JsonNode body = body();
        return body.path("path").asText().equals(request.targetPath())
                && body.path("sha256").asText().equals(request.bodySha256())
                && body.path("key")
                        .asText("")
                        .equals(request.key().orElse(body.path("key").asText("")));
    }

    @Override
    public String toString() {
        String outcome = isBroken() ? failure : status() + " " + verdict() + " " + reason();
        return request.targetPath() + " at " + entry + ": " + outcome;
    }
}
