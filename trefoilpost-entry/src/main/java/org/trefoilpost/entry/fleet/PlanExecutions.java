package org.trefoilpost.entry.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.decision.plan.ConfirmedPlan;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.wave.BudgetExceeded;
import org.trefoilpost.decision.wave.StepLimits;
import org.trefoilpost.decision.wave.WaveResumed;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.decision.wave.WaveStateMachine;
import org.trefoilpost.decision.wave.WaveTick;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.configuration.PoolSettings;

/**
 * The executions of the confirmed plans that this entry owns. Confined to the fleet service's thread.
 */
final class PlanExecutions {
    private static final EventLog LOG = EventLog.of(PlanExecutions.class);

    /** How long a new execution gets no timeouts, so that the actions it resumes can complete first. */
    private static final long RESUME_GRACE_MILLIS = 5_000;

    /** The minimum time between two starts of the execution of a plan whose document could not be written. */
    private static final long MIN_RESTART_INTERVAL_MILLIS = 1_000;

    private static final Duration ADMIT_TIMEOUT = Duration.ofHours(4);

    private final FleetContext context;
    private final FleetState state;
    private final StepExecutor stepExecutor;
    private final PlanExecution.Callbacks callbacks;
    private final WorkOwnership ownership;
    private final Map<PlanDigest, PlanExecution> executions = new HashMap<>();

    PlanExecutions(
            FleetContext context,
            FleetState state,
            StepExecutor stepExecutor,
            PlanExecution.Callbacks callbacks,
            WorkOwnership ownership) {
        this.context = context;
        this.state = state;
        this.stepExecutor = stepExecutor;
        this.callbacks = callbacks;
        this.ownership = ownership;
    }

    /**
     * Advances the plans that this entry owns, and drops the executions of those that it no longer owns.
     *
     * @param nowMillis  the current time in milliseconds since the Unix epoch
     */
    void tick(long nowMillis) {
        executions
                .values()
                .removeIf(execution ->
                        execution.isEnded() && nowMillis - execution.startedMillis() >= MIN_RESTART_INTERVAL_MILLIS);
        for (ConfirmedPlan plan : state.documents().planIndex().document().plans()) {
            if (!plan.ended()) {
                tick(plan.digest(), nowMillis);
            }
        }
    }

    private void tick(PlanDigest digest, long nowMillis) {
        Versioned<WaveState> current = state.documents().plans().get(digest);
        if (!ownership.isOwnedHere(digest.text()) || current == null) {
            executions.remove(digest);
            return;
        }
        PlanExecution execution = executions.computeIfAbsent(digest, key -> start(current, nowMillis));
        if (nowMillis - execution.startedMillis() < RESUME_GRACE_MILLIS) {
            execution.handle(WaveResumed.INSTANCE, nowMillis);
            return;
        }
        reportExceededBudgets(execution, current.document(), nowMillis);
        execution.handle(WaveTick.INSTANCE, nowMillis);
    }

    private PlanExecution start(Versioned<WaveState> current, long nowMillis) {
        LOG.info(LogEvent.of("plan-executed-here")
                .with("plan", current.document().plan().digest().text()));
        WaveStateMachine stateMachine =
                WaveStateMachine.of(stepLimits(current.document().plan()));
        return new PlanExecution(context, stateMachine, stepExecutor, callbacks, current, nowMillis);
    }

    /** Returns the time limits of a plan's steps: the longest that any of the plan's pools sets. */
    private StepLimits stepLimits(Plan plan) {
        Duration drain = Duration.ZERO;
        Duration reboot = Duration.ZERO;
        for (PoolName name : plan.touchedPools()) {
            Optional<PoolSettings> pool = state.configuration().pool(name);
            drain = longest(drain, pool.map(PoolSettings::drainTimeout).orElse(PoolSettings.DEFAULT_DRAIN_TIMEOUT));
            reboot = longest(reboot, pool.map(PoolSettings::rebootTimeout).orElse(PoolSettings.DEFAULT_REBOOT_TIMEOUT));
        }
        return StepLimits.of(ADMIT_TIMEOUT, drain, drain, reboot, StepLimits.DEFAULT.maxAttempts());
    }

    private static Duration longest(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    private void reportExceededBudgets(PlanExecution execution, WaveState wave, long nowMillis) {
        for (PoolName pool : wave.plan().touchedPools()) {
            int headroom = state.figures(pool).headroom();
            if (headroom < 0) {
                execution.handle(BudgetExceeded.of(pool, -headroom), nowMillis);
            }
        }
    }
}
