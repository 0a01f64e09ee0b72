package org.trefoilpost.entry.job;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.PoolScheduler;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.job.team.PoolTeamLimits;
import org.trefoilpost.decision.job.team.StoredGrants;
import org.trefoilpost.decision.job.team.TeamGrantWriter;
import org.trefoilpost.decision.job.team.TeamGrants;
import org.trefoilpost.decision.job.team.TeamGrantsCodec;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Reads, watches and writes the stored grants of the teams for the owner of a pool. Used on the service's thread only.
 *
 * <p>Without enforced limits, or while no team has a limit, no call is made. Each write is conditional on the revision of the
 * team's key and on the claim, so that a former owner cannot change the grants of the pool.
 */
final class TeamStore implements StoreMirror.Listener, TeamGrantWriter {
    private static final String KEY_PREFIX = "trefoilpost/team/";

    /** Delay of the next watch after changes, so that changes of many teams come in one answer. */
    private static final long WATCH_DELAY_MILLIS = 500;

    private static final long READ_RETRY_MILLIS = 200;
    private static final long GAUGE_INTERVAL_MILLIS = 500;

    private final String pool;
    private final LongSupplier token;
    private final JobContext context;
    private final PoolScheduler scheduler;
    private final Runnable tickSoon;
    private final PoolTeamLimits limits;
    private final StoreMirror mirror;
    private boolean started;
    private boolean closed;
    private long gaugesUpdatedMillis = Long.MIN_VALUE / 2;

    /**
     * Constructs a store for the owner of a pool, after its claim.
     *
     * @param token  supplies the fencing token of the claim
     * @param tickSoon  schedules a round of the pool's decisions
     */
    TeamStore(String pool, LongSupplier token, JobContext context, PoolScheduler scheduler, Runnable tickSoon) {
        this.pool = pool;
        this.token = token;
        this.context = context;
        this.scheduler = scheduler;
        this.tickSoon = tickSoon;
        this.limits = new PoolTeamLimits(pool, token, this);
        this.mirror = new StoreMirror(KEY_PREFIX, context, WatchTimes.LONGEST, () -> WATCH_DELAY_MILLIS, this);
    }

    static String teamKey(String team) {
        return KEY_PREFIX + team;
    }

    /**
     * Applies the queues and teams of the configuration in force. Called for the first time after the claim, so that the first
     * read shows all that earlier owners have written.
     */
    void configure(Map<String, QueueConfig> queues, Teams teams) {
        if (!context.settings().teamPolicy().limitsEnforced()) {
            return;
        }
        long pools = queues.values().stream().map(QueueConfig::pool).distinct().count();
        limits.configure(teams, (int) pools, nowMillis());
        scheduler.enforce(limits);
        if (limits.isActive() && !started) {
            started = true;
            mirror.start();
        } else if (!limits.isActive() && started) {
            started = false;
            mirror.stop();
            context.metrics().teams().remove(pool);
        }
    }

    void close() {
        closed = true;
        mirror.stop();
        context.metrics().teams().remove(pool);
    }

    /**
     * Watches again at once, as the store has returned after a silence.
     */
    void watchAgain() {
        mirror.watchAgain();
    }

    void updateGauges(long nowMillis) {
        if (started && nowMillis - gaugesUpdatedMillis >= GAUGE_INTERVAL_MILLIS) {
            gaugesUpdatedMillis = nowMillis;
            context.metrics().teams().update(pool, limits.usesAndGrants());
        }
    }

    @Override
    public void reloaded() {
        Map<String, StoredGrants> stored = new HashMap<>();
        mirror.items().forEach((key, item) -> stored.put(key.substring(KEY_PREFIX.length()), toStored(item)));
        limits.loaded(stored, nowMillis());
    }

    @Override
    public void itemChanged(String key, Optional<StorePort.Item> item) {
        limits.changed(key.substring(KEY_PREFIX.length()), item.map(TeamStore::toStored), nowMillis());
    }

    @Override
    public void changesApplied() {
        grantsChanged();
    }

    @Override
    public void write(String team, TeamGrants grants) {
        String key = teamKey(team);
        long claimToken = token.getAsLong();
        StorePort.Change change = new StorePort.Change(
                Map.of(key, grants.revision(), LiveEntries.ownerKey(pool), claimToken),
                List.of(new StorePort.Put(key, TeamGrantsCodec.encode(grants), 0)),
                List.of());
        long sentMillis = nowMillis();
        context.call(() -> context.store().commit(change), (revision, failure) -> {
            if (closed) {
                return;
            }
            context.metrics().record("trefoilpost.jobs.store.time", "team-grant", nowMillis() - sentMillis);
            if (failure == null) {
                limits.writeStored(team, revision, nowMillis());
            } else {
                writeFailed(team, claimToken, failure);
            }
            grantsChanged();
        });
    }

    private void writeFailed(String team, long claimToken, Throwable failure) {
        if (failure instanceof StoreFailure storeFailure && storeFailure.kind() == StoreFailure.Kind.CONFLICT) {
            boolean claimed = storeFailure
                    .currentItem(LiveEntries.ownerKey(pool))
                    .filter(owner -> owner.revision() == claimToken)
                    .isPresent();
            Optional<StoredGrants> current =
                    storeFailure.currentItem(teamKey(team)).map(TeamStore::toStored);
            limits.writeRefused(team, claimed ? "conflict" : "not-claimed", current, true, nowMillis());
        } else if (failure instanceof StoreFailure storeFailure && storeFailure.kind() == StoreFailure.Kind.REFUSED) {
            limits.writeRefused(team, "store-refused", Optional.empty(), false, nowMillis());
        } else {
            logDecision(Decision.failure("grant-unanswered")
                    .with("team", team)
                    .with("pool", pool)
                    .with("failure", String.valueOf(failure.getMessage())));
            limits.writeUnanswered(team);
        }
    }

    @Override
    public void read(String team) {
        context.call(() -> context.store().read(teamKey(team)), (item, failure) -> {
            if (closed) {
                return;
            }
            if (failure != null) {
                context.schedule(READ_RETRY_MILLIS, () -> readAgain(team));
            } else {
                limits.read(team, item.map(TeamStore::toStored), nowMillis());
                grantsChanged();
            }
        });
    }

    private void readAgain(String team) {
        if (!closed) {
            read(team);
        }
    }

    @Override
    public void logDecision(Decision decision) {
        context.logDecision(decision);
    }

    private void grantsChanged() {
        scheduler.grantsChanged();
        tickSoon.run();
    }

    private long nowMillis() {
        return context.now().steadyMillis();
    }

    private static StoredGrants toStored(StorePort.Item item) {
        return new StoredGrants(item.value(), item.revision());
    }
}
