package org.trefoilpost.verify.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An operator at one entry.
 */
public final class Operator {
    private static final Pattern EJECTED_WORKERS = Pattern.compile("(?m)^trefoilpost_workers_ejected ([0-9.]+)$");

    private final EntryProcess entry;
    private final String token;

    private Operator(EntryProcess entry, String token) {
        this.entry = entry;
        this.token = token;
    }

    /**
     * Obtains an operator with the fleet's token.
     *
     * @param entry  the entry that the operator calls, not null
     * @return the operator, not null
     */
    public static Operator at(EntryProcess entry) {
        return new Operator(entry, Fleet.TOKEN);
    }

    /**
     * Returns a copy with another token.
     *
     * @param newToken  the token, not null
     * @return the copy, not null
     */
    public Operator withToken(String newToken) {
        return new Operator(entry, newToken);
    }

    /**
     * Calls the operators' listener.
     *
     * @param method  the method, not null
     * @param path  the path, not null
     * @param body  the body, not null
     * @return the answer, not null
     */
    public HttpResponse<String> call(String method, String path, String body) {
        HttpRequest.Builder builder = Http.request(entry.operators(), method, path, body);
        return Http.send(builder.header("Authorization", "Bearer " + token).build());
    }

    /**
     * Reads a JSON report.
     *
     * @param path  the path, not null
     * @return the report, not null
     */
    public JsonNode get(String path) {
        return Http.json(call("GET", path, "").body());
    }

    /**
     * Returns a plan's report.
     *
     * @param digest  the plan's digest, not null
     * @return the report, not null
     */
    public JsonNode plan(String digest) {
        return get("/v1/plans/" + digest);
    }

    /**
     * Proposes a plan.
     *
     * @param intent  the intent as JSON with single quotes, not null
     * @return the answer, not null
     */
    public HttpResponse<String> propose(String intent) {
        return call("POST", "/v1/plans", intent.replace('\'', '"'));
    }

    /**
     * Confirms a plan.
     *
     * @param digest  the plan's digest, not null
     * @param name  the operator's name, not null
     * @return the answer, not null
     */
    public HttpResponse<String> confirm(String digest, String name) {
        return call("POST", "/v1/plans/" + digest + "/confirm", "{\"operator\":\"" + name + "\"}");
    }

    /**
     * Returns the version of the configuration in force at the entry.
     *
     * @return the version, 0 if there is none
     */
    public long configurationVersion() {
        return get("/v1/status").path("configurationVersion").asLong();
    }

    /**
     * Returns whether the entry says that it is ready.
     *
     * @return true if it is ready
     */
    public boolean isReady() {
        return call("GET", "/ready", "").statusCode() == 200;
    }

    /**
     * Reads a counter, summed over its lines.
     *
     * @param name  the counter's name as Prometheus shows it, not null
     * @param label  a label that the line must have, such as {@code reason="malformed"}, not null
     * @return the sum
     */
    public double counter(String name, String label) {
        Matcher lines = Pattern.compile("(?m)^" + Pattern.quote(name) + "\\{([^}]*)\\} ([0-9.Ee+-]+)$")
                .matcher(call("GET", "/metrics", "").body());
        double sum = 0;
        while (lines.find()) {
            sum += lines.group(1).contains(label) ? Double.parseDouble(lines.group(2)) : 0;
        }
        return sum;
    }

    /**
     * Returns the number of workers that the entry has ejected because of their failures.
     *
     * @return the number, not negative
     */
    public int ejectedWorkers() {
        String metrics = call("GET", "/metrics", "").body();
        Matcher line = EJECTED_WORKERS.matcher(metrics);
        if (!line.find()) {
            throw new AssertionError("the metrics do not show the ejected workers: " + metrics);
        }
        return (int) Double.parseDouble(line.group(1));
    }
}
