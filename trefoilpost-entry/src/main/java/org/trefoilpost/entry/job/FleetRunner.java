package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolInstructions;
import org.trefoilpost.decision.job.fleet.FleetActions;
import org.trefoilpost.decision.job.fleet.FleetPlanner;
import org.trefoilpost.decision.job.fleet.MachineView;
import org.trefoilpost.decision.job.fleet.OrderOutcome;

/**
 * Carries out upkeep and moves of machines at the one entry that owns them.
 */
final class FleetRunner implements FleetActions {
    /** The name under which the machines are claimed; no pool has a name with this sign. */
    static final String CLAIM = "@machines";

    private static final String WAVES = "trefoilpost/wave/";
    private static final long RETRY_MILLIS = 150;

    private final JobContext context;
    private final OwnerCalls calls;
    private final Map<Long, UpkeepWave> waves = new TreeMap<>();
    private final Set<String> asking = new HashSet<>();
    private JobConfiguration configuration;
    private FleetPlanner plan;
    private long token;
    private boolean listing;
    private boolean stateRead;

    FleetRunner(JobContext context, OwnerCalls calls) {
        this.context = context;
        this.calls = calls;
    }

    long token() {
        return token;
    }

    void open(long newToken, JobConfiguration current) {
        token = newToken;
        configuration = current;
        plan = new FleetPlanner(this, context.settings().machineCallsPerSecond());
        stateRead = false;
        readState();
    }

    void close() {
        token = 0;
        plan = null;
    }

    void configure(JobConfiguration next) {
        configuration = next;
        if (plan != null) {
            plan.configure(next.pools(), next.sparePools());
        }
    }

    void wave(UpkeepWave wave) {
        if (waves.put(wave.number(), wave) == null) {
            context.decided(Decision.of("wave-requested")
                    .with("wave", wave.number())
                    .with("machines", wave.machines().size())
                    .with("atOnce", wave.atOnce())
                    .with("withinMillis", wave.withinMillis()));
            operatorsRead();
        }
    }

    /**
     * Passes the waves that are known to the plan.
     */
    void operatorsRead() {
        if (plan != null && stateRead) {
            long nowMillis = context.now().steadyMillis();
            waves.values()
                    .forEach(wave -> plan.addWave(
                            wave.number(), wave.machines(), wave.withinMillis(), wave.atOnce(), nowMillis));
        }
    }

    private void readState() {
        long current = token;
        context.onDuty(context.store().range(WAVES, ""), (page, failure) -> {
            if (token != current || plan == null) {
                return;
            }
            if (failure != null) {
                context.later(RETRY_MILLIS, this::readState);
                return;
            }
            for (StorePort.Item item : page.items()) {
                plan.load(
                        Long.parseLong(item.key().substring(WAVES.length())),
                        new String(item.value(), StandardCharsets.UTF_8),
                        item.revision());
            }
            stateRead = true;
            plan.configure(configuration.pools(), configuration.sparePools());
            operatorsRead();
        });
    }

    void tick(Moment now) {
        if (plan != null && stateRead) {
            plan.tick(now);
        }
    }

    @Override
    public void listMachines() {
        if (listing) {
            return;
        }
        listing = true;
        long current = token;
        long askedMillis = context.now().steadyMillis();
        context.onDuty(context.ports().machines().list(), (machines, failure) -> {
            listing = false;
            if (token == current && plan != null) {
                if (failure == null) {
                    List<MachineView> views = new ArrayList<>();
                    machines.forEach(machine -> views.add(view(machine)));
                    plan.machinesListed(views, askedMillis, context.now());
                } else {
                    plan.listFailed(context.now());
                }
            }
        });
    }

    private static MachineView view(MachinePort.Machine machine) {
        return new MachineView(
                machine.name(),
                machine.pool(),
                machine.state() == MachinePort.State.UP,
                machine.state() == MachinePort.State.UPKEEP,
                machine.worker(),
                machine.cpuMillis());
    }

    @Override
    public void instruct(String pool, PoolInstructions instructions) {
        if (!asking.add(pool)) {
            return;
        }
        long current = token;
        context.onDuty(calls.instruct(pool, instructions), (load, failure) -> {
            asking.remove(pool);
            if (token == current && plan != null && failure == null) {
                plan.load(pool, instructions.evacuating(), load, context.now());
            }
        });
    }

    @Override
    public void beginUpkeep(String machine, long wave) {
        order(
                machine,
                context.ports()
                        .machines()
                        .beginUpkeep(machine, wave, context.settings().name(), token));
    }

    @Override
    public void move(String machine, String pool) {
        order(
                machine,
                context.ports()
                        .machines()
                        .move(machine, pool, context.settings().name(), token));
    }

    private void order(String machine, CompletableFuture<MachinePort.Outcome> call) {
        long current = token;
        context.onDuty(call, (outcome, failure) -> {
            if (token == current && plan != null) {
                plan.orderAnswered(machine, failure == null ? result(outcome) : OrderOutcome.UNKNOWN, context.now());
            }
        });
    }

    private static OrderOutcome result(MachinePort.Outcome outcome) {
        return switch (outcome) {
            case DONE -> OrderOutcome.DONE;
            case FENCED -> OrderOutcome.FENCED;
            case BUSY -> OrderOutcome.BUSY;
            case REJECTED -> OrderOutcome.REJECTED;
            case REFUSED -> OrderOutcome.REFUSED;
            case UNKNOWN -> OrderOutcome.UNKNOWN;
        };
    }

    @Override
    public void storeWave(long wave, String state, long revision, boolean completed) {
        PlatformFormats formats = context.ports().formats();
        Map<String, Long> expected = new HashMap<>();
        expected.put(LiveEntries.ownerKey(CLAIM), token);
        expected.put(WAVES + wave, revision);
        List<StorePort.Put> puts = List.of(
                new StorePort.Put(WAVES + wave, state.getBytes(StandardCharsets.UTF_8), 0),
                new StorePort.Put(formats.waveStatusKey(wave), formats.waveStatus(wave, completed), 0));
        long current = token;
        context.onDuty(context.store().commit(new StorePort.Change(expected, puts, List.of())), (stored, failure) -> {
            if (token != current || plan == null) {
                return;
            }
            if (failure == null) {
                plan.waveStored(wave, state, stored, context.now());
            } else {
                storeFailed(wave, state, failure);
            }
        });
    }

    private void storeFailed(long wave, String state, Throwable failure) {
        context.decided(Decision.failure("wave-state-not-stored")
                .with("wave", wave)
                .with("failure", String.valueOf(failure.getMessage())));
        if (failure instanceof StoreFailure known && known.kind() == StoreFailure.Kind.CONFLICT) {
            for (StorePort.Item item : known.present()) {
                boolean ours = item.key().equals(WAVES + wave)
                        && new String(item.value(), StandardCharsets.UTF_8).equals(state);
                if (ours) {
                    plan.waveStored(wave, state, item.revision(), context.now());
                    return;
                }
            }
            close();
            return;
        }
        long current = token;
        context.later(RETRY_MILLIS, () -> {
            if (token == current && plan != null) {
                plan.waveStoreFailed(wave);
            }
        });
    }

    @Override
    public void ownershipLost(String machine) {
        context.decided(
                Decision.failure("machines-lost").with("machine", machine).with("token", token));
        context.run(this::close);
    }

    @Override
    public void logDecision(Decision decision) {
        context.decided(decision);
    }
}
