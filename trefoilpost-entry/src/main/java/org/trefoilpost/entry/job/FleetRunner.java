package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.PoolInstructions;
import org.trefoilpost.decision.job.fleet.FleetActions;
import org.trefoilpost.decision.job.fleet.FleetPlanner;
import org.trefoilpost.decision.job.fleet.MachineView;
import org.trefoilpost.decision.job.fleet.OrderOutcome;
import org.trefoilpost.decision.job.fleet.OrderWindow;

/**
 * Runs the fleet plan at the one entry that owns the machines: carries out the upkeep and the moves of machines that it
 * decides, and passes the results to it. Used on the service's thread only. Results of calls that an earlier ownership
 * made are ignored.
 */
final class FleetRunner implements FleetActions, ClaimHolder {
    /** The name under which the machines are claimed like a pool; no pool has a name that contains {@code @}. */
    static final String MACHINES_CLAIM = "@machines";

    private static final String WAVE_KEY_PREFIX = "trefoilpost/wave/";
    private static final long RETRY_DELAY_MILLIS = 150;

    private final JobContext context;
    private final OwnerCalls ownerCalls;
    private final Supplier<Optional<Set<String>>> machinesWithWorkers;
    private final LongConsumer onOwnershipLost;
    private final RequestedWaves requestedWaves;
    private final OwnerCheck ownerCheck;
    private final Set<String> poolsWithCallInFlight = new HashSet<>();
    private JobConfiguration configuration;
    private FleetPlanner plan;
    private long firstToken;
    private long token;
    /** Counts the ownerships of this entry; a renewed claim continues the same ownership. */
    private long ownership;

    private boolean lapsed;
    private boolean listInFlight;
    private boolean stateLoaded;
    private volatile OrderWindow orderWindow = OrderWindow.UNLIMITED;

    /**
     * Constructs a runner without a claim.
     *
     * @param machinesWithWorkers  supplies the machines on which workers are registered, empty while that is not known
     * @param onOwnershipLost  receives the token with which the machines were lost
     */
    FleetRunner(
            JobContext context,
            OwnerCalls ownerCalls,
            Supplier<Optional<Set<String>>> machinesWithWorkers,
            LongConsumer onOwnershipLost) {
        this.context = context;
        this.ownerCalls = ownerCalls;
        this.machinesWithWorkers = machinesWithWorkers;
        this.onOwnershipLost = onOwnershipLost;
        this.requestedWaves = new RequestedWaves(context::logDecision);
        this.ownerCheck = new OwnerCheck(this, context, this::ownerConfirmed);
    }

    @Override
    public String pool() {
        return MACHINES_CLAIM;
    }

    @Override
    public long token() {
        return token;
    }

    @Override
    public long firstToken() {
        return firstToken;
    }

    @Override
    public long counterRevision() {
        return token;
    }

    @Override
    public boolean isLapsed() {
        return lapsed;
    }

    @Override
    public void claimLapsed() {
        if (plan != null && !lapsed) {
            lapsed = true;
            orderWindow = orderWindow.withoutConfirmation();
            context.logDecision(Decision.failure("claim-lapsed")
                    .with("pool", MACHINES_CLAIM)
                    .with("token", token));
        }
    }

    @Override
    public void claimRenewed(long newToken, Moment requested) {
        context.logDecision(Decision.of("claim-renewed")
                .with("pool", MACHINES_CLAIM)
                .with("token", newToken)
                .with("formerToken", token));
        lapsed = false;
        token = newToken;
        ownerConfirmed(requested);
    }

    /**
     * Allows orders for a short time after the request of a read or a renewal that shows the claim unchanged.
     */
    private void ownerConfirmed(Moment requested) {
        orderWindow = orderWindow.withConfirmation(requested);
    }

    @Override
    public boolean isOwnCounter(StorePort.Item counter) {
        return false;
    }

    @Override
    public void claimLost(String reason) {
        loseOwnership(reason);
    }

    void open(long newToken, JobConfiguration currentConfiguration) {
        firstToken = newToken;
        token = newToken;
        ownership++;
        lapsed = false;
        configuration = currentConfiguration;
        plan = new FleetPlanner(this, context.settings().maxMachineCallsPerSecond());
        orderWindow =
                context.settings().machineTokensCompared() ? OrderWindow.UNLIMITED : OrderWindow.ofClaim(context.now());
        stateLoaded = false;
        long openedOwnership = ownership;
        new WaveStateReader(
                        context,
                        WAVE_KEY_PREFIX,
                        plan,
                        () -> ownership == openedOwnership && plan != null,
                        this::waveStateLoaded)
                .start();
    }

    /**
     * Handles that owners have changed. Shortens the wait before the first order if the machines had no owner for some time
     * before this entry claimed them.
     */
    void ownersChanged(LiveEntries liveEntries) {
        liveEntries
                .ownerlessBeforeClaimMillis(MACHINES_CLAIM, token)
                .ifPresent(millis -> orderWindow = orderWindow.withHandoverSince(millis));
    }

    void close() {
        token = 0;
        ownership++;
        lapsed = false;
        plan = null;
        orderWindow = orderWindow.withoutConfirmation();
    }

    /**
     * Discards the last confirmation of the ownership, because the process was suspended for an unknown time.
     */
    void invalidateOwnerConfirmation() {
        orderWindow = orderWindow.withoutConfirmation();
    }

    void configure(JobConfiguration next) {
        configuration = next;
        if (plan != null) {
            plan.configure(next.pools(), next.sparePools());
        }
    }

    /**
     * Adds a wave, or replaces the one with its number.
     *
     * @param revision  the revision of the operators' item
     */
    void addWave(UpkeepWave wave, long revision) {
        if (requestedWaves.put(wave, revision, context.now())) {
            passWavesToPlan();
        }
    }

    void withdrawWave(long number) {
        if (requestedWaves.remove(number) && plan != null) {
            plan.withdrawWave(number);
        }
    }

    /**
     * Passes all requested waves to the plan, once the plan has loaded their stored state.
     */
    void passWavesToPlan() {
        if (plan != null && stateLoaded) {
            requestedWaves.passTo(plan, context.now());
        }
    }

    private void waveStateLoaded() {
        stateLoaded = true;
        plan.configure(configuration.pools(), configuration.sparePools());
        passWavesToPlan();
    }

    void tick(Moment now) {
        if (plan != null && stateLoaded) {
            plan.tick(!lapsed && orderWindow.includes(now), now);
            if (plan.isActive() && orderWindow.isConfirmationDue(now)) {
                ownerCheck.request(now);
            }
        }
    }

    private void loseOwnership(String reason) {
        context.logDecision(
                Decision.failure("machines-lost").with("token", token).with("reason", reason));
        onOwnershipLost.accept(token);
        close();
    }

    @Override
    public void listMachines() {
        if (listInFlight) {
            return;
        }
        listInFlight = true;
        long callOwnership = ownership;
        long requestedMillis = context.now().steadyMillis();
        context.call(() -> context.ports().machines().list(), (machines, failure) -> {
            listInFlight = false;
            if (ownership == callOwnership && plan != null) {
                Optional<Set<String>> withWorkers = machinesWithWorkers.get();
                if (failure == null && withWorkers.isPresent()) {
                    List<MachineView> views = new ArrayList<>();
                    machines.forEach(machine -> views.add(MachineConversions.toView(machine)));
                    plan.machinesWithWorkers(withWorkers.get());
                    plan.machinesListed(views, requestedMillis, context.now());
                } else {
                    context.logDecision(Decision.failure("machine-list-failed")
                            .with("failure", failure == null ? "workers not read yet" : String.valueOf(failure)));
                    plan.listFailed(context.now());
                }
            }
        });
    }

    @Override
    public void instruct(String pool, PoolInstructions instructions) {
        if (!poolsWithCallInFlight.add(pool)) {
            return;
        }
        long callOwnership = ownership;
        context.call(() -> ownerCalls.instruct(pool, instructions), (demand, failure) -> {
            poolsWithCallInFlight.remove(pool);
            if (ownership == callOwnership && plan != null && failure == null) {
                plan.load(pool, instructions.evacuating(), demand, context.now());
            }
        });
    }

    @Override
    public void beginUpkeep(String machine, long wave) {
        reportOutcome(machine, () -> context.ports().machines().beginUpkeep(machine, wave, orderAuthority()));
    }

    @Override
    public void move(String machine, String pool) {
        reportOutcome(machine, () -> context.ports().machines().move(machine, pool, orderAuthority()));
    }

    private MachinePort.Authority orderAuthority() {
        OrderWindow window = orderWindow;
        return new MachinePort.Authority(context.settings().name(), token, () -> window.includes(context.now()));
    }

    private void reportOutcome(String machine, Supplier<CompletableFuture<MachinePort.Outcome>> call) {
        long callOwnership = ownership;
        context.call(call, (outcome, failure) -> {
            if (ownership == callOwnership && plan != null) {
                plan.orderAnswered(
                        machine,
                        failure == null ? MachineConversions.toOrderOutcome(outcome) : OrderOutcome.UNKNOWN,
                        context.now());
            }
        });
    }

    @Override
    public void storeWave(long wave, String state, long revision, boolean completed) {
        PlatformFormats formats = context.ports().formats();
        Map<String, Long> expected = new HashMap<>();
        expected.put(LiveEntries.ownerKey(MACHINES_CLAIM), token);
        expected.put(WAVE_KEY_PREFIX + wave, revision);
        if (completed) {
            expected.put(formats.waveKey(wave), requestedWaves.revision(wave));
        }
        List<StorePort.Put> puts = List.of(
                new StorePort.Put(WAVE_KEY_PREFIX + wave, state.getBytes(StandardCharsets.UTF_8), 0),
                new StorePort.Put(formats.waveStatusKey(wave), formats.waveStatus(wave, completed), 0));
        long callOwnership = ownership;
        long callToken = token;
        context.call(
                () -> context.store().commit(new StorePort.Change(expected, puts, List.of())),
                (storedRevision, failure) -> {
                    if (ownership != callOwnership || plan == null) {
                        return;
                    }
                    if (failure == null) {
                        plan.waveStored(wave, state, storedRevision, context.now());
                    } else {
                        handleStoreFailure(wave, state, revision, callToken, failure);
                    }
                });
    }

    private void handleStoreFailure(long wave, String state, long expectedRevision, long callToken, Throwable failure) {
        context.logDecision(Decision.failure("wave-state-not-stored")
                .with("wave", wave)
                .with("failure", String.valueOf(failure.getMessage())));
        if (failure instanceof StoreFailure storeFailure && storeFailure.kind() == StoreFailure.Kind.CONFLICT) {
            handleConflict(wave, state, expectedRevision, callToken, storeFailure);
            return;
        }
        retryStoring(wave);
    }

    private void retryStoring(long wave) {
        long callOwnership = ownership;
        context.schedule(RETRY_DELAY_MILLIS, () -> {
            if (ownership == callOwnership && plan != null) {
                plan.waveStoreFailed(wave);
            }
        });
    }

    /**
     * Handles a conflict. While the claim stands, only this owner changes the progress of waves, so a new revision is that
     * of an earlier change whose answer was lost. If neither has changed, operators have written a request that this entry
     * has yet to learn of. A conflict under a claim that was renewed since says nothing of the present claim; while the claim has lapsed,
     * a renewal whose answer has yet to be handled may have written the owner's key.
     */
    private void handleConflict(long wave, String state, long expectedRevision, long callToken, StoreFailure failure) {
        Optional<StorePort.Item> owner = failure.currentItem(LiveEntries.ownerKey(MACHINES_CLAIM));
        Optional<StorePort.Item> progress = failure.currentItem(WAVE_KEY_PREFIX + wave);
        long revision = progress.map(StorePort.Item::revision).orElse(0L);
        boolean alreadyStored = progress.map(item -> new String(item.value(), StandardCharsets.UTF_8).equals(state))
                .orElse(false);
        if (alreadyStored && revision != expectedRevision) {
            plan.waveStored(wave, state, revision, context.now());
        } else if (callToken != token || lapsed) {
            retryStoring(wave);
        } else if (owner.isEmpty()) {
            claimLapsed();
            retryStoring(wave);
        } else if (owner.get().revision() != token) {
            loseOwnership("conflict");
        } else if (revision == expectedRevision) {
            retryStoring(wave);
        } else {
            plan.waveRevisionChanged(wave, revision);
        }
    }

    @Override
    public void ownershipLost(String machine) {
        context.execute(() -> {
            if (plan != null) {
                loseOwnership("machine " + machine);
            }
        });
    }

    @Override
    public void logDecision(Decision decision) {
        context.logDecision(decision);
    }
}
