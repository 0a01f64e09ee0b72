package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.QueueConfig;
import org.trefoilpost.decision.job.RegisteredWorker;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.WorkerAddress;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.team.TeamConfig;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Emulates several pools with one store, whose teams have caps, and checks what the workers run for each team.
 */
final class TeamPools {
    private static final int MAX_ATTEMPTS = 1_000;
    private static final ResourceAmount WORKER_CAPACITY = new ResourceAmount(16_000, 32_768, 2);
    /** Time after its replacement for which a configuration may be in force. */
    private static final long CONFIG_APPLY_MILLIS = 2_000;

    private static final int MAX_TRACE_LINES = 60;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final InvariantChecker checks = new InvariantChecker(time);
    private final EmulatedTeamKeys keys = new EmulatedTeamKeys();
    private final Map<String, EmulatedStore> jobStores = new TreeMap<>();
    private final Map<String, EmulatedWorker> workers = new TreeMap<>();
    private final Map<String, QueueConfig> queues = new LinkedHashMap<>();
    private final Map<String, TeamPoolOwner> owners = new TreeMap<>();
    /** All owners of all pools that were not killed, also those that have lost their pool. */
    private final List<TeamPoolOwner> allOwners = new ArrayList<>();

    private final Map<String, JobSpec> jobs = new LinkedHashMap<>();
    private final Map<String, String> poolOfJob = new HashMap<>();
    private final Map<String, Long> workMillis = new HashMap<>();
    private final Map<String, JobPhase> phases = new HashMap<>();
    /** When each former configuration of the teams was replaced. */
    private final Map<Teams, Long> formerTeams = new IdentityHashMap<>();

    private final List<String> trace = new ArrayList<>();
    private final Map<String, Integer> decisionCounts = new TreeMap<>();
    private Teams teams;
    private int lostPerThousand;
    private int lastJob;

    TeamPools(long seed, int poolCount, int workersPerPool, Teams teams) {
        this.random = new Random(seed);
        this.teams = teams;
        for (int i = 1; i <= poolCount; i++) {
            String pool = "p" + i;
            jobStores.put(pool, new EmulatedStore());
            queues.put(
                    "q" + i,
                    new QueueConfig("q" + i, "h", "/q/", pool, 0, MAX_ATTEMPTS, 50, 600_000, Optional.empty(), false));
            for (int worker = 1; worker <= workersPerPool; worker++) {
                String id = pool + "w" + worker;
                RegisteredWorker report = new RegisteredWorker(
                        id,
                        "m-" + id,
                        pool,
                        WorkerAddress.of("10.0.0.1", 80),
                        "dc",
                        List.of("a", "r1"),
                        WORKER_CAPACITY,
                        false);
                workers.put(id, new EmulatedWorker(time, checks, random, report));
            }
        }
        jobStores.keySet().forEach(this::startOwner);
    }

    VirtualTime time() {
        return time;
    }

    Random random() {
        return random;
    }

    InvariantChecker checks() {
        return checks;
    }

    EmulatedTeamKeys keys() {
        return keys;
    }

    EmulatedStore jobs(String pool) {
        return jobStores.get(pool);
    }

    List<String> names() {
        return List.copyOf(jobStores.keySet());
    }

    Map<String, QueueConfig> queues() {
        return queues;
    }

    EmulatedWorker worker(String id) {
        return workers.get(id);
    }

    List<EmulatedWorker> workers(String pool) {
        return workers.values().stream()
                .filter(worker -> worker.report().pool().equals(pool))
                .toList();
    }

    List<RegisteredWorker> listedWorkers(String pool) {
        return workers(pool).stream()
                .filter(EmulatedWorker::isAlive)
                .map(EmulatedWorker::report)
                .toList();
    }

    TeamPoolOwner owner(String pool) {
        return owners.get(pool);
    }

    int lostPerThousand() {
        return lostPerThousand;
    }

    void lostPerThousand(int value) {
        lostPerThousand = value;
    }

    /**
     * Starts a new owner of a pool, whether or not the former one still runs.
     */
    void startOwner(String pool) {
        jobStores.get(pool).claim();
        TeamPoolOwner owner = new TeamPoolOwner(this, pool, keys.claim(pool), teams);
        owners.put(pool, owner);
        allOwners.add(owner);
    }

    /**
     * Changes the teams; each owner applies the change within a second.
     */
    void configure(Teams changed) {
        formerTeams.put(teams, time.nowMillis());
        teams = changed;
        for (TeamPoolOwner owner : allOwners) {
            time.schedule(random.nextInt(1_000), () -> owner.configure(changed));
        }
    }

    String submit(Optional<String> team, String pool, StepSpec step, long taskMillis) {
        String id = String.format("%016x", ++lastJob);
        JobSpec job = new JobSpec(id, "q" + pool.substring(1), "text of " + id, List.of(step), JobSpec.Schedule.ONCE)
                .withTeam(team);
        jobs.put(id, job);
        poolOfJob.put(id, pool);
        workMillis.put(id, taskMillis);
        checks.jobSubmitted(job, MAX_ATTEMPTS);
        owner(pool).submit(job);
        return id;
    }

    EmulatedWorker.StartContext startContext(WorkerOrder.Start order) {
        StepSpec step = jobs.get(order.task().job()).steps().get(0);
        long work = workMillis.get(order.task().job());
        return new EmulatedWorker.StartContext(
                step.demand(), work / 2 + random.nextInt((int) work), step.longRunning());
    }

    /**
     * Checks the limit of a job's team after a start.
     */
    void started(String job, String pool) {
        Optional<String> team = jobs.get(job).team();
        if (team.isEmpty()) {
            return;
        }
        ResourceAmount running = running(team.get());
        ResourceAmount cap = highestCap(team.get());
        StepSpec step = jobs.get(job).steps().get(0);
        ResourceAmount alone = step.gang() ? gangAlone(step, cap) : step.demand();
        if (!fits(running, cap) && !fits(running, alone)) {
            checks.addViolation("CAP " + team.get() + " runs " + running + " of " + cap + " after a start of " + job
                    + " in " + pool + "\n" + recentTrace());
        }
    }

    /**
     * Returns what a gang may use that runs alone: it may exceed the cap by at most one task.
     */
    private static ResourceAmount gangAlone(StepSpec gang, ResourceAmount cap) {
        ResourceAmount all = gang.demand().times(gang.count());
        return fits(all.minus(gang.demand()), cap) ? all : ResourceAmount.NONE;
    }

    private static boolean fits(ResourceAmount amount, ResourceAmount cap) {
        return (cap.cpuMillis() == 0 || amount.cpuMillis() <= cap.cpuMillis())
                && (cap.memoryMb() == 0 || amount.memoryMb() <= cap.memoryMb())
                && (cap.accelerators() == 0 || amount.accelerators() <= cap.accelerators());
    }

    /**
     * Returns the highest cap that may be in force: that of an owner which still runs, or one replaced a short time ago.
     */
    private ResourceAmount highestCap(String team) {
        List<ResourceAmount> caps = new ArrayList<>();
        for (TeamPoolOwner owner : allOwners) {
            if (!owner.isStopped()) {
                caps.add(owner.teams().team(team).map(TeamConfig::cap).orElse(ResourceAmount.NONE));
            }
        }
        formerTeams.forEach((former, replacedMillis) -> {
            if (time.nowMillis() - replacedMillis < CONFIG_APPLY_MILLIS) {
                caps.add(former.team(team).map(TeamConfig::cap).orElse(ResourceAmount.NONE));
            }
        });
        return new ResourceAmount(
                highest(caps.stream().map(ResourceAmount::cpuMillis).toList()),
                highest(caps.stream().map(ResourceAmount::memoryMb).toList()),
                highest(caps.stream().map(ResourceAmount::accelerators).toList()));
    }

    private static long highest(List<Long> limits) {
        return limits.contains(0L)
                ? 0
                : limits.stream().mapToLong(Long::longValue).max().orElse(0);
    }

    ResourceAmount running(String team) {
        return running(team, worker -> true);
    }

    ResourceAmount running(String team, Predicate<EmulatedWorker> included) {
        ResourceAmount sum = ResourceAmount.NONE;
        for (EmulatedWorker worker : workers.values()) {
            if (included.test(worker)) {
                sum = sum.plus(worker.usedBy(job -> jobs.get(job).team().equals(Optional.of(team))));
            }
        }
        return sum;
    }

    ResourceAmount running(String team, String pool) {
        return running(team, worker -> worker.report().pool().equals(pool));
    }

    boolean isRunning(String job) {
        return workers.values().stream()
                .anyMatch(worker -> !worker.usedBy(job::equals).equals(ResourceAmount.NONE));
    }

    Map<String, JobSpec> jobs() {
        return jobs;
    }

    String poolOf(String job) {
        return poolOfJob.get(job);
    }

    JobPhase phase(String job) {
        return phases.get(job);
    }

    List<TeamPoolOwner> allOwners() {
        return allOwners;
    }

    Teams teams() {
        return teams;
    }

    void phaseStored(String job, JobPhase phase) {
        phases.put(job, phase);
        checks.jobAccepted(job);
        if (phase == JobPhase.COMPLETED && !jobs.get(job).steps().get(0).gang()) {
            checks.jobShownCompleted(job);
        }
    }

    void recordDecision(String owner, Decision decision) {
        decisionCounts.merge(decision.name(), 1, Integer::sum);
        if (decision.name().startsWith("grant-") || decision.name().startsWith("pool-")) {
            trace.add(time.nowMillis() + " " + owner + " " + decision.name() + " " + decision.inputs());
        }
    }

    int decisionCount(String name) {
        return decisionCounts.getOrDefault(name, 0);
    }

    String recentTrace() {
        return String.join("\n", trace.subList(Math.max(0, trace.size() - MAX_TRACE_LINES), trace.size()));
    }
}
