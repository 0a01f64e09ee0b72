package org.trefoilpost.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.entry.caller.RequestGateway;
import org.trefoilpost.entry.request.CallerRequest;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.PoolSettings;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * Hands callers' requests to the duty that carries them.
 */
final class EntryGateway implements RequestGateway {
    private final EntryDuties duties;
    private volatile boolean shuttingDown;

    EntryGateway(EntryDuties duties) {
        this.duties = duties;
    }

    /**
     * Takes no requests from now on.
     */
    void shutDown() {
        shuttingDown = true;
    }

    @Override
    public Optional<RefusalReason> refusalReason() {
        if (shuttingDown) {
            return Optional.of(RefusalReason.SHUTTING_DOWN);
        }
        return duties.configuration().status().configuration().isPresent()
                        && duties.fleet().isLoaded()
                ? Optional.empty()
                : Optional.of(RefusalReason.NOT_READY);
    }

    @Override
    public Optional<PoolSettings> poolSettings(PoolName pool) {
        Optional<Configuration> configuration = duties.configuration().status().configuration();
        return configuration.flatMap(present -> present.pool(pool));
    }

    @Override
    public CompletableFuture<RequestOutcome> submit(CallerRequest request) {
        if (request.idempotencyKey().isPresent()) {
            return duties.claims().submit(request);
        }
        return duties.requests().submit(request);
    }
}
