package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.trefoilpost.decision.job.Commit;
import org.trefoilpost.decision.job.Moment;

/**
 * A pool that an entry has claimed, in a store that can hold back answers, for tests of the claim. The test tells the owner of lapses,
 * and has it renew the claim and send commits again.
 */
final class ClaimedPool implements PoolOwnership.Listener, AutoCloseable {
    static final String POOL = "pool";
    static final String OWNER_KEY = LiveEntries.ownerKey(POOL);
    static final String COUNTER_KEY = PoolStore.counterKey(POOL);

    private final HeldAnswersStore store = new HeldAnswersStore();
    private final TestService service = new TestService(store, null, null);
    private final List<String> events = new ArrayList<>();
    private final PoolOwnership ownership;
    private final RecordingHolder holder;
    private long passedMillis;

    ClaimedPool() {
        ownership = new PoolOwnership(service.context(), new LiveEntries(), "incarnation", this);
        tick();
        holder = new RecordingHolder(POOL, store.claim(POOL, 1), service.context(), events);
    }

    HeldAnswersStore store() {
        return store;
    }

    TestService service() {
        return service;
    }

    PoolOwnership ownership() {
        return ownership;
    }

    RecordingHolder holder() {
        return holder;
    }

    /**
     * Returns what has happened to the claim and its commits, in order.
     */
    List<String> events() {
        return events;
    }

    Moment now() {
        return service.context().now().plus(passedMillis);
    }

    /**
     * Lets the owner's clock advance.
     */
    void pass(long millis) {
        passedMillis += millis;
    }

    /**
     * Has the owner obtain a lease, or renew it if that is due.
     */
    void tick() {
        service.run(() -> ownership.tick(Set.of(), now().steadyMillis()));
    }

    /**
     * Ends the lease, of which the owner learns, and has it obtain another one.
     */
    void lapse() {
        store.expireAllLeases();
        service.run(holder::claimLapsed);
        service.run(ownership::checkLease);
        tick();
        tick();
    }

    void renew() {
        service.run(() -> ownership.renewClaim(holder, now()));
    }

    void commit(long number) {
        Commit commit = new Commit(number, Map.of("job", new byte[] {1}), List.of(), Set.of("q"), false, List.of());
        service.run(() -> holder.store().commit(commit, Map.of(), now().steadyMillis(), new RecordedOutcome(events)));
    }

    @Override
    public void poolClaimed(String pool, long token) {
        // No pools are claimed but the one that is claimed already.
    }

    @Override
    public void allClaimsLapsed() {
        // The test tells the holder.
    }

    @Override
    public void storeReturned() {
        events.add("store returned");
    }

    @Override
    public void leaseObtained() {
        // The test renews the claim.
    }

    @Override
    public void close() {
        service.close();
    }
}
