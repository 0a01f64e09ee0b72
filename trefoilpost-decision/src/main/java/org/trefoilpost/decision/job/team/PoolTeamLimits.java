package org.trefoilpost.decision.job.team;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * Keeps what a pool runs for each team within the pool's grant, and decides about raising and returning grants.
 *
 * <p>One instance serves one owner of the pool. It starts nothing for a limited team before the stored grants are loaded,
 * which must have been read after the owner's claim.
 */
public final class PoolTeamLimits {
    /** Time in which all connected owners apply a configuration and store what they use of a newly limited resource. */
    private static final long SETTLE_MILLIS = 4_000;

    private final String pool;
    private final LongSupplier token;
    private final GrantWrites writes;
    private final Map<String, TeamLedger> ledgers = new TreeMap<>();
    private Teams teams = Teams.NONE;
    private int pools = 1;
    private boolean configured;
    private boolean loaded;
    /** True if a round of placements was made since the last decision. */
    private boolean roundMade;

    private PoolUse poolUse = new PoolUse(Map.of(), ResourceAmount.NONE, PoolUse.UNKNOWN_CAPACITY);

    /**
     * Constructs limits that are not configured.
     *
     * @param pool  the name of the pool, not null
     * @param token  supplies the fencing token of the owner's claim, which rises when the claim is renewed, not null
     * @param writer  carries out the writes, not null
     */
    public PoolTeamLimits(String pool, LongSupplier token, TeamGrantWriter writer) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.token = Objects.requireNonNull(token, "token");
        this.writes = new GrantWrites(pool, writer);
    }

    /**
     * Applies the teams of the configuration in force.
     *
     * @param newTeams  the teams, not null
     * @param poolCount  the number of pools that run jobs
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void configure(Teams newTeams, int poolCount, long nowMillis) {
        for (TeamConfig team : newTeams.all()) {
            Optional<TeamConfig> former = teams.team(team.name());
            if (configured
                    && former.isPresent()
                    && limitsMore(team.cap(), former.get().cap())) {
                ledger(team.name()).settledMillis = nowMillis + SETTLE_MILLIS;
            }
        }
        teams = newTeams;
        pools = Math.max(1, poolCount);
        configured = true;
        ledgers.values().forEach(ledger -> ledger.limit = limit(ledger.team));
    }

    /**
     * Returns whether a cap limits a resource that a former one did not limit.
     */
    private static boolean limitsMore(ResourceAmount cap, ResourceAmount former) {
        return former.cpuMillis() == 0 && cap.cpuMillis() > 0
                || former.memoryMb() == 0 && cap.memoryMb() > 0
                || former.accelerators() == 0 && cap.accelerators() > 0;
    }

    private ResourceAmount limit(String team) {
        return teams.team(team)
                .filter(TeamConfig::isLimited)
                .map(config -> Amounts.limitOf(config.cap()))
                .orElse(null);
    }

    private TeamLedger ledger(String team) {
        return ledgers.computeIfAbsent(team, name -> {
            TeamLedger created = new TeamLedger(name);
            created.limit = limit(name);
            return created;
        });
    }

    /**
     * Returns whether any team is limited.
     *
     * @return true if starts have to be checked
     */
    public boolean isActive() {
        return teams.hasLimits();
    }

    /**
     * Returns whether a team is limited.
     *
     * @param team  the name of the team, not null
     * @return true if it has a cap
     */
    public boolean isLimited(String team) {
        return limit(team) != null;
    }

    /**
     * Applies all stored grants, which were read after the owner's claim, or are read again later.
     *
     * @param stored  the values and revisions by team, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void loaded(Map<String, StoredGrants> stored, long nowMillis) {
        stored.forEach((team, value) -> changed(team, Optional.of(value), nowMillis));
        for (TeamLedger ledger : ledgers.values()) {
            if (!stored.containsKey(ledger.team)) {
                changed(ledger.team, Optional.empty(), nowMillis);
            }
        }
        loaded = true;
    }

    /**
     * Applies a change of a team's key that the store has reported. The report may be older than what is known.
     *
     * @param team  the name of the team, not null
     * @param stored  the value and revision, empty if the key was removed, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void changed(String team, Optional<StoredGrants> stored, long nowMillis) {
        TeamLedger ledger = ledger(team);
        if (stored.isEmpty()) {
            boolean keyKnown = ledger.grants.revision() != 0 || ledger.unreadable;
            if (loaded && keyKnown && !ledger.callInFlight) {
                // The report of the removal has no revision, so a later write of the key may already be known.
                writes.read(ledger);
            }
        } else if (!loaded || stored.get().revision() > ledger.grants.revision()) {
            apply(ledger, stored.get(), nowMillis);
        }
    }

    private void apply(TeamLedger ledger, StoredGrants stored, long nowMillis) {
        TeamGrants grants;
        try {
            grants = TeamGrantsCodec.decode(stored.value(), stored.revision());
        } catch (IllegalArgumentException e) {
            if (!ledger.unreadable) {
                writes.logUnreadable(ledger, stored, e);
            }
            ledger.unreadable = true;
            ledger.unreadSinceClaim |= !loaded;
            return;
        }
        if (!loaded || ledger.unreadSinceClaim) {
            ledger.takeOver(pool, grants, token.getAsLong());
        } else {
            update(ledger, grants, nowMillis);
        }
    }

    private void update(TeamLedger ledger, TeamGrants grants, long nowMillis) {
        boolean rowLost = !Amounts.isNone(ledger.grants.row(pool).granted()) || ledger.unreadable;
        if (rowLost && grants.revision() == 0) {
            ledger.settledMillis = nowMillis + SETTLE_MILLIS;
        }
        // No earlier owner can write after the claim of this one, so only a later owner's row has a higher token.
        boolean ownRow = grants.row(pool).token() <= token.getAsLong();
        ledger.update(pool, grants, ownRow);
    }

    /**
     * Updates what the teams use in the pool.
     *
     * @param use  the use, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void observe(PoolUse use, long nowMillis) {
        poolUse = use;
        use.teams().keySet().forEach(this::ledger);
        for (TeamLedger ledger : ledgers.values()) {
            ledger.known = use.teams().getOrDefault(ledger.team, TeamUse.NONE);
            ledger.unseen = ledger.known.unseen(ledger.formerGrant, use.unansweredCapacity());
            ledger.recentUse.add(ledger.use(), nowMillis);
        }
    }

    /**
     * Begins a round of placements, in which the waiting work is determined again.
     */
    public void beginRound() {
        roundMade = true;
        for (TeamLedger ledger : ledgers.values()) {
            ledger.refused = WaitingWork.NONE;
            ledger.firstRefused = Optional.empty();
        }
    }

    /**
     * Decides whether a unit, which is a task or a whole gang, may start now, and counts its use if so.
     *
     * @param teamName  the team, not null
     * @param unit  what the unit uses, not null
     * @param member  what one task of the unit uses, not null
     * @param count  the number of such units that could start, positive
     * @param nowMillis  the present time on the steady clock, in milliseconds
     * @return true if it may start
     */
    public boolean tryStart(String teamName, ResourceAmount unit, ResourceAmount member, long count, long nowMillis) {
        if (limit(teamName) == null) {
            return true;
        }
        TeamLedger ledger = ledger(teamName);
        if (!unit.fitsIn(ledger.limit.plus(member))) {
            // A gang that exceeds the limit by more than one task can never start.
            writes.logLimitReached(ledger, unit, "unit-exceeds-cap", nowMillis);
            return false;
        }
        boolean otherUnitClaimed = ledger.waiting
                .claimant()
                .filter(claimed -> !claimed.equals(unit))
                .isPresent();
        boolean allowed = !otherUnitClaimed && mayStart(ledger, unit, count);
        if (allowed) {
            ledger.known = ledger.known.plus(unit, false);
            return true;
        }
        boolean fitsLimit = unit.fitsIn(ledger.limit);
        if (fitsLimit) {
            // No share is asked for a unit that only runs alone; it is claimed.
            ledger.refused = ledger.refused.plus(unit, count);
        }
        if (!otherUnitClaimed && (ledger.firstRefused.isEmpty() || !fitsLimit)) {
            ledger.firstRefused = Optional.of(unit);
        }
        writes.logLimitReached(ledger, unit, loaded ? "grant" : "not-loaded", nowMillis);
        return false;
    }

    private boolean mayStart(TeamLedger ledger, ResourceAmount unit, long count) {
        // The share of a pool depends on what waits, to which this unit belongs.
        WaitingWork work = ledger.waiting.isNone() ? WaitingWork.NONE.plus(unit, count) : ledger.waiting;
        return loaded && GrantPolicy.mayStart(view(ledger, work), ledger.certainGrant, unit);
    }

    /**
     * Returns whether a unit could start now as far as the team's limit is concerned.
     *
     * @param teamName  the limited team, not null
     * @param unit  what the unit uses, not null
     * @return true if it could start
     */
    public boolean hasRoom(String teamName, ResourceAmount unit) {
        return mayStart(ledger(teamName), unit, 1);
    }

    /**
     * Returns whether units certainly cannot start, as a unit that needs no more was refused in this round. If so, they count
     * as waiting.
     *
     * @param teamName  the limited team, not null
     * @param unit  what each unit uses, not null
     * @param count  the number of such units that could start, positive
     * @return true if they cannot start
     */
    public boolean refusesAsBefore(String teamName, ResourceAmount unit, long count) {
        TeamLedger ledger = ledger(teamName);
        boolean refuses = !ledger.refused.isNone()
                && ledger.refused.smallest().fitsIn(unit)
                && unit.fitsIn(ledger.limit)
                && ledger.waiting.claimant().isEmpty();
        if (refuses) {
            ledger.refused = ledger.refused.plus(unit, count);
        }
        return refuses;
    }

    private GrantView view(TeamLedger ledger, WaitingWork work) {
        return ledger.view(pool, pools, poolUse.free(), work);
    }

    /**
     * Makes the writes that are due. Called after each round of placements.
     *
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void decide(long nowMillis) {
        if (roundMade) {
            roundMade = false;
            ledgers.values().forEach(TeamLedger::endRound);
        }
        if (!loaded) {
            return;
        }
        for (TeamLedger ledger : ledgers.values()) {
            if (ledger.unreadable || ledger.callInFlight) {
                continue;
            }
            if (ledger.limit == null) {
                writes.removeRow(ledger, nowMillis);
                continue;
            }
            GrantView unclaimed = view(ledger, ledger.waiting);
            Optional<ResourceAmount> claimed = ledger.claim.update(ledger.firstRefused, unclaimed, nowMillis);
            ledger.waiting = ledger.waiting.withClaimant(claimed);
            GrantView view = view(ledger, ledger.waiting);
            boolean mayRaise = nowMillis >= ledger.settledMillis;
            PoolGrant row = GrantPolicy.decide(view, token.getAsLong(), mayRaise);
            writes.writeIfDue(ledger, view, row, nowMillis);
        }
    }

    /**
     * Handles the confirmation of a write.
     *
     * @param team  the name of the team, not null
     * @param revision  the new revision of the team's key
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void writeStored(String team, long revision, long nowMillis) {
        writes.stored(ledger(team), revision, nowMillis);
    }

    /**
     * Handles a write that had no effect.
     *
     * @param team  the name of the team, not null
     * @param reason  the stable reason, not null
     * @param current  the present value of the team's key if the store reported it, empty also if there is no key, not null
     * @param conflict  true if a condition of the write failed, so that {@code current} is known to be the present state
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void writeRefused(
            String team, String reason, Optional<StoredGrants> current, boolean conflict, long nowMillis) {
        TeamLedger ledger = ledger(team);
        boolean keyChanged = conflict && current.map(StoredGrants::revision).orElse(0L) != ledger.expectedRevision;
        writes.refused(ledger, reason, keyChanged, nowMillis);
        if (conflict) {
            applyRead(ledger, current, nowMillis);
        } else {
            update(ledger, ledger.grants, nowMillis);
        }
    }

    /**
     * Handles a write without an answer, which may have taken effect or may do so later. The key is read again.
     *
     * @param team  the name of the team, not null
     */
    public void writeUnanswered(String team) {
        TeamLedger ledger = ledger(team);
        ledger.writeUnresolved = true;
        writes.read(ledger);
    }

    /**
     * Handles the present value of a team's key.
     *
     * @param team  the name of the team, not null
     * @param current  the value and revision, empty if there is no key, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void read(String team, Optional<StoredGrants> current, long nowMillis) {
        TeamLedger ledger = ledger(team);
        ledger.callInFlight = false;
        applyRead(ledger, current, nowMillis);
    }

    private void applyRead(TeamLedger ledger, Optional<StoredGrants> current, long nowMillis) {
        if (current.isEmpty()) {
            update(ledger, TeamGrants.ABSENT, nowMillis);
        } else if (current.get().revision() >= ledger.grants.revision()) {
            apply(ledger, current.get(), nowMillis);
        }
    }

    /**
     * Returns the use and the grant of each team in the pool, for the metrics.
     *
     * @return the amounts by team, not null
     */
    public Map<String, UseAndGrant> usesAndGrants() {
        Map<String, UseAndGrant> result = new HashMap<>();
        ledgers.forEach((team, ledger) -> result.put(team, new UseAndGrant(ledger.use(), ledger.certainGrant)));
        return result;
    }
}
