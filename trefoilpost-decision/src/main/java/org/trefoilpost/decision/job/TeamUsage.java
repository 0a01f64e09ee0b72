package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.TeamDemand;
import org.trefoilpost.decision.job.team.TeamShares;

/**
 * What the teams of the configuration use of a pool and wait for.
 *
 * <p>Work without a team, and best-effort work, has no share: what it uses is not available to the teams.
 */
final class TeamUsage {
    /** Share of a pool's capacity that tasks occupy before further tasks no longer fit. */
    private static final double USABLE_SHARE = 0.85;

    private final PoolState state;
    private final Map<String, ResourceAmount> used = new HashMap<>();
    private final Map<String, ResourceAmount> longRunning = new HashMap<>();
    private final Map<String, ResourceAmount> waiting = new HashMap<>();
    private ResourceAmount capacity = ResourceAmount.NONE;
    /** The processor capacity on which teams can rely, in thousandths of a core; less than a well packed pool uses. */
    private long reliableCpu;

    private TeamUsage(PoolState state) {
        this.state = state;
    }

    /**
     * Obtains the present use; waiting tasks are to be added.
     */
    static TeamUsage of(PoolState state) {
        TeamUsage usage = new TeamUsage(state);
        ResourceAmount total = ResourceAmount.NONE;
        ResourceAmount reserved = ResourceAmount.NONE;
        ResourceAmount withoutShare = ResourceAmount.NONE;
        for (PoolWorker worker : state.workers.values()) {
            boolean usable = worker.listed && !worker.ended && !worker.evacuating && !worker.registration.draining();
            if (usable) {
                total = total.plus(worker.registration.capacity());
                reserved = reserved.plus(worker.usedResources);
            }
            for (Run run : worker.runs.values()) {
                boolean hasShare = usage.addRun(run);
                withoutShare = usable && !hasShare ? withoutShare.plus(run.reserved()) : withoutShare;
            }
        }
        usage.capacity = usable(total, reserved).minus(withoutShare);
        usage.reliableCpu =
                usable(total, ResourceAmount.NONE).minus(withoutShare).cpuMillis();
        return usage;
    }

    private boolean addRun(Run run) {
        Optional<TeamConfig> team = teamOf(run.task.step);
        team.ifPresent(config -> {
            used.merge(config.name(), run.reserved(), ResourceAmount::plus);
            if (run.task.step.spec.longRunning()) {
                longRunning.merge(config.name(), run.reserved(), ResourceAmount::plus);
            }
        });
        return team.isPresent();
    }

    /**
     * Returns the capacity that tasks can occupy: at least what they do occupy.
     */
    private static ResourceAmount usable(ResourceAmount total, ResourceAmount reserved) {
        return new ResourceAmount(
                Math.max(reserved.cpuMillis(), (long) (total.cpuMillis() * USABLE_SHARE)),
                Math.max(reserved.memoryMb(), (long) (total.memoryMb() * USABLE_SHARE)),
                total.accelerators());
    }

    /**
     * Returns the team whose share a step counts against, empty if it counts against none.
     */
    Optional<TeamConfig> teamOf(JobStepState step) {
        return step.spec.bestEffort()
                ? Optional.empty()
                : step.occurrence.job.spec.team().flatMap(state.teams::team);
    }

    /**
     * Adds the waiting tasks of a step.
     */
    void addWaiting(JobStepState step) {
        teamOf(step).ifPresent(team -> waiting.merge(team.name(), step.waitingDemand(), ResourceAmount::plus));
    }

    /**
     * Adds the steps without predecessors of a submitted job.
     */
    void addWaiting(JobSpec job) {
        job.team()
                .flatMap(state.teams::team)
                .ifPresent(team -> waiting.merge(team.name(), initialDemand(job), ResourceAmount::plus));
    }

    /**
     * Returns the resources of the tasks of a job that can start at once, without best-effort ones.
     */
    static ResourceAmount initialDemand(JobSpec job) {
        ResourceAmount demand = ResourceAmount.NONE;
        for (StepSpec step : job.steps()) {
            if (step.after().isEmpty() && !step.bestEffort()) {
                demand = demand.plus(step.reservedDemand().times(step.count()));
            }
        }
        return demand;
    }

    /**
     * Returns the resources of a team's runs.
     */
    ResourceAmount use(String team) {
        return used.getOrDefault(team, ResourceAmount.NONE);
    }

    /**
     * Returns the processor capacity that a team's work is certain to get, less what its long-running tasks hold, in
     * thousandths of a core.
     */
    double guaranteedCpu(String team, TeamShares shares) {
        long held = longRunning.getOrDefault(team, ResourceAmount.NONE).cpuMillis();
        return Math.max(0, shares.share(team) * reliableCpu - held);
    }

    /**
     * Returns the teams' shares if a further job was accepted.
     */
    TeamShares sharesWith(JobSpec job) {
        TeamUsage usage = new TeamUsage(state);
        usage.used.putAll(used);
        usage.waiting.putAll(waiting);
        usage.capacity = capacity;
        usage.addWaiting(job);
        return usage.shares();
    }

    /**
     * Returns the teams' shares.
     */
    TeamShares shares() {
        Map<String, TeamDemand> demands = new TreeMap<>();
        for (TeamConfig team : state.teams.all()) {
            ResourceAmount teamWaiting = waiting.getOrDefault(team.name(), ResourceAmount.NONE);
            ResourceAmount teamUse = use(team.name());
            if (!teamUse.plus(teamWaiting).equals(ResourceAmount.NONE)) {
                demands.put(team.name(), new TeamDemand(team.weight(), teamUse, teamWaiting));
            }
        }
        return TeamShares.of(capacity, demands);
    }
}
