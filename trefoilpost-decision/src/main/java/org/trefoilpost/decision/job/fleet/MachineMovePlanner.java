package org.trefoilpost.decision.job.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.PoolDemand;

/**
 * Moves machines to the pools whose work does not fit, from spare pools and from pools that need fewer than they have,
 * and back to a spare pool what no pool needs for a while.
 */
final class MachineMovePlanner {
    /** Machines that a pool keeps beyond what its work needs. */
    private static final double RESERVE_MACHINES = 1.5;
    /** Surplus in machines from which a pool gives some up. */
    private static final double MIN_SURPLUS_MACHINES = 1.0;
    /** Time in milliseconds for which a surplus has to last before machines go back to a spare pool. */
    private static final long MIN_SURPLUS_MILLIS = 2_500;
    /** Time in milliseconds for which an order without an answer may still be carried out. */
    private static final long MAX_ORDER_DELAY_MILLIS = 13_000;

    private static final long RETRY_MILLIS = 400;
    /** Time in milliseconds for which a pool that was short is likely to become so again, as its demand still grows. */
    private static final long RECENT_SHORTAGE_MILLIS = 2_000;
    /** How fast an earlier peak of a pool's need is forgotten at least, in machines a second; a large one goes faster. */
    private static final double MIN_PEAK_DECAY_MACHINES_PER_SECOND = 12.0;

    private static final int MIN_POOL_MACHINES = 2;

    private final FleetActions actions;
    private final FleetView view;
    private final UpkeepPlanner upkeepPlanner;
    private final OrderRateLimiter rateLimiter;
    private final Map<String, String> orderedMoves = new HashMap<>();
    private final Map<String, Long> arrivingSinceMillis = new HashMap<>();
    private final Map<String, Long> blockedUntilMillis = new HashMap<>();
    private final Map<String, Long> surplusSinceMillis = new HashMap<>();
    private final Map<String, String> decidedMoves = new TreeMap<>();
    private final Map<String, Double> expectedNeeds = new HashMap<>();
    private final Map<String, DemandForecast> forecasts = new HashMap<>();
    private final Map<String, Double> recentPeaks = new HashMap<>();
    private long observedMillis;
    private long lastShortageMillis = Long.MIN_VALUE / 2;

    MachineMovePlanner(FleetActions actions, FleetView view, UpkeepPlanner upkeep, OrderRateLimiter pace) {
        this.actions = actions;
        this.view = view;
        this.upkeepPlanner = upkeep;
        this.rateLimiter = pace;
    }

    /**
     * Takes in the outcome of an order about a machine that this planner moves.
     */
    void orderAnswered(String machine, OrderOutcome outcome, long nowMillis) {
        String pool = orderedMoves.remove(machine);
        if (pool == null) {
            return;
        }
        if (outcome == OrderOutcome.DONE) {
            decidedMoves.remove(machine);
            view.machine(machine).ifPresent(known -> {
                view.retire(known, nowMillis);
                view.updateMachine(new MachineView(machine, pool, false, false, "", known.cpuMillis()));
            });
            arrivingSinceMillis.put(machine, nowMillis);
        } else if (outcome == OrderOutcome.UNKNOWN) {
            // The order may be carried out late, so the machine goes nowhere else meanwhile.
            blockedUntilMillis.put(machine, nowMillis + MAX_ORDER_DELAY_MILLIS);
            orderedMoves.put(machine, pool);
            retry(machine, pool, nowMillis);
        } else {
            decidedMoves.remove(machine);
            blockedUntilMillis.put(machine, nowMillis + RETRY_MILLIS);
        }
    }

    private void retry(String machine, String pool, long nowMillis) {
        if (rateLimiter.tryAcquire(nowMillis)) {
            view.machinesWithOrderInFlight().add(machine);
            actions.move(machine, pool);
        } else {
            orderedMoves.remove(machine);
        }
    }

    /**
     * Takes in a new list of machines.
     */
    void machinesListed(long askedMillis) {
        arrivingSinceMillis
                .entrySet()
                .removeIf(entry -> askedMillis > entry.getValue()
                        && view.machine(entry.getKey()).map(MachineView::up).orElse(true));
    }

    /**
     * Returns how many machines are on their way to a pool; those that have still to be emptied are not.
     */
    int countArriving(String pool) {
        int count = 0;
        for (String machine : arrivingSinceMillis.keySet()) {
            count += view.machine(machine)
                            .filter(known -> known.pool().equals(pool))
                            .isPresent()
                    ? 1
                    : 0;
        }
        return count + Collections.frequency(orderedMoves.values(), pool);
    }

    boolean isActive() {
        return !arrivingSinceMillis.isEmpty() || !decidedMoves.isEmpty();
    }

    /**
     * Returns whether a pool had fewer machines than it needs within the last while.
     */
    boolean hadRecentShortage(long nowMillis) {
        return nowMillis - lastShortageMillis < RECENT_SHORTAGE_MILLIS;
    }

    /**
     * Chooses machines to move.
     *
     * @return the machines that are to be kept free of work
     */
    List<MachineView> tick(long nowMillis) {
        if (!view.isListed()) {
            return List.of();
        }
        updateForecasts(nowMillis);
        Map<String, Double> balance = balance(nowMillis);
        Map<String, Double> lasting = peakBalance(balance);
        if (balance.values().stream().anyMatch(value -> value < 0)) {
            lastShortageMillis = nowMillis;
        }
        decidedMoves.keySet().removeIf(machine -> !isStillNeeded(machine, balance));
        List<MachineView> keepFree = new ArrayList<>();
        decidedMoves.keySet().forEach(machine -> view.machine(machine).ifPresent(keepFree::add));
        coverShortages(balance, lasting, keepFree, nowMillis);
        returnSurplus(lasting, keepFree, nowMillis);
        orderMoves(nowMillis);
        return keepFree;
    }

    /**
     * Follows the need of each pool, and how high it was of late.
     */
    private void updateForecasts(long nowMillis) {
        double seconds = Math.min(1, (nowMillis - observedMillis) / 1_000.0);
        observedMillis = nowMillis;
        for (String pool : view.runningPools()) {
            view.load(pool, nowMillis).ifPresent(load -> {
                double need = forecast(pool, load);
                expectedNeeds.put(pool, need);
                recentPeaks.merge(
                        pool,
                        need,
                        (old, now) -> Math.max(now, old - seconds * Math.max(MIN_PEAK_DECAY_MACHINES_PER_SECOND, old)));
            });
        }
    }

    /**
     * Returns a pool's need by the time at which a machine that leaves another pool now could be there.
     */
    private double forecast(String pool, PoolDemand load) {
        DemandForecast trend = forecasts.computeIfAbsent(pool, name -> new DemandForecast());
        trend.add(load);
        return trend.expectedMachines();
    }

    /**
     * Returns the balance measured by how high each pool's need was of late, which decides on giving machines up.
     */
    private Map<String, Double> peakBalance(Map<String, Double> balance) {
        Map<String, Double> lasting = new TreeMap<>();
        balance.forEach((pool, value) ->
                lasting.put(pool, value + expectedNeeds.getOrDefault(pool, 0.0) - recentPeaks.getOrDefault(pool, 0.0)));
        return lasting;
    }

    /**
     * Returns how many machines each pool has beyond its need, those on their way included.
     */
    private Map<String, Double> balance(long nowMillis) {
        Map<String, Double> balance = new TreeMap<>();
        for (String pool : view.runningPools()) {
            Optional<PoolDemand> load = view.load(pool, nowMillis);
            if (load.isPresent()) {
                balance.put(pool, countMachines(pool) - expectedNeeds.getOrDefault(pool, 0.0));
            }
        }
        return balance;
    }

    private double countMachines(String pool) {
        int present = Collections.frequency(orderedMoves.values(), pool);
        for (MachineView machine : view.machinesOf(pool)) {
            boolean away = decidedMoves.containsKey(machine.name()) || orderedMoves.containsKey(machine.name());
            boolean stays = !upkeepPlanner.isDownOrOrdered(machine) && !upkeepPlanner.isEmptying(machine);
            boolean usable = machine.up() && stays || arrivingSinceMillis.containsKey(machine.name());
            present += usable && !away ? 1 : 0;
        }
        for (Map.Entry<String, String> entry : decidedMoves.entrySet()) {
            boolean counted = orderedMoves.containsKey(entry.getKey());
            present += !counted && entry.getValue().equals(pool) ? 1 : 0;
        }
        return present;
    }

    private boolean isStillNeeded(String machine, Map<String, Double> balance) {
        String target = decidedMoves.get(machine);
        boolean toSpare = view.sparePools().contains(target);
        boolean underWay = orderedMoves.containsKey(machine);
        boolean known = view.machine(machine).map(MachineView::up).orElse(false);
        return underWay || known && (toSpare || balance.getOrDefault(target, 0.0) < MIN_SURPLUS_MACHINES + 1);
    }

    private void coverShortages(
            Map<String, Double> balance, Map<String, Double> lasting, List<MachineView> keepFree, long nowMillis) {
        List<String> shortest = new ArrayList<>(balance.keySet());
        shortest.sort(Comparator.comparingDouble(balance::get));
        for (String pool : shortest) {
            while (balance.get(pool) < 0) {
                Optional<MachineView> source = chooseSource(pool, lasting, nowMillis);
                if (source.isEmpty()) {
                    break;
                }
                decideMove(source.get(), pool, keepFree);
                balance.merge(pool, 1.0, Double::sum);
                lasting.merge(pool, 1.0, Double::sum);
                lasting.computeIfPresent(source.get().pool(), (name, value) -> value - 1);
            }
        }
    }

    private Optional<MachineView> chooseSource(String target, Map<String, Double> balance, long nowMillis) {
        for (MachineView machine : view.machines()) {
            if (view.sparePools().contains(machine.pool()) && isMovable(machine, nowMillis)) {
                return Optional.of(machine);
            }
        }
        return balance.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(target) && entry.getValue() >= MIN_SURPLUS_MACHINES + 1)
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .flatMap(entry -> leastUsedMachine(entry.getKey(), nowMillis).stream())
                .findFirst();
    }

    /**
     * Returns the machine of a pool that can leave soonest: one without tasks that last.
     */
    private Optional<MachineView> leastUsedMachine(String pool, long nowMillis) {
        if (view.machinesOf(pool).size() <= MIN_POOL_MACHINES) {
            return Optional.empty();
        }
        return view.machinesOf(pool).stream()
                .filter(machine -> isMovable(machine, nowMillis))
                .filter(machine -> view.load(machine)
                        .map(load -> load.acceptsWork() && !load.hasLongRunning())
                        .orElse(false))
                .min(Comparator.comparingLong(machine -> view.load(machine)
                        .map(PoolDemand.WorkerUsage::usedCpuMillis)
                        .orElse(Long.MAX_VALUE)));
    }

    private boolean isMovable(MachineView machine, long nowMillis) {
        return machine.up()
                && !decidedMoves.containsKey(machine.name())
                && !orderedMoves.containsKey(machine.name())
                && !arrivingSinceMillis.containsKey(machine.name())
                && !view.machinesWithOrderInFlight().contains(machine.name())
                && !view.isRetired(machine.worker())
                && !upkeepPlanner.isDownOrOrdered(machine)
                && nowMillis >= blockedUntilMillis.getOrDefault(machine.name(), Long.MIN_VALUE);
    }

    private void returnSurplus(Map<String, Double> balance, List<MachineView> keepFree, long nowMillis) {
        String spare = view.sparePools().stream().sorted().findFirst().orElse(null);
        if (spare == null) {
            return;
        }
        for (Map.Entry<String, Double> entry : balance.entrySet()) {
            String pool = entry.getKey();
            if (entry.getValue() < RESERVE_MACHINES + MIN_SURPLUS_MACHINES) {
                surplusSinceMillis.remove(pool);
                continue;
            }
            long since = surplusSinceMillis.computeIfAbsent(pool, name -> nowMillis);
            if (nowMillis - since >= MIN_SURPLUS_MILLIS) {
                for (int i = 0; i < (int) (entry.getValue() - RESERVE_MACHINES); i++) {
                    leastUsedMachine(pool, nowMillis).ifPresent(machine -> decideMove(machine, spare, keepFree));
                }
            }
        }
    }

    private void decideMove(MachineView machine, String pool, List<MachineView> keepFree) {
        decidedMoves.put(machine.name(), pool);
        keepFree.add(machine);
        actions.logDecision(Decision.of("move-decided")
                .with("machine", machine.name())
                .with("from", machine.pool())
                .with("to", pool)
                .with("listedAt", view.listedMillis()));
    }

    private void orderMoves(long nowMillis) {
        for (Map.Entry<String, String> entry : Map.copyOf(decidedMoves).entrySet()) {
            Optional<MachineView> machine = view.machine(entry.getKey());
            boolean free = machine.filter(view::isEmpty).isPresent()
                    && !orderedMoves.containsKey(entry.getKey())
                    && !view.machinesWithOrderInFlight().contains(entry.getKey())
                    && !upkeepPlanner.isDownOrOrdered(machine.get());
            if (free && rateLimiter.tryAcquire(nowMillis)) {
                orderedMoves.put(entry.getKey(), entry.getValue());
                view.machinesWithOrderInFlight().add(entry.getKey());
                actions.move(entry.getKey(), entry.getValue());
            }
        }
    }
}
