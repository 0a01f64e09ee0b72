package org.trefoilpost.decision.job.team;

import java.util.Objects;
import java.util.Optional;

/**
 * The decision whether a request to a queue is served, by the key that the caller sent.
 *
 * @param result  whether the request is served, and if not, why, not null
 * @param caller  the caller, unidentified if the request is not served, not null
 */
public record AccessDecision(Result result, Caller caller) {
    /**
     * Constructs a decision.
     */
    public AccessDecision {
        Objects.requireNonNull(result, "result");
        Objects.requireNonNull(caller, "caller");
    }

    /**
     * Decides on a request.
     *
     * @param policy  what the deployment requires, not null
     * @param teams  the teams of the configuration in force, not null
     * @param publicQueue  true if the queue serves callers without a key
     * @param confirmed  true if the store has confirmed recently that there is no newer configuration
     * @param key  the key that the caller sent, empty if it sent none that can be read, not null
     * @return the decision, not null
     */
    public static AccessDecision of(
            TeamPolicy policy, Teams teams, boolean publicQueue, boolean confirmed, Optional<String> key) {
        if (!policy.keysRequired()) {
            return new AccessDecision(Result.GRANTED, Caller.UNIDENTIFIED);
        }
        if (!confirmed) {
            // A newer configuration may have added or removed the key, or made the queue public.
            return new AccessDecision(Result.UNCONFIRMED, Caller.UNIDENTIFIED);
        }
        Optional<String> team = key.flatMap(teams::teamOfKey);
        if (team.isPresent() || publicQueue) {
            return new AccessDecision(Result.GRANTED, Caller.of(team));
        }
        return new AccessDecision(key.isEmpty() ? Result.MISSING_KEY : Result.UNKNOWN_KEY, Caller.UNIDENTIFIED);
    }

    /**
     * Whether a request is served.
     */
    public enum Result {
        /** The request is served. */
        GRANTED,
        /** The request has no key, or its header cannot be read. */
        MISSING_KEY,
        /** No team of the configuration in force has the key. */
        UNKNOWN_KEY,
        /** The configuration in force may have been replaced, so that the key cannot be checked. */
        UNCONFIRMED
    }
}
