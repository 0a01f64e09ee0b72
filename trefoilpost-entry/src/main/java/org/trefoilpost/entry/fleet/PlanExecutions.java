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
 * The confirmed plans that this entry executes. The duty's thread owns it.
 */
final class PlanExecutions {
    private static final EventLog LOG = EventLog.of(PlanExecutions.class);
    /** The time for which a plan that is taken up gets no timeouts, so that its acts can be answered first. */
    private static final long RESUME_GRACE_MILLIS = 5_000;

    /** The least time between two take-ups of a plan whose document could not be written. */
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
            StepExecutor acts,
            PlanExecution.Callbacks host,
            WorkOwnership responsibility) {
        this.context = context;
        this.state = state;
        this.stepExecutor = acts;
        this.callbacks = host;
        this.ownership = responsibility;
    }

    /**
     * Moves the plans on that are this entry's to execute.
     *
     * @param nowMillis  the present time in milliseconds since 1970
     */
    void tick(long nowMillis) {
        executions
                .values()
                .removeIf(run -> run.isEnded() && nowMillis - run.startedMillis() >= MIN_RESTART_INTERVAL_MILLIS);
        for (ConfirmedPlan plan : state.documents().planIndex().document().plans()) {
            if (!plan.ended()) {
                tick(plan.digest(), nowMillis);
            }
        }
    }

    private void tick(PlanDigest digest, long nowMillis) {
        Versioned<WaveState> present = state.documents().plans().get(digest);
        if (!ownership.isOwnedHere(digest.text()) || present == null) {
            executions.remove(digest);
            return;
        }
        PlanExecution run = executions.computeIfAbsent(digest, key -> start(present, nowMillis));
        if (nowMillis - run.startedMillis() < RESUME_GRACE_MILLIS) {
            run.handle(WaveResumed.INSTANCE, nowMillis);
            return;
        }
        reportExceededBudgets(run, present.document(), nowMillis);
        run.handle(WaveTick.INSTANCE, nowMillis);
    }

    private PlanExecution start(Versioned<WaveState> present, long nowMillis) {
        LOG.info(LogEvent.of("plan-executed-here")
                .with("plan", present.document().plan().digest().text()));
        WaveStateMachine stepper =
                WaveStateMachine.of(stepLimits(present.document().plan()));
        return new PlanExecution(context, stepper, stepExecutor, callbacks, present, nowMillis);
    }

    /** Returns the time limits of a plan: the longest that its pools allow. */
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

    private static Duration longest(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private void reportExceededBudgets(PlanExecution run, WaveState wave, long nowMillis) {
        for (PoolName pool : wave.plan().touchedPools()) {
            int headroom = state.figures(pool).headroom();
            if (headroom < 0) {
                run.handle(BudgetExceeded.of(pool, -headroom), nowMillis);
            }
        }
    }
}
