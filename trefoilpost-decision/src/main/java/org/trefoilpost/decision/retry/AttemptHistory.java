package org.trefoilpost.decision.retry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.decision.routing.RouteRequest;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.verdict.UncertaintyReason;

/**
 * The failed attempts of one request.
 */
public final class AttemptHistory {
    /** The failed attempts in one rack at which the rack is avoided. */
    public static final int MAX_FAILURES_IN_RACK = 2;

    private static final AttemptHistory EMPTY = new AttemptHistory(List.of());

    private final List<AttemptFailure> failures;

    private AttemptHistory(List<AttemptFailure> failures) {
        this.failures = failures;
    }

    /**
     * Returns the history of a request without failures.
     *
     * @return the history, not null
     */
    public static AttemptHistory empty() {
        return EMPTY;
    }

    /**
     * Returns the failed attempts, oldest first.
     *
     * @return the failures, not null, empty before the first failure
     */
    public List<AttemptFailure> failures() {
        return failures;
    }

    /**
     * Returns a copy of this history with one more failure.
     *
     * @param failure  the failure, not null
     * @return the copy, not null
     */
    public AttemptHistory plus(AttemptFailure failure) {
        List<AttemptFailure> more = new ArrayList<>(failures);
        more.add(failure);
        return new AttemptHistory(List.copyOf(more));
    }

    /**
     * Returns the first reason why the request may have run.
     *
     * @return the reason, not null, empty if no attempt started
     */
    public Optional<UncertaintyReason> uncertainty() {
        return failures.stream()
                .flatMap(failure -> failure.uncertainty().stream())
                .findFirst();
    }

    /**
     * Returns the route request of the next attempt, which avoids the workers that failed and the racks with
     * {@link #MAX_FAILURES_IN_RACK} failures or more.
     *
     * @param ownDataCentre  the data centre of the entry, not null
     * @return the request, not null
     */
    public RouteRequest routeRequest(DataCentreName ownDataCentre) {
        RouteRequest request = RouteRequest.of(ownDataCentre);
        Map<RackName, Integer> failuresInRack = new HashMap<>();
        for (AttemptFailure failure : failures) {
            request = request.withoutWorker(failure.worker().id());
            RackName rack = failure.worker().rack();
            if (failuresInRack.merge(rack, 1, Integer::sum) == MAX_FAILURES_IN_RACK) {
                request = request.withoutRack(rack);
            }
        }
        return request;
    }
}
