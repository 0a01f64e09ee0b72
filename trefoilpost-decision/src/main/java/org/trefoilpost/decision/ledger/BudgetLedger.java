package org.trefoilpost.decision.ledger;

import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.trefoilpost.decision.inventory.PoolView;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;

/**
 * The planned stops under way in a pool, one document a pool.
 *
 * <p>The budget is checked and the stop is written by one compare-and-swap of this document, so two executors can't both
 * use the last headroom. A move out of the pool is a planned stop too. When it is over, the ledger keeps the version of
 * the rack's inventory that shows the departure, and refuses decisions from views older than that: they would still
 * count the worker.
 */
public final class BudgetLedger {
    /** The newest format of the document that this version reads and writes. */
    public static final int FORMAT = 1;

    private final PoolName pool;
    private final SortedMap<WorkerId, PlannedStop> stops;
    private final SortedMap<RackName, Long> departureVersions;
    private final long version;

    private BudgetLedger(
            PoolName pool, SortedMap<WorkerId, PlannedStop> stops, SortedMap<RackName, Long> departures, long version) {
        this.pool = Objects.requireNonNull(pool, "pool");
        this.stops = Collections.unmodifiableSortedMap(stops);
        this.departureVersions = Collections.unmodifiableSortedMap(departures);
        this.version = version;
    }

    /**
     * Obtains the ledger of a pool without planned stops.
     *
     * @param pool  the pool, not null
     * @return the ledger at version 0, not null
     */
    public static BudgetLedger empty(PoolName pool) {
        return new BudgetLedger(pool, new TreeMap<>(), new TreeMap<>(), 0);
    }

    static BudgetLedger decoded(
            PoolName pool, Collection<PlannedStop> stops, SortedMap<RackName, Long> departures, long version) {
        SortedMap<WorkerId, PlannedStop> byWorker = new TreeMap<>();
        stops.forEach(stop -> byWorker.put(stop.worker(), stop));
        return new BudgetLedger(pool, byWorker, new TreeMap<>(departures), version);
    }

    /**
     * Returns the pool.
     *
     * @return the pool, not null
     */
    public PoolName pool() {
        return pool;
    }

    /**
     * Returns the planned stops under way, sorted by worker.
     *
     * @return the stops, unmodifiable, not null
     */
    public Collection<PlannedStop> stops() {
        return stops.values();
    }

    /**
     * Returns the planned stop of a worker.
     *
     * @param worker  the worker, not null
     * @return the stop, not null, empty if none is under way
     */
    public Optional<PlannedStop> stopOf(WorkerId worker) {
        return Optional.ofNullable(stops.get(worker));
    }

    /**
     * Returns the least inventory version of each rack that a view must have to be decided from.
     *
     * @return the versions, unmodifiable, not null
     */
    public SortedMap<RackName, Long> departureVersions() {
        return departureVersions;
    }

    /**
     * Returns the version, which grows with each change.
     *
     * @return the version, not negative
     */
    public long version() {
        return version;
    }

    /**
     * Decides whether a planned stop may start.
     *
     * <p>It may if the budget holds with the stop under way. A stop that this ledger has already, of the same epoch, is
     * admitted again without a change.
     *
     * @param stop  the stop, not null
     * @param view  the pool's members, not null
     * @param budget  the pool's budget, not null
     * @param nowMillis  the present time in milliseconds since the Unix epoch
     * @return the decision with its figures, not null
     */
    public LedgerDecision tryAdmit(PlannedStop stop, PoolView view, AvailabilityBudget budget, long nowMillis) {
        BudgetFigures after = figuresWith(stop.worker(), view, budget);
        PlannedStop present = stops.get(stop.worker());
        if (present != null && !present.isSameStep(stop)) {
            return LedgerDecision.refused(LedgerRefusal.HELD_BY_ANOTHER_PLAN, after);
        }
        if (present != null && present.attempt() > stop.attempt()) {
            return LedgerDecision.refused(LedgerRefusal.OLD_EPOCH, after);
        }
        if (present != null && present.attempt() == stop.attempt()) {
            return LedgerDecision.admitted(this, after);
        }
        if (!isCurrent(view)) {
            return LedgerDecision.refused(LedgerRefusal.STALE_VIEW, after);
        }
        if (view.member(stop.worker()).isEmpty()) {
            return LedgerDecision.refused(LedgerRefusal.NOT_A_MEMBER, after);
        }
        if (!after.holds()) {
            return LedgerDecision.refused(LedgerRefusal.BUDGET, after);
        }
        return LedgerDecision.admitted(withAdmittedStop(stop, nowMillis), after);
    }

    private BudgetFigures figuresWith(WorkerId worker, PoolView view, AvailabilityBudget budget) {
        Set<WorkerId> planned = new HashSet<>(stops.keySet());
        planned.add(worker);
        return BudgetFigures.of(view, planned, budget);
    }

    private boolean isCurrent(PoolView view) {
        return departureVersions.entrySet().stream()
                .allMatch(entry -> view.rackVersion(entry.getKey()) >= entry.getValue());
    }

    private BudgetLedger withAdmittedStop(PlannedStop stop, long nowMillis) {
        SortedMap<WorkerId, PlannedStop> copy = new TreeMap<>(stops);
        PlannedStop admitted = PlannedStop.of(stop.worker(), stop.plan(), stop.step(), stop.attempt(), nowMillis);
        copy.put(stop.worker(), admitted);
        return new BudgetLedger(pool, copy, departureVersions, version + 1);
    }

    /**
     * Returns the figures of the pool with the stops that are under way.
     *
     * @param view  the pool's members, not null
     * @param budget  the pool's budget, not null
     * @return the figures, not null
     */
    public BudgetFigures figures(PoolView view, AvailabilityBudget budget) {
        return BudgetFigures.of(view, stops.keySet(), budget);
    }

    /**
     * Returns a copy without a planned stop, whose worker is in the pool and takes work again.
     *
     * <p>The version grows even if the stop isn't there, so that a late write of an admission conflicts.
     *
     * @param stop  the stop, not null; a later epoch of it is kept, its time doesn't matter
     * @return the ledger, not null
     */
    public BudgetLedger withoutStop(PlannedStop stop) {
        return new BudgetLedger(pool, stopsWithout(stop), departureVersions, version + 1);
    }

    /**
     * Returns a copy without a planned stop, whose worker has left the pool.
     *
     * @param stop  the stop, not null; a later epoch of it is kept, its time doesn't matter
     * @param rack  the worker's rack, not null
     * @param rackVersion  the version of the rack's inventory that shows the departure
     * @return the ledger, not null
     */
    public BudgetLedger withDeparture(PlannedStop stop, RackName rack, long rackVersion) {
        SortedMap<RackName, Long> copy = new TreeMap<>(departureVersions);
        copy.merge(rack, rackVersion, Math::max);
        return new BudgetLedger(pool, stopsWithout(stop), copy, version + 1);
    }

    private SortedMap<WorkerId, PlannedStop> stopsWithout(PlannedStop stop) {
        SortedMap<WorkerId, PlannedStop> copy = new TreeMap<>(stops);
        copy.values().removeIf(present -> present.isSameStep(stop) && present.attempt() <= stop.attempt());
        return copy;
    }

    /**
     * Returns a copy without the stops that nobody has under way any more, such as those of a finished plan that a paused
     * executor admitted late; this ledger if there are none.
     *
     * @param abandoned  tells whether a stop is abandoned, not null
     * @return the ledger, not null
     */
    public BudgetLedger withoutAbandoned(Predicate<PlannedStop> abandoned) {
        SortedMap<WorkerId, PlannedStop> copy = new TreeMap<>(stops);
        return copy.values().removeIf(abandoned) ? new BudgetLedger(pool, copy, departureVersions, version + 1) : this;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof BudgetLedger other
                && other.pool.equals(pool)
                && other.stops.equals(stops)
                && other.departureVersions.equals(departureVersions)
                && other.version == version;
    }

    @Override
    public int hashCode() {
        return Objects.hash(pool, version, Map.copyOf(stops));
    }

    /**
     * Returns the pool, the version and the stops.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return pool + "@" + version + " " + stops.values();
    }
}
