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
 * Moves machines to pools with a shortage, from spare pools and from pools with a surplus, and returns machines to a spare
 * pool after a lasting surplus.
 */
final class MachineMovePlanner {
    /** Machines that a pool keeps beyond its need when it returns machines to a spare pool. */
    private static final double RESERVE_MACHINES = 1.5;
    /** Surplus that a pool must keep after it gives a machine to another pool, and have beyond its reserve to return one. */
    private static final double MIN_SURPLUS_MACHINES = 1.0;
    /** Shortage of a pool from which others give it all of their surplus, as they would otherwise idle beside it. */
    private static final double URGENT_SHORTAGE_MACHINES = 1.0;

    /** Time for which a surplus must last before machines are returned to a spare pool. */
    private static final long MIN_SURPLUS_MILLIS = 2_500;
    /**
     * The share of a surplus that is returned at a time. A machine on its way to the spare pool is of no use to any pool,
     * so the others stay where another pool whose demand rises can get them at once.
     */
    private static final double RETURN_SHARE = 0.25;

    private static final long RETURN_INTERVAL_MILLIS = 500;
    /** Time for which an unanswered order may still be carried out. */
    private static final long MAX_ORDER_DELAY_MILLIS = 13_000;

    private static final long RETRY_MILLIS = 400;
    /** Time after a shortage in which another one is likely, as demand still grows. */
    private static final long RECENT_SHORTAGE_MILLIS = 2_000;
    /** A pool with this many machines or fewer gives up none. */
    private static final int MIN_POOL_MACHINES = 2;

    private final FleetActions actions;
    private final FleetView view;
    private final UpkeepPlanner upkeepPlanner;
    private final OrderRateLimiter rateLimiter;
    /** The target pools of the moves that are ordered but not answered, by machine. */
    private final Map<String, String> orderedMoves = new HashMap<>();
    /** The times until which an unanswered move may still be carried out, by machine. */
    private final Map<String, Long> unansweredUntilMillis = new HashMap<>();
    /** The times from which unanswered moves are sent again, by machine. */
    private final Map<String, Long> retryAtMillis = new HashMap<>();
    /** The times at which the moves of machines that are not yet up were done, by machine. */
    private final Map<String, Long> arrivingSinceMillis = new HashMap<>();

    private final Map<String, Long> blockedUntilMillis = new HashMap<>();
    private final Map<String, Long> surplusSinceMillis = new HashMap<>();
    private final Map<String, Long> lastReturnMillis = new HashMap<>();
    /** The target pools of the moves that are decided but not done, by machine. */
    private final Map<String, String> decidedMoves = new TreeMap<>();

    private final PoolNeeds needs;
    private final ShortageLog shortageLog;
    private long lastShortageMillis = Long.MIN_VALUE / 2;

    MachineMovePlanner(
            FleetActions actions, FleetView view, UpkeepPlanner upkeepPlanner, OrderRateLimiter rateLimiter) {
        this.actions = actions;
        this.view = view;
        this.upkeepPlanner = upkeepPlanner;
        this.rateLimiter = rateLimiter;
        this.needs = new PoolNeeds(view);
        this.shortageLog = new ShortageLog(actions);
    }

    /**
     * Handles the outcome of a move; does nothing if this planner has not ordered one for the machine.
     */
    void orderAnswered(String machine, OrderOutcome outcome, long nowMillis) {
        String pool = orderedMoves.get(machine);
        if (pool == null) {
            return;
        }
        if (outcome == OrderOutcome.UNKNOWN) {
            unansweredUntilMillis.put(machine, nowMillis + MAX_ORDER_DELAY_MILLIS);
        }
        if (outcome == OrderOutcome.DONE) {
            forgetOrder(machine);
            view.machine(machine).ifPresent(known -> {
                view.retire(known, nowMillis);
                view.updateMachine(new MachineView(machine, pool, false, false, "", known.cpuMillis()));
            });
            arrivingSinceMillis.put(machine, nowMillis);
        } else if (isUnanswered(machine, nowMillis) && outcome != OrderOutcome.REJECTED) {
            // The order may be carried out late, so it is sent again, and the machine is not moved elsewhere until
            // then.
            retryAtMillis.put(machine, nowMillis + RETRY_MILLIS);
        } else {
            forgetOrder(machine);
            blockedUntilMillis.put(machine, nowMillis + RETRY_MILLIS);
        }
    }

    /**
     * Returns whether the move of a machine was ordered and may still be carried out.
     */
    boolean isOrdered(String machine) {
        return orderedMoves.containsKey(machine);
    }

    private boolean isUnanswered(String machine, long nowMillis) {
        return nowMillis < unansweredUntilMillis.getOrDefault(machine, Long.MIN_VALUE);
    }

    private void forgetOrder(String machine) {
        decidedMoves.remove(machine);
        orderedMoves.remove(machine);
        unansweredUntilMillis.remove(machine);
        retryAtMillis.remove(machine);
    }

    /**
     * Sends the moves again that were not answered, and forgets those that can no longer be carried out.
     */
    private void retryUnanswered(long nowMillis) {
        for (Map.Entry<String, Long> retry : Map.copyOf(retryAtMillis).entrySet()) {
            String machine = retry.getKey();
            if (!isUnanswered(machine, nowMillis)) {
                forgetOrder(machine);
            } else if (nowMillis >= retry.getValue() && rateLimiter.tryAcquire(nowMillis)) {
                retryAtMillis.remove(machine);
                view.orderSent(machine, MachineOrder.move());
                actions.move(machine, orderedMoves.get(machine));
            }
        }
    }

    /**
     * Ends the arrival of machines that are up in a list requested after their move, or that are no longer listed.
     */
    void machinesListed(long requestedMillis) {
        arrivingSinceMillis
                .entrySet()
                .removeIf(entry -> requestedMillis > entry.getValue()
                        && view.machine(entry.getKey()).map(MachineView::up).orElse(true));
    }

    /**
     * Returns the number of machines that are arriving in a pool, without those that are still to be emptied.
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
     * Returns whether any pool had fewer machines than its need within {@link #RECENT_SHORTAGE_MILLIS}.
     */
    boolean hadRecentShortage(long nowMillis) {
        return nowMillis - lastShortageMillis < RECENT_SHORTAGE_MILLIS;
    }

    /**
     * Decides on moves, and orders those whose machines are empty.
     *
     * @return the machines to evacuate
     */
    List<MachineView> tick(long nowMillis) {
        needs.update(nowMillis);
        Map<String, Double> balance = balance(nowMillis);
        Map<String, Double> peakBalance = peakBalance(balance);
        if (balance.values().stream().anyMatch(value -> value < 0)) {
            lastShortageMillis = nowMillis;
        }
        decidedMoves.keySet().removeIf(machine -> !isStillNeeded(machine, balance));
        List<MachineView> evacuating = new ArrayList<>();
        decidedMoves.keySet().forEach(machine -> view.machine(machine).ifPresent(evacuating::add));
        coverShortages(balance, peakBalance, evacuating, nowMillis);
        returnSurplus(peakBalance, evacuating, nowMillis);
        retryUnanswered(nowMillis);
        orderMoves(nowMillis);
        return evacuating;
    }

    /**
     * Returns the balance against the recent peak of each pool's need, which decides whether a pool gives up machines. Those whose
     * moves were not answered do not count, as they may never come.
     */
    private Map<String, Double> peakBalance(Map<String, Double> balance) {
        Map<String, Double> peakBalance = new TreeMap<>();
        balance.forEach((pool, value) -> peakBalance.put(
                pool, value + needs.expected(pool) - needs.recentPeak(pool) - countUnansweredMoves(pool)));
        return peakBalance;
    }

    private long countUnansweredMoves(String pool) {
        return orderedMoves.entrySet().stream()
                .filter(move -> move.getValue().equals(pool) && unansweredUntilMillis.containsKey(move.getKey()))
                .count();
    }

    /**
     * Returns the number of machines that each pool has beyond its need, arriving ones included; negative in a shortage.
     */
    private Map<String, Double> balance(long nowMillis) {
        Map<String, Double> balance = new TreeMap<>();
        for (String pool : view.runningPools()) {
            Optional<PoolDemand> demand = view.demand(pool, nowMillis);
            if (demand.isPresent()) {
                balance.put(pool, countMachines(pool) - needs.expected(pool));
            }
        }
        return balance;
    }

    private double countMachines(String pool) {
        int count = Collections.frequency(orderedMoves.values(), pool);
        for (MachineView machine : view.machinesOf(pool)) {
            boolean leaving = decidedMoves.containsKey(machine.name()) || orderedMoves.containsKey(machine.name());
            boolean stays = !upkeepPlanner.isDownOrOrdered(machine) && !upkeepPlanner.isEmptying(machine);
            boolean usable = machine.up() && stays || arrivingSinceMillis.containsKey(machine.name());
            count += usable && !leaving ? 1 : 0;
        }
        for (Map.Entry<String, String> entry : decidedMoves.entrySet()) {
            boolean ordered = orderedMoves.containsKey(entry.getKey());
            count += !ordered && entry.getValue().equals(pool) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns whether a decided move is to be kept.
     */
    private boolean isStillNeeded(String machine, Map<String, Double> balance) {
        String target = decidedMoves.get(machine);
        boolean toSpare = view.sparePools().contains(target);
        boolean ordered = orderedMoves.containsKey(machine);
        boolean known = view.machine(machine).map(MachineView::up).orElse(false);
        return ordered || known && (toSpare || balance.getOrDefault(target, 0.0) < MIN_SURPLUS_MACHINES + 1);
    }

    private void coverShortages(
            Map<String, Double> balance,
            Map<String, Double> peakBalance,
            List<MachineView> evacuating,
            long nowMillis) {
        List<String> byBalance = new ArrayList<>(balance.keySet());
        byBalance.sort(Comparator.comparingDouble(balance::get));
        for (String pool : byBalance) {
            while (balance.get(pool) < 0) {
                Optional<MachineView> source = chooseSource(pool, -balance.get(pool), peakBalance, nowMillis);
                if (source.isEmpty()) {
                    shortageLog.log(pool, needs.expected(), balance, peakBalance, nowMillis);
                    break;
                }
                decideMove(source.get(), pool, evacuating);
                balance.merge(pool, 1.0, Double::sum);
                peakBalance.merge(pool, 1.0, Double::sum);
                peakBalance.computeIfPresent(source.get().pool(), (name, value) -> value - 1);
            }
        }
    }

    private Optional<MachineView> chooseSource(
            String target, double shortage, Map<String, Double> balance, long nowMillis) {
        for (MachineView machine : view.machines()) {
            if (view.sparePools().contains(machine.pool()) && isMovable(machine, nowMillis)) {
                return Optional.of(machine);
            }
        }
        double keptSurplus = shortage >= URGENT_SHORTAGE_MACHINES ? 0 : MIN_SURPLUS_MACHINES;
        return balance.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(target) && entry.getValue() >= keptSurplus + 1)
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .flatMap(entry -> leastUsedMachine(entry.getKey(), nowMillis).stream())
                .findFirst();
    }

    /**
     * Returns the machine that can be emptied soonest: the one with the least processor use among those without
     * long-running tasks, of which no waiting step may need the worker.
     */
    private Optional<MachineView> leastUsedMachine(String pool, long nowMillis) {
        if (view.machinesOf(pool).size() <= MIN_POOL_MACHINES) {
            return Optional.empty();
        }
        return view.machinesOf(pool).stream()
                .filter(machine -> isMovable(machine, nowMillis) && !view.isAwaited(machine))
                .filter(machine -> view.usage(machine)
                        .map(usage -> usage.acceptsWork() && !usage.hasLongRunning())
                        .orElse(false))
                .min(Comparator.comparingLong(machine -> view.usage(machine)
                        .map(PoolDemand.WorkerUsage::usedCpuMillis)
                        .orElse(Long.MAX_VALUE)));
    }

    private boolean isMovable(MachineView machine, long nowMillis) {
        return machine.up()
                && !decidedMoves.containsKey(machine.name())
                && !orderedMoves.containsKey(machine.name())
                && !arrivingSinceMillis.containsKey(machine.name())
                && !view.hasOrderInFlight(machine.name())
                && !view.isRetired(machine.worker())
                && !upkeepPlanner.isDownOrOrdered(machine)
                && nowMillis >= blockedUntilMillis.getOrDefault(machine.name(), Long.MIN_VALUE);
    }

    private void returnSurplus(Map<String, Double> balance, List<MachineView> evacuating, long nowMillis) {
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
            boolean intervalPassed =
                    nowMillis - lastReturnMillis.getOrDefault(pool, Long.MIN_VALUE / 2) >= RETURN_INTERVAL_MILLIS;
            if (nowMillis - since >= MIN_SURPLUS_MILLIS && intervalPassed) {
                lastReturnMillis.put(pool, nowMillis);
                returnMachines(pool, spare, entry.getValue() - RESERVE_MACHINES, evacuating, nowMillis);
            }
        }
    }

    private void returnMachines(
            String pool, String spare, double surplus, List<MachineView> evacuating, long nowMillis) {
        int count = (int) Math.min(surplus, Math.ceil(surplus * RETURN_SHARE));
        for (int i = 0; i < count; i++) {
            leastUsedMachine(pool, nowMillis).ifPresent(machine -> decideMove(machine, spare, evacuating));
        }
    }

    private void decideMove(MachineView machine, String pool, List<MachineView> evacuating) {
        decidedMoves.put(machine.name(), pool);
        evacuating.add(machine);
        actions.logDecision(Decision.of("move-decided")
                .with("machine", machine.name())
                .with("from", machine.pool())
                .with("to", pool)
                .with("listedAt", view.listedMillis()));
    }

    private void orderMoves(long nowMillis) {
        for (Map.Entry<String, String> entry : Map.copyOf(decidedMoves).entrySet()) {
            Optional<MachineView> machine = view.machine(entry.getKey());
            boolean ready = machine.filter(view::isEmpty).isPresent()
                    && !orderedMoves.containsKey(entry.getKey())
                    && !view.hasOrderInFlight(entry.getKey())
                    && !upkeepPlanner.isDownOrOrdered(machine.get());
            if (ready && rateLimiter.tryAcquire(nowMillis)) {
                orderedMoves.put(entry.getKey(), entry.getValue());
                view.orderSent(entry.getKey(), MachineOrder.move());
                actions.move(entry.getKey(), entry.getValue());
            }
        }
    }
}
