package org.trefoilpost.entry.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.configuration.PoolSettings;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * What the callers' listener hands requests to.
 */
public interface RequestGateway {
    /**
     * Returns why no request is taken at present.
     *
     * @return the reason, empty if requests are taken, not null
     */
    Optional<RefusalReason> refusalReason();

    /**
     * Finds the settings of a pool in force.
     *
     * @param pool  the pool, not null
     * @return the settings, empty if the configuration does not have the pool, not null
     */
    Optional<PoolSettings> poolSettings(PoolName pool);

    /**
     * Carries a request to its verdict. A cancelled future tells that the caller no longer waits.
     *
     * @param request  the request, not null
     * @return the outcome, not null; never fails
     */
    CompletableFuture<RequestOutcome> submit(CallerRequest request);
}
