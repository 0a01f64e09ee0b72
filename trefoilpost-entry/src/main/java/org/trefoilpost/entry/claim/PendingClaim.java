package org.trefoilpost.entry.claim;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.claim.ClaimKey;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;

/**
 * A request with a key that waits for its claim or for its answer.
 */
final class PendingClaim {
    private final CallerRequest request;
    private final ClaimKey key;
    private final int shard;
    private final CompletableFuture<RequestOutcome> outcome;

    PendingClaim(CallerRequest request, ClaimKey key, int shard, CompletableFuture<RequestOutcome> outcome) {
        this.request = Objects.requireNonNull(request, "request");
        this.key = Objects.requireNonNull(key, "key");
        this.shard = shard;
        this.outcome = Objects.requireNonNull(outcome, "outcome");
    }

    CallerRequest request() {
        return request;
    }

    ClaimKey key() {
        return key;
    }

    int shard() {
        return shard;
    }

    CompletableFuture<RequestOutcome> outcome() {
        return outcome;
    }
}
