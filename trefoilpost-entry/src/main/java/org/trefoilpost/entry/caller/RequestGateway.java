package org.trefoilpost.entry.caller;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.configuration.PoolSettings;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * Receives the requests that the callers' server has read.
 */
public interface RequestGateway {
    /**
     * Returns the reason for which the entry currently refuses all requests.
     *
     * @return the reason, empty if requests are accepted, not null
     */
    Optional<RefusalReason> refusalReason();

    /**
     * Finds the settings of a pool in the current configuration.
     *
     * @param pool  the pool's name, not null
     * @return the settings, empty if the configuration does not have the pool, not null
     */
    Optional<PoolSettings> poolSettings(PoolName pool);

    /**
     * Submits a request. Cancelling the future cancels the request, as when its caller disconnects.
     *
     * @param request  the request to run, not null
     * @return the future outcome, which never completes exceptionally unless it is cancelled, not null
     */
    CompletableFuture<RequestOutcome> submit(CallerRequest request);
}
