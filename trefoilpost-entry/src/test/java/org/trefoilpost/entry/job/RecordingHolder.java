package org.trefoilpost.entry.job;

import java.util.List;
import org.trefoilpost.decision.job.Moment;

/**
 * A holder with a pool's store, which records what happens to its claim. Used on the service's thread.
 */
final class RecordingHolder implements ClaimHolder {
    private final String pool;
    private final List<String> events;
    private final PoolStore store;
    private long token;
    private boolean lapsed;

    RecordingHolder(String pool, long token, JobContext context, List<String> events) {
        this.pool = pool;
        this.token = token;
        this.events = events;
        this.store = new PoolStore(pool, token, context);
    }

    PoolStore store() {
        return store;
    }

    @Override
    public String pool() {
        return pool;
    }

    @Override
    public long token() {
        return token;
    }

    @Override
    public long firstToken() {
        return store.firstToken();
    }

    @Override
    public long counterRevision() {
        return store.counterRevision();
    }

    @Override
    public boolean isLapsed() {
        return lapsed;
    }

    @Override
    public void claimLapsed() {
        lapsed = true;
        events.add("lapsed");
    }

    @Override
    public void claimRenewed(long newToken, Moment requested) {
        token = newToken;
        lapsed = false;
        events.add("renewed");
        store.claimRenewed(newToken);
    }

    @Override
    public boolean isOwnCounter(StorePort.Item counter) {
        return store.isOwnCounter(counter);
    }

    @Override
    public void claimLost(String reason) {
        lapsed = false;
        events.add("lost " + reason);
    }
}
