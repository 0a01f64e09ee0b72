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
final class MovePlanner {
    /** Machines that a pool keeps beyond what its work needs. */
    private static final double RESERVE = 1.5;
    /** Surplus in machines from which a pool gives some up. */
    private static final double SURPLUS = 1.0;
    /** Time in milliseconds for which a surplus has to last before machines go back to a spare pool. */
    private static final long IDLE_MILLIS = 2_500;
    /** Time in milliseconds for which an order without an answer may still be carried out. */
    private static final long LATE_ORDER_MILLIS = 13_000;

    private static final long RETRY_MILLIS = 400;
    /** Time in milliseconds for which a pool that was short is likely to become so again, as its demand still grows. */
    private static final long SHORT_MILLIS = 2_000;
    /** How fast an earlier peak of a pool's need is forgotten at least, in machines a second; a large one goes faster. */
    private static final double PEAK_DECAY_PER_SECOND = 12.0;

    private static final int MIN_MACHINES = 2;

    private final FleetActions actions;
    private final FleetView view;
    private final UpkeepPlanner upkeep;
    private final OrderPace pace;
    private final Map<String, String> moving = new HashMap<>();
    private final Map<String, Long> arriving = new HashMap<>();
    private final Map<String, Long> restingUntil = new HashMap<>();
    private final Map<String, Long> surplusSince = new HashMap<>();
    private final Map<String, String> leaving = new TreeMap<>();
    private final Map<String, Double> smoothed = new HashMap<>();
    private final Map<String, NeedTrend> trends = new HashMap<>();
    private final Map<String, Double> peaks = new HashMap<>();
    private long observedMillis;
    private long shortMillis = Long.MIN_VALUE / 2;

    MovePlanner(FleetActions actions, FleetView view, UpkeepPlanner upkeep, OrderPace pace) {
        this.actions = actions;
        this.view = view;
        this.upkeep = upkeep;
        this.pace = pace;
    }

    /**
     * Takes in the outcome of an order about a machine that this planner moves.
     */
    void ordered(String machine, OrderOutcome outcome, long nowMillis) {
        String pool = moving.remove(machine);
        if (pool == null) {
            return;
        }
        if (outcome == OrderOutcome.DONE) {
            leaving.remove(machine);
            view.machine(machine).ifPresent(known -> {
                view.retire(known, nowMillis);
                view.assume(new MachineView(machine, pool, false, false, "", known.cpuMillis()));
            });
            arriving.put(machine, nowMillis);
        } else if (outcome == OrderOutcome.UNKNOWN) {
            // The order may be carried out late, so the machine goes nowhere else meanwhile.
            restingUntil.put(machine, nowMillis + LATE_ORDER_MILLIS);
            moving.put(machine, pool);
            retry(machine, pool, nowMillis);
        } else {
            leaving.remove(machine);
            restingUntil.put(machine, nowMillis + RETRY_MILLIS);
        }
    }

    private void retry(String machine, String pool, long nowMillis) {
        if (pace.take(nowMillis)) {
            view.inFlight().add(machine);
            actions.move(machine, pool);
        } else {
            moving.remove(machine);
        }
    }

    /**
     * Takes in a new list of machines.
     */
    void listed(long askedMillis) {
        arriving.entrySet()
                .removeIf(entry -> askedMillis > entry.getValue()
                        && view.machine(entry.getKey()).map(MachineView::up).orElse(true));
    }

    /**
     * Returns how many machines are on their way to a pool; those that have still to be emptied are not.
     */
    int arriving(String pool) {
        int count = 0;
        for (String machine : arriving.keySet()) {
            count += view.machine(machine)
                            .filter(known -> known.pool().equals(pool))
                            .isPresent()
                    ? 1
                    : 0;
        }
        return count + Collections.frequency(moving.values(), pool);
    }

    boolean active() {
        return !arriving.isEmpty() || !leaving.isEmpty();
    }

    /**
     * Returns whether a pool had fewer machines than it needs within the last while.
     */
    boolean wereShort(long nowMillis) {
        return nowMillis - shortMillis < SHORT_MILLIS;
    }

    /**
     * Chooses machines to move.
     *
     * @return the machines that are to be kept free of work
     */
    List<MachineView> tick(long nowMillis) {
        if (!view.listed()) {
            return List.of();
        }
        observe(nowMillis);
        Map<String, Double> balance = balance(nowMillis);
        Map<String, Double> lasting = lastingBalance(balance);
        if (balance.values().stream().anyMatch(value -> value < 0)) {
            shortMillis = nowMillis;
        }
        leaving.keySet().removeIf(machine -> !stillWanted(machine, balance));
        List<MachineView> keepFree = new ArrayList<>();
        leaving.keySet().forEach(machine -> view.machine(machine).ifPresent(keepFree::add));
        serveShortPools(balance, lasting, keepFree, nowMillis);
        sendBackIdle(lasting, keepFree, nowMillis);
        moveEmpty(nowMillis);
        return keepFree;
    }

    /**
     * Follows the need of each pool, and how high it was of late.
     */
    private void observe(long nowMillis) {
        double seconds = Math.min(1, (nowMillis - observedMillis) / 1_000.0);
        observedMillis = nowMillis;
        for (String pool : view.runningPools()) {
            view.load(pool, nowMillis).ifPresent(load -> {
                double need = forecast(pool, load);
                smoothed.put(pool, need);
                peaks.merge(
                        pool, need, (old, now) -> Math.max(now, old - seconds * Math.max(PEAK_DECAY_PER_SECOND, old)));
            });
        }
    }

    /**
     * Returns a pool's need by the time at which a machine that leaves another pool now could be there.
     */
    private double forecast(String pool, PoolDemand load) {
        NeedTrend trend = trends.computeIfAbsent(pool, name -> new NeedTrend());
        trend.add(load);
        return trend.expected();
    }

    /**
     * Returns the balance measured by how high each pool's need was of late, which decides on giving machines up.
     */
    private Map<String, Double> lastingBalance(Map<String, Double> balance) {
        Map<String, Double> lasting = new TreeMap<>();
        balance.forEach((pool, value) ->
                lasting.put(pool, value + smoothed.getOrDefault(pool, 0.0) - peaks.getOrDefault(pool, 0.0)));
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
                balance.put(pool, present(pool) - smoothed.getOrDefault(pool, 0.0));
            }
        }
        return balance;
    }

    private double present(String pool) {
        int present = Collections.frequency(moving.values(), pool);
        for (MachineView machine : view.machinesOf(pool)) {
            boolean away = leaving.containsKey(machine.name()) || moving.containsKey(machine.name());
            boolean stays = !upkeep.concerns(machine) && !upkeep.isEmptying(machine);
            boolean usable = machine.up() && stays || arriving.containsKey(machine.name());
            present += usable && !away ? 1 : 0;
        }
        for (Map.Entry<String, String> entry : leaving.entrySet()) {
            boolean counted = moving.containsKey(entry.getKey());
            present += !counted && entry.getValue().equals(pool) ? 1 : 0;
        }
        return present;
    }

    private boolean stillWanted(String machine, Map<String, Double> balance) {
        String target = leaving.get(machine);
        boolean toSpare = view.sparePools().contains(target);
        boolean underWay = moving.containsKey(machine);
        boolean known = view.machine(machine).map(MachineView::up).orElse(false);
        return underWay || known && (toSpare || balance.getOrDefault(target, 0.0) < SURPLUS + 1);
    }

    private void serveShortPools(
            Map<String, Double> balance, Map<String, Double> lasting, List<MachineView> keepFree, long nowMillis) {
        List<String> shortest = new ArrayList<>(balance.keySet());
        shortest.sort(Comparator.comparingDouble(balance::get));
        for (String pool : shortest) {
            while (balance.get(pool) < 0) {
                Optional<MachineView> source = source(pool, lasting, nowMillis);
                if (source.isEmpty()) {
                    break;
                }
                leave(source.get(), pool, keepFree);
                balance.merge(pool, 1.0, Double::sum);
                lasting.merge(pool, 1.0, Double::sum);
                lasting.computeIfPresent(source.get().pool(), (name, value) -> value - 1);
            }
        }
    }

    private Optional<MachineView> source(String target, Map<String, Double> balance, long nowMillis) {
        for (MachineView machine : view.machines()) {
            if (view.sparePools().contains(machine.pool()) && movable(machine, nowMillis)) {
                return Optional.of(machine);
            }
        }
        return balance.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(target) && entry.getValue() >= SURPLUS + 1)
                .sorted(Map.Entry.<String, Double>comparingByValue().reversed())
                .flatMap(entry -> leastUsed(entry.getKey(), nowMillis).stream())
                .findFirst();
    }

    /**
     * Returns the machine of a pool that can leave soonest: one without tasks that last.
     */
    private Optional<MachineView> leastUsed(String pool, long nowMillis) {
        if (view.machinesOf(pool).size() <= MIN_MACHINES) {
            return Optional.empty();
        }
        return view.machinesOf(pool).stream()
                .filter(machine -> movable(machine, nowMillis))
                .filter(machine -> view.load(machine)
                        .map(load -> load.acceptsWork() && !load.hasLongRunning())
                        .orElse(false))
                .min(Comparator.comparingLong(machine -> view.load(machine)
                        .map(PoolDemand.WorkerUsage::usedCpuMillis)
                        .orElse(Long.MAX_VALUE)));
    }

    private boolean movable(MachineView machine, long nowMillis) {
        return machine.up()
                && !leaving.containsKey(machine.name())
                && !moving.containsKey(machine.name())
                && !arriving.containsKey(machine.name())
                && !view.inFlight().contains(machine.name())
                && !view.isRetired(machine.worker())
                && !upkeep.concerns(machine)
                && nowMillis >= restingUntil.getOrDefault(machine.name(), Long.MIN_VALUE);
    }

    private void sendBackIdle(Map<String, Double> balance, List<MachineView> keepFree, long nowMillis) {
        String spare = view.sparePools().stream().sorted().findFirst().orElse(null);
        if (spare == null) {
            return;
        }
        for (Map.Entry<String, Double> entry : balance.entrySet()) {
            String pool = entry.getKey();
            if (entry.getValue() < RESERVE + SURPLUS) {
                surplusSince.remove(pool);
                continue;
            }
            long since = surplusSince.computeIfAbsent(pool, name -> nowMillis);
            if (nowMillis - since >= IDLE_MILLIS) {
                for (int i = 0; i < (int) (entry.getValue() - RESERVE); i++) {
                    leastUsed(pool, nowMillis).ifPresent(machine -> leave(machine, spare, keepFree));
                }
            }
        }
    }

    private void leave(MachineView machine, String pool, List<MachineView> keepFree) {
        leaving.put(machine.name(), pool);
        keepFree.add(machine);
        actions.decided(Decision.of("move-decided")
                .with("machine", machine.name())
                .with("from", machine.pool())
                .with("to", pool)
                .with("listedAt", view.listedMillis()));
    }

    private void moveEmpty(long nowMillis) {
        for (Map.Entry<String, String> entry : Map.copyOf(leaving).entrySet()) {
            Optional<MachineView> machine = view.machine(entry.getKey());
            boolean free = machine.filter(view::isEmpty).isPresent()
                    && !moving.containsKey(entry.getKey())
                    && !view.inFlight().contains(entry.getKey())
                    && !upkeep.concerns(machine.get());
            if (free && pace.take(nowMillis)) {
                moving.put(entry.getKey(), entry.getValue());
                view.inFlight().add(entry.getKey());
                actions.move(entry.getKey(), entry.getValue());
            }
        }
    }
}
