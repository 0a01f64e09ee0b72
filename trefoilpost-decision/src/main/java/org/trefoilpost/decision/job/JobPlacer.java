package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.TeamQuota;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.worker.Resources;

/**
 * Chooses workers for waiting jobs: the urgent first, then those whose deadline is nearest.
 */
public final class JobPlacer {
    private static final double DEADLINE_SAFETY = 1.5;

    private static final Comparator<Job> ORDER = Comparator.comparing(
                    (Job job) -> job.spec().requestClass())
            .thenComparing(job -> job.spec().deadlineMillis().orElse(Long.MAX_VALUE))
            .thenComparing(Job::sinceMillis)
            .thenComparing(job -> job.spec().id());

    private final KindEstimates estimates;
    private final WorkerBlame blame;

    private JobPlacer(KindEstimates estimates, WorkerBlame blame) {
        this.estimates = estimates;
        this.blame = blame;
    }

    /**
     * Obtains a placer.
     *
     * @param estimates  the learned corrections, not null
     * @param blame  the workers that fail jobs, not null
     * @return the placer, not null
     */
    public static JobPlacer of(KindEstimates estimates, WorkerBlame blame) {
        return new JobPlacer(estimates, blame);
    }

    /**
     * Returns the learned corrections.
     *
     * @return the corrections, not null
     */
    public KindEstimates estimates() {
        return estimates;
    }

    /**
     * Returns the workers that fail jobs.
     *
     * @return the workers, not null
     */
    public WorkerBlame blame() {
        return blame;
    }

    /**
     * Decides on the waiting jobs.
     *
     * @param waiting  the waiting jobs, not null
     * @param tasks  all tasks that hold resources, those of other shards included, not null
     * @param fleet  the fleet, not null
     * @param nowMillis  the present time in milliseconds since 1970
     * @return the decisions, not null
     */
    public Placement place(List<Job> waiting, List<JobTask> tasks, JobFleet fleet, long nowMillis) {
        Round round = new Round(tasks, fleet, nowMillis);
        waiting.stream().sorted(ORDER).forEach(round::decide);
        return Placement.of(round.starts, round.preemptions, round.refusals, round.late);
    }

    /**
     * Returns why a job can never run, whatever else runs.
     *
     * @param spec  the job, not null
     * @param fleet  the fleet, not null
     * @return the reason with the resource, not null, empty if the job may fit once there is room
     */
    public Optional<String> neverFits(JobSpec spec, JobFleet fleet) {
        TeamQuota quota = fleet.quotas().get(spec.team());
        if (quota != null && spec.resources().cores() > quota.cores()) {
            return Optional.of("cores: the quota of team " + spec.team() + " is " + quota.cores());
        }
        if (quota != null && spec.resources().accelerators() > quota.accelerators()) {
            return Optional.of("accelerators: the quota of team " + spec.team() + " is " + quota.accelerators());
        }
        List<JobWorker> pool = fleet.pools().getOrDefault(spec.pool(), List.of());
        if (pool.isEmpty() || pool.stream().anyMatch(worker -> worker.capacity().covers(spec.resources()))) {
            return Optional.empty();
        }
        return Optional.of(shortResource(spec, pool));
    }

    /** Returns what quotas count; the memory of a large fleet in MiB would overflow a sum. */
    private static Resources counted(JobSpec spec) {
        return Resources.of(spec.resources().cores(), 0, spec.resources().accelerators(), 0);
    }

    private static String shortResource(JobSpec spec, List<JobWorker> pool) {
        Map<String, ToIntFunction<Resources>> kinds = new TreeMap<>();
        kinds.put("cores", Resources::cores);
        kinds.put("memoryMb", Resources::memoryMb);
        kinds.put("accelerators", Resources::accelerators);
        kinds.put("slots", Resources::slots);
        for (Map.Entry<String, ToIntFunction<Resources>> kind : kinds.entrySet()) {
            int most = pool.stream()
                    .mapToInt(worker -> kind.getValue().applyAsInt(worker.capacity()))
                    .max()
                    .orElse(0);
            if (kind.getValue().applyAsInt(spec.resources()) > most) {
                return kind.getKey() + ": no worker of pool " + spec.pool() + " has more than " + most;
            }
        }
        return "cores, memoryMb, accelerators and slots together: no worker of pool " + spec.pool() + " has all";
    }

    private final class Round {
        private final JobFleet fleet;
        private final long nowMillis;
        private final List<JobTask> tasks;
        private final Map<PoolName, PoolCapacity> capacities = new HashMap<>();
        private final Map<PoolName, Set<WorkerId>> closed = new HashMap<>();
        private final Map<TeamName, Resources> teams = new HashMap<>();
        private final Map<JobId, JobWorker> starts = new TreeMap<>();
        private final List<JobId> preemptions = new ArrayList<>();
        private final Map<JobId, String> refusals = new TreeMap<>();
        private final List<JobId> late = new ArrayList<>();
        private final Set<WorkerId> reserved = new HashSet<>();

        Round(List<JobTask> tasks, JobFleet fleet, long nowMillis) {
            this.fleet = fleet;
            this.nowMillis = nowMillis;
            this.tasks = tasks;
            tasks.forEach(task -> teams.merge(task.spec().team(), counted(task.spec()), Resources::plus));
        }

        void decide(Job job) {
            JobSpec spec = job.spec();
            Optional<String> never = neverFits(spec, fleet);
            if (never.isPresent()) {
                refusals.put(spec.id(), never.get());
                return;
            }
            if (withinQuota(spec)) {
                start(job);
            }
            if (!starts.containsKey(spec.id()) && isLate(spec)) {
                late.add(spec.id());
            }
        }

        private void start(Job job) {
            JobSpec spec = job.spec();
            PoolCapacity capacity = capacity(spec.pool());
            Set<WorkerId> excluded = new HashSet<>(closed.get(spec.pool()));
            excluded.addAll(job.failedWorkers());
            Resources need = need(spec);
            Optional<JobWorker> worker = capacity.tightest(need, excluded);
            if (worker.isPresent()) {
                starts.put(spec.id(), worker.get());
                capacity.take(worker.get().id(), need);
                if (blame.isBlamed(worker.get().id())) {
                    closed.get(spec.pool()).add(worker.get().id());
                }
                teams.merge(spec.team(), counted(spec), Resources::plus);
            } else if (spec.requestClass() == RequestClass.URGENT) {
                makeRoom(capacity, need, excluded);
            }
        }

        private void makeRoom(PoolCapacity capacity, Resources need, Set<WorkerId> excluded) {
            List<JobTask> best = null;
            WorkerId bestWorker = null;
            Map<WorkerId, List<JobTask>> byWorker = new HashMap<>();
            tasks.forEach(task -> byWorker.computeIfAbsent(task.worker(), worker -> new ArrayList<>())
                    .add(task));
            for (JobWorker worker : capacity.workers()) {
                if (excluded.contains(worker.id()) || reserved.contains(worker.id())) {
                    continue;
                }
                Optional<List<JobTask>> victims =
                        victims(capacity.free(worker.id()), need, byWorker.getOrDefault(worker.id(), List.of()));
                if (victims.isPresent() && (best == null || cost(victims.get()) < cost(best))) {
                    best = victims.get();
                    bestWorker = worker.id();
                }
            }
            if (best != null) {
                reserved.add(bestWorker);
                capacity.take(bestWorker, need);
                best.forEach(task -> preemptions.add(task.spec().id()));
            }
        }

        private Optional<List<JobTask>> victims(Resources free, Resources need, List<JobTask> running) {
            Resources room = free;
            for (JobTask task : running) {
                room = task.isEnding() ? room.plus(need(task.spec())) : room;
            }
            List<JobTask> victims = new ArrayList<>();
            List<JobTask> order = running.stream()
                    .filter(task -> !task.isEnding()
                            && task.spec().isCheckpointable()
                            && task.spec().requestClass() != RequestClass.URGENT)
                    .sorted(Comparator.comparing((JobTask task) -> task.spec().requestClass())
                            .reversed()
                            .thenComparing(task -> -task.spec().resources().cores()))
                    .toList();
            for (JobTask task : order) {
                if (room.covers(need)) {
                    break;
                }
                room = room.plus(need(task.spec()));
                victims.add(task);
            }
            return room.covers(need) ? Optional.of(victims) : Optional.empty();
        }

        private int cost(List<JobTask> victims) {
            int bulk = (int) victims.stream()
                    .filter(task -> task.spec().requestClass() == RequestClass.BULK)
                    .count();
            return bulk + (victims.size() - bulk) * tasks.size();
        }

        private PoolCapacity capacity(PoolName pool) {
            return capacities.computeIfAbsent(pool, name -> {
                PoolCapacity capacity = PoolCapacity.of(fleet.pools().getOrDefault(name, List.of()));
                closed.put(name, blame.closed(capacity.workers(), nowMillis));
                tasks.forEach(task -> capacity.take(task.worker(), need(task.spec())));
                return capacity;
            });
        }

        private Resources need(JobSpec spec) {
            Resources corrected = estimates.need(spec);
            List<JobWorker> pool = fleet.pools().getOrDefault(spec.pool(), List.of());
            boolean fits = pool.stream().anyMatch(worker -> worker.capacity().covers(corrected));
            return fits ? corrected : spec.resources();
        }

        private boolean withinQuota(JobSpec spec) {
            TeamQuota quota = fleet.quotas().get(spec.team());
            Resources used = teams.getOrDefault(spec.team(), Resources.NONE).plus(counted(spec));
            return quota == null || used.cores() <= quota.cores() && used.accelerators() <= quota.accelerators();
        }

        private boolean isLate(JobSpec spec) {
            long needed = (long) (estimates.runMillis(spec) * DEADLINE_SAFETY);
            return spec.deadlineMillis()
                    .filter(deadline -> nowMillis + needed > deadline)
                    .isPresent();
        }
    }
}
