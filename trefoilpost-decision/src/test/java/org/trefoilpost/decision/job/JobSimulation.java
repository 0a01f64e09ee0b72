package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.worker.Resources;

/** Two executors of one shard, workers and a store under faults, in virtual time and from one seed. */
final class JobSimulation {
    static final long FAULTS_MILLIS = 300_000;
    private static final long END_MILLIS = 1_500_000;
    private static final long TICK_MILLIS = 500;
    private static final int JOBS = 40;
    private static final int WORKERS = 6;

    final Map<String, Integer> counts = new HashMap<>();
    final List<FakeTaskWorker> workers = new ArrayList<>();
    JobDocument stored = JobDocument.EMPTY;
    int writes;

    private final Random random;
    private final long seed;
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(Comparator.<Event>comparingLong(e -> e.at).thenComparingLong(e -> e.order));
    private final List<Executor> executors = new ArrayList<>();
    private final Map<WorkerId, Long> unreachableUntil = new HashMap<>();
    private final List<Outage> outages = new ArrayList<>();
    private final Set<JobId> answered = new HashSet<>();
    private final Set<JobId> accepted = new HashSet<>();
    private long revision;
    private long now;
    private long order;
    private int generation;

    JobSimulation(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new FakeTaskWorker(WorkerId.of("w" + i)));
        }
        workers.get(0).failsAll = seed % 3 == 0;
        executors.add(new Executor());
        executors.add(new Executor());
    }

    JobSimulation run() {
        for (int i = 0; i < JOBS; i++) {
            JobSpec spec = spec(i);
            at(random.nextInt((int) FAULTS_MILLIS), () -> submit(spec));
        }
        for (int wave = 0; wave < 3; wave++) {
            Set<JobId> jobs = new HashSet<>();
            for (int i = 0; i < 6; i++) {
                jobs.add(JobId.of("j" + random.nextInt(JOBS)));
            }
            at(random.nextInt((int) FAULTS_MILLIS), () -> any().step(JobsCancelled.of(jobs)));
        }
        for (int i = 0; i < 12; i++) {
            at(random.nextInt((int) FAULTS_MILLIS), this::fault);
        }
        at(0, this::tick);
        while (!queue.isEmpty() && queue.peek().at <= END_MILLIS) {
            Event event = queue.poll();
            now = event.at;
            event.action.run();
        }
        workers.forEach(worker -> worker.advance(END_MILLIS));
        check();
        return this;
    }

    /** A caller repeats its submission until it is answered. */
    private void submit(JobSpec spec) {
        if (!answered.contains(spec.id())) {
            any().step(JobSubmitted.of(spec));
            at(now + 5_000, () -> submit(spec));
        }
    }

    private void fault() {
        FakeTaskWorker worker = workers.get(random.nextInt(WORKERS));
        switch (random.nextInt(4)) {
            case 0 -> {
                long until = now + random.nextInt(90_000);
                unreachableUntil.put(worker.id, until);
                outages.add(new Outage(worker.id, now, until));
            }
            case 1 -> executors.set(random.nextInt(2), new Executor());
            case 2 -> any().pausedUntil = now + random.nextInt(120_000);
            default -> planStops(worker);
        }
    }

    /** A plan of the fleet saves every task's progress, hands the texts to any executor, and reboots the worker. */
    private void planStops(FakeTaskWorker worker) {
        for (Job job : List.copyOf(stored.jobs().values())) {
            if (job.lease().isPresent() && job.lease().get().worker().equals(worker.id)) {
                CallTask call = CallTask.of(
                        TaskCallKind.CHECKPOINT, job.spec(), job.lease().get(), 0, job.checkpoint());
                TaskReported report = worker.call(call, now, random);
                if (report.outcome() == TaskOutcome.CHECKPOINTED && random.nextBoolean()) {
                    at(now + random.nextInt(500), () -> any().step(report));
                }
            }
        }
        outages.add(new Outage(worker.id, now, now + 20_000));
        at(now + 20_000, () -> worker.reboot(now));
    }

    private void tick() {
        int preferred = now < FAULTS_MILLIS && now / 40_000 % 2 == 1 ? 1 : 0;
        for (int i = 0; i < executors.size(); i++) {
            executors.get(i).tick(i == preferred || now < FAULTS_MILLIS && random.nextInt(30) == 0);
        }
        at(now + TICK_MILLIS, this::tick);
    }

    private Executor any() {
        return executors.get(random.nextInt(2));
    }

    private JobSpec spec(int i) {
        return JobSpec.builder(JobId.of("j" + i))
                .pool(JobFleets.POOL)
                .team(JobFleets.TEAM)
                .kind(i % 10 == 9 ? "poison" : "count")
                .requestClass(RequestClass.values()[random.nextInt(3)])
                .resources(Resources.of(4 + random.nextInt(20), 1_000, 0, 1))
                .runMillis(1_000 + random.nextInt(60_000))
                .checkpointable(random.nextBoolean())
                .build();
    }

    private void at(long time, Runnable action) {
        queue.add(new Event(time, order++, action));
    }

    private boolean faulty(int oneIn) {
        return now < FAULTS_MILLIS && random.nextInt(oneIn) == 0;
    }

    private void write(Executor executor, SaveShard save) {
        boolean delayed = faulty(15);
        boolean lost = delayed || faulty(15);
        at(now + (delayed ? random.nextInt(20_000) : random.nextInt(20)), () -> {
            writes++;
            boolean ok = save.expectedRevision() == revision;
            if (ok) {
                stored = save.document();
                revision++;
            }
            long written = revision;
            if (!lost) {
                SaveOutcome outcome = ok ? SaveOutcome.WRITTEN : SaveOutcome.CONFLICT;
                at(now + random.nextInt(20), () -> executor.step(ShardSaved.of(outcome, ok ? written : 0)));
            }
        });
        if (lost) {
            at(now + 2_000, () -> executor.step(ShardSaved.of(SaveOutcome.UNKNOWN, 0)));
        }
    }

    private void callWorker(Executor executor, CallTask call) {
        FakeTaskWorker worker = workers.stream()
                .filter(w -> w.id.equals(call.lease().worker()))
                .findFirst()
                .orElseThrow();
        TaskReported silent = TaskReported.of(
                call.spec().id(),
                worker.id,
                call.lease().epoch(),
                call.kind(),
                TaskOutcome.UNREACHABLE,
                "",
                TaskUsage.of(0, 0, 0));
        if (unreachableUntil.getOrDefault(worker.id, 0L) > now) {
            at(now + 2_000, () -> executor.step(silent));
            return;
        }
        boolean lost = faulty(10);
        long delay = lost ? random.nextInt(3_000) : random.nextInt(50);
        at(now + delay, () -> {
            TaskReported report = worker.call(call, now, random);
            if (!lost) {
                at(now + random.nextInt(50), () -> executor.step(report));
            }
        });
        if (lost) {
            at(now + 2_000, () -> executor.step(silent));
        }
    }

    private void check() {
        List<FakeTaskWorker.Run> runs = new ArrayList<>();
        workers.forEach(worker -> runs.addAll(worker.log));
        Map<JobId, List<FakeTaskWorker.Run>> byJob = new HashMap<>();
        runs.forEach(
                run -> byJob.computeIfAbsent(run.job, job -> new ArrayList<>()).add(run));
        byJob.forEach((job, own) -> {
            own.sort(Comparator.comparingLong(run -> run.start));
            for (int i = 1; i < own.size(); i++) {
                assertTrue(
                        own.get(i).start >= own.get(i - 1).end,
                        "seed " + seed + ": " + job + " ran twice at once, epochs " + own.get(i - 1).epoch + " and "
                                + own.get(i).epoch + " at " + own.get(i).start);
            }
        });
        for (JobId job : accepted) {
            Job kept = stored.job(job).orElseThrow(() -> new AssertionError("seed " + seed + ": lost " + job));
            assertTrue(ShardDraft.isEnded(kept), "seed " + seed + ": " + kept);
            long done = byJob.getOrDefault(job, List.of()).stream()
                    .filter(run -> run.state == TaskOutcome.DONE)
                    .count();
            assertTrue(kept.phase() != JobPhase.DONE || done >= 1, "seed " + seed + ": never ended " + kept);
            checkRepeats(job, byJob.getOrDefault(job, List.of()));
            assertTrue(kept.phase() != JobPhase.FAILED || done == 0, "seed " + seed + ": finished yet " + kept);
            assertTrue(kept.failedWorkers().size() <= 3, "seed " + seed + ": " + kept);
            counts.merge(kept.phase().code(), 1, Integer::sum);
        }
        counts.merge("runs", runs.size(), Integer::sum);
        counts.merge("writes", writes, Integer::sum);
        assertEquals(JOBS, stored.jobs().size(), "seed " + seed);
    }

    /** A finished job runs again only if its worker could not be asked, had forgotten the task, or had saved its end. */
    private void checkRepeats(JobId job, List<FakeTaskWorker.Run> own) {
        for (int i = 0; i + 1 < own.size(); i++) {
            FakeTaskWorker.Run run = own.get(i);
            long next = own.get(i + 1).start;
            boolean excused = outages.stream()
                    .anyMatch(outage -> outage.worker.equals(run.worker) && outage.from < next && outage.to > run.end);
            assertTrue(
                    run.state != TaskOutcome.DONE || excused || own.get(i + 1).resumes(run),
                    "seed " + seed + ": " + job + " ran again at " + next + " after its end at " + run.end);
            counts.merge("repeated", run.state == TaskOutcome.DONE ? 1 : 0, Integer::sum);
        }
    }

    private static final class Outage {
        private final WorkerId worker;
        private final long from;
        private final long to;

        Outage(WorkerId worker, long from, long to) {
            this.worker = worker;
            this.from = from;
            this.to = to;
        }
    }

    private static final class Event {
        private final long at;
        private final long order;
        private final Runnable action;

        Event(long at, long order, Runnable action) {
            this.at = at;
            this.order = order;
            this.action = action;
        }
    }

    /** An executor process; a replaced one is dead, and its calls under way still take effect. */
    private final class Executor {
        private final JobShard shard;
        private final List<JobEvent> held = new ArrayList<>();
        private long pausedUntil;

        Executor() {
            String name = "e" + generation++;
            shard = JobShard.of(0, name, JobPlacer.of(new KindEstimates(), new WorkerBlame()));
        }

        void tick(boolean active) {
            if (now >= pausedUntil) {
                List<JobEvent> late = List.copyOf(held);
                held.clear();
                late.forEach(this::step);
                step(FleetSeen.of(JobFleets.fleet(workers)));
                step(JobTick.of(active));
                if (random.nextInt(4) == 0) {
                    step(ShardLoaded.of(stored, revision));
                }
            }
        }

        void step(JobEvent event) {
            if (!executors.contains(this)) {
                if (event instanceof JobSubmitted || event instanceof JobsCancelled) {
                    executors.get(0).step(event);
                }
                return;
            }
            if (now < pausedUntil) {
                held.add(event);
                return;
            }
            shard.step(event, now).forEach(this::act);
        }

        private void told(AnswerJob answer) {
            if (answer.kind() == JobAnswerKind.ACCEPTED || answer.kind() == JobAnswerKind.REPEATED) {
                answered.add(answer.job());
                accepted.add(answer.job());
            }
        }

        private void act(JobAction action) {
            if (action instanceof LoadShard) {
                at(now + random.nextInt(20), () -> {
                    JobDocument document = stored;
                    long read = revision;
                    at(now + random.nextInt(20), () -> step(ShardLoaded.of(document, read)));
                });
            } else if (action instanceof SaveShard save) {
                write(this, save);
            } else if (action instanceof CallTask call) {
                callWorker(this, call);
            } else if (action instanceof AnswerJob answer) {
                told(answer);
            }
        }
    }

    /** Fleets of test workers. */
    static final class JobFleets {
        static final PoolName POOL = PoolName.of("pricing");
        static final org.trefoilpost.model.TeamName TEAM = org.trefoilpost.model.TeamName.of("lots");

        private JobFleets() {}

        static JobFleet fleet(List<FakeTaskWorker> workers) {
            List<JobWorker> pool = workers.stream()
                    .map(worker -> JobWorker.of(worker.id, worker.incarnation, Resources.of(32, 128_000, 0, 8), true))
                    .toList();
            return JobFleet.of(
                    Map.of(POOL, pool),
                    Map.of(TEAM, org.trefoilpost.model.configuration.TeamQuota.of(TEAM, 100, 1_000, 10)),
                    List.of());
        }
    }
}
