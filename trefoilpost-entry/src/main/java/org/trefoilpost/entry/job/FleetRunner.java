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
    static final String MACHINES_CLAIM = "@machines";

    private static final String WAVE_KEY_PREFIX = "trefoilpost/wave/";
    private static final long RETRY_DELAY_MILLIS = 150;

    private final JobContext context;
    private final OwnerCalls ownerCalls;
    private final Map<Long, UpkeepWave> waves = new TreeMap<>();
    private final Set<String> poolsInstructing = new HashSet<>();
    private JobConfiguration configuration;
    private FleetPlanner plan;
    private long token;
    private boolean listInFlight;
    private boolean stateLoaded;

    FleetRunner(JobContext context, OwnerCalls calls) {
        this.context = context;
        this.ownerCalls = calls;
    }

    long token() {
        return token;
    }

    void open(long newToken, JobConfiguration current) {
        token = newToken;
        configuration = current;
        plan = new FleetPlanner(this, context.settings().maxMachineCallsPerSecond());
        stateLoaded = false;
        loadState();
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

    void addWave(UpkeepWave wave) {
        if (waves.put(wave.number(), wave) == null) {
            context.logDecision(Decision.of("wave-requested")
                    .with("wave", wave.number())
                    .with("machines", wave.machines().size())
                    .with("atOnce", wave.maxConcurrent())
                    .with("withinMillis", wave.withinMillis()));
            passWavesToPlan();
        }
    }

    /**
     * Passes the waves that are known to the plan.
     */
    void passWavesToPlan() {
        if (plan != null && stateLoaded) {
            long nowMillis = context.now().steadyMillis();
            waves.values()
                    .forEach(wave -> plan.addWave(
                            wave.number(), wave.machines(), wave.withinMillis(), wave.maxConcurrent(), nowMillis));
        }
    }

    private void loadState() {
        long current = token;
        context.onServiceThread(context.store().range(WAVE_KEY_PREFIX, ""), (page, failure) -> {
            if (token != current || plan == null) {
                return;
            }
            if (failure != null) {
                context.schedule(RETRY_DELAY_MILLIS, this::loadState);
                return;
            }
            for (StorePort.Item item : page.items()) {
                plan.load(
                        Long.parseLong(item.key().substring(WAVE_KEY_PREFIX.length())),
                        new String(item.value(), StandardCharsets.UTF_8),
                        item.revision());
            }
            stateLoaded = true;
            plan.configure(configuration.pools(), configuration.sparePools());
            passWavesToPlan();
        });
    }

    void tick(Moment now) {
        if (plan != null && stateLoaded) {
            plan.tick(now);
        }
    }

    @Override
    public void listMachines() {
        if (listInFlight) {
            return;
        }
        listInFlight = true;
        long current = token;
        long askedMillis = context.now().steadyMillis();
        context.onServiceThread(context.ports().machines().list(), (machines, failure) -> {
            listInFlight = false;
            if (token == current && plan != null) {
                if (failure == null) {
                    List<MachineView> views = new ArrayList<>();
                    machines.forEach(machine -> views.add(toMachineView(machine)));
                    plan.machinesListed(views, askedMillis, context.now());
                } else {
                    plan.listFailed(context.now());
                }
            }
        });
    }

    private static MachineView toMachineView(MachinePort.Machine machine) {
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
        if (!poolsInstructing.add(pool)) {
            return;
        }
        long current = token;
        context.onServiceThread(ownerCalls.instruct(pool, instructions), (load, failure) -> {
            poolsInstructing.remove(pool);
            if (token == current && plan != null && failure == null) {
                plan.load(pool, instructions.evacuating(), load, context.now());
            }
        });
    }

    @Override
    public void beginUpkeep(String machine, long wave) {
        reportOutcome(
                machine,
                context.ports()
                        .machines()
                        .beginUpkeep(machine, wave, context.settings().name(), token));
    }

    @Override
    public void move(String machine, String pool) {
        reportOutcome(
                machine,
                context.ports()
                        .machines()
                        .move(machine, pool, context.settings().name(), token));
    }

    private void reportOutcome(String machine, CompletableFuture<MachinePort.Outcome> call) {
        long current = token;
        context.onServiceThread(call, (outcome, failure) -> {
            if (token == current && plan != null) {
                plan.orderAnswered(
                        machine, failure == null ? toOrderOutcome(outcome) : OrderOutcome.UNKNOWN, context.now());
            }
        });
    }

    private static OrderOutcome toOrderOutcome(MachinePort.Outcome outcome) {
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
        expected.put(LiveEntries.ownerKey(MACHINES_CLAIM), token);
        expected.put(WAVE_KEY_PREFIX + wave, revision);
        List<StorePort.Put> puts = List.of(
                new StorePort.Put(WAVE_KEY_PREFIX + wave, state.getBytes(StandardCharsets.UTF_8), 0),
                new StorePort.Put(formats.waveStatusKey(wave), formats.waveStatus(wave, completed), 0));
        long current = token;
        context.onServiceThread(
                context.store().commit(new StorePort.Change(expected, puts, List.of())), (stored, failure) -> {
                    if (token != current || plan == null) {
                        return;
                    }
                    if (failure == null) {
                        plan.waveStored(wave, state, stored, context.now());
                    } else {
                        handleStoreFailure(wave, state, failure);
                    }
                });
    }

    private void handleStoreFailure(long wave, String state, Throwable failure) {
        context.logDecision(Decision.failure("wave-state-not-stored")
                .with("wave", wave)
                .with("failure", String.valueOf(failure.getMessage())));
        if (failure instanceof StoreFailure known && known.kind() == StoreFailure.Kind.CONFLICT) {
            for (StorePort.Item item : known.currentItems()) {
                boolean ours = item.key().equals(WAVE_KEY_PREFIX + wave)
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
        context.schedule(RETRY_DELAY_MILLIS, () -> {
            if (token == current && plan != null) {
                plan.waveStoreFailed(wave);
            }
        });
    }

    @Override
    public void ownershipLost(String machine) {
        context.logDecision(
                Decision.failure("machines-lost").with("machine", machine).with("token", token));
        context.execute(this::close);
    }

    @Override
    public void logDecision(Decision decision) {
        context.logDecision(decision);
    }
}
