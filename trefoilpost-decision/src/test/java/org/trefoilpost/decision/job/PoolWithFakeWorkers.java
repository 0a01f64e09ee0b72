package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.job.team.Teams;

/**
 * A pool whose workers answer at once, or not at all once they are lost, for tests of its scheduler. The registry lists lost
 * workers until the test says otherwise. The owner can be replaced by one that knows only what is stored.
 */
final class PoolWithFakeWorkers {
    static final String QUEUE = "q";
    /** A queue whose steps get no placement advice. */
    static final String ADVISED_QUEUE = "advised";

    static final long STEP_MILLIS = 20;

    private static final long CALL_TIMEOUT_MILLIS = 700;
    private static final ResourceAmount CAPACITY = new ResourceAmount(4_000, 8_000, 0);
    private static final PoolTimeouts TIMEOUTS = new PoolTimeouts(5_000, 10_000, 120_000, 2_000);
    private static final QueueConfig QUEUE_CONFIG =
            new QueueConfig(QUEUE, "h", "/q/", "pool", 0, 3, 5, 10_000, Optional.empty(), false);
    private static final QueueConfig ADVISED_QUEUE_CONFIG = new QueueConfig(
            ADVISED_QUEUE,
            "h",
            "/a/",
            "pool",
            0,
            3,
            5,
            10_000,
            Optional.of(new QueueConfig.AdvicePolicy(1, 1, 5_000)),
            false);

    private final Map<String, FakeWorker> workers = new TreeMap<>();
    private final Map<String, byte[]> stored = new HashMap<>();
    private final Set<String> evacuating = new HashSet<>();
    private final Set<String> unlisted = new HashSet<>();
    private Moment now = new Moment(1_000_000, 2_000_000);
    private RecordedActions actions;
    private List<WorkerOrder> sent;
    private List<Answer> answers;
    private PoolScheduler scheduler;
    private final Set<String> advisedJobs = new HashSet<>();
    private Optional<FakeAdvice> advice = Optional.empty();
    private long adviceTimeoutMillis = Long.MAX_VALUE;
    private double advisedStretch = 5;
    private long advisedTargetMillis = 10_000;
    private Optional<WorkerEvidence> evidence = Optional.empty();
    private boolean losesAtNextStart;
    private boolean storeAnswers = true;

    /**
     * Constructs a pool with workers named {@code w1} and so on, of which an owner has just taken possession.
     *
     * @param born  when the workers started, in milliseconds since 1970, 0 if they do not say
     */
    PoolWithFakeWorkers(int workerCount, long born) {
        for (int i = 1; i <= workerCount; i++) {
            workers.put("w" + i, new FakeWorker(i, "m" + i, born));
        }
        replaceOwner();
    }

    /** Adds a worker on a machine, and returns its identifier. */
    String addWorker(String machine) {
        int number = workers.size() + 1;
        workers.put("w" + number, new FakeWorker(number, machine, 0));
        scheduler.updateWorkers(listedWorkers(), now);
        return "w" + number;
    }

    Moment now() {
        return now;
    }

    PoolScheduler scheduler() {
        return scheduler;
    }

    /** Makes a new owner take over the pool with what is stored. */
    void replaceOwner() {
        sent = new ArrayList<>();
        answers = new ArrayList<>();
        actions = new RecordedActions(sent);
        scheduler = new PoolScheduler("pool", TIMEOUTS, actions);
        configure();
        scheduler.load(Map.copyOf(stored), now);
        scheduler.open(listedWorkers(), List.of(), now.steadyMillis(), now);
    }

    /** Has an advice service answer the requests of the steps of {@link #ADVISED_QUEUE}. */
    void answerAdvice(FakeAdvice service) {
        advice = Optional.of(service);
        configure();
    }

    /** Sets the objective of the jobs of {@link #ADVISED_QUEUE}. */
    void setAdvisedObjective(double stretch, long targetMillis) {
        advisedStretch = stretch;
        advisedTargetMillis = targetMillis;
        configure();
    }

    /** Has requests for advice given up that take longer than this. The service answers them all the same. */
    void giveUpAdviceAfter(long millis) {
        adviceTimeoutMillis = millis;
    }

    private void configure() {
        QueueConfig advised = advice.map(FakeAdvice::policy)
                .map(policy -> new QueueConfig(
                        ADVISED_QUEUE,
                        "h",
                        "/a/",
                        "pool",
                        0,
                        3,
                        advisedStretch,
                        advisedTargetMillis,
                        Optional.of(policy),
                        false))
                .orElse(ADVISED_QUEUE_CONFIG);
        scheduler.configure(Map.of(QUEUE, QUEUE_CONFIG, ADVISED_QUEUE, advised), Teams.NONE);
    }

    private List<RegisteredWorker> listedWorkers() {
        return workers.entrySet().stream()
                .filter(worker -> !unlisted.contains(worker.getKey()))
                .map(worker -> worker.getValue().registration)
                .toList();
    }

    /** Has the registry cease to list the lost workers, as evidence that they do not start again under their identifiers. */
    void lostWorkersAreGone() {
        evidence = Optional.of(
                worker -> workers.get(worker.id()).lost ? Optional.of(GoneReason.NOT_REGISTERED) : Optional.empty());
    }

    /** Has a worker fail all that it starts from now on. */
    void failAllOn(String worker) {
        workers.get(worker).fails = true;
    }

    /** Has all workers take some time for each percent of a task that they start from now on; they report 100 at once otherwise. */
    void slowTasks(long millisPerPercent) {
        workers.values().forEach(worker -> worker.millisPerPercent = millisPerPercent);
    }

    /** Returns the number of calls of a kind that were sent to a worker. */
    long countCalls(String worker, Class<? extends WorkerOrder> kind) {
        return workers.get(worker).calls.stream().filter(kind::isInstance).count();
    }

    /** Loses a worker for good. */
    void lose(String worker) {
        workers.get(worker).lost = true;
    }

    /** Has the machines and the registry cease to list the lost workers. */
    void endLostWorkers() {
        workers.forEach((id, worker) -> {
            if (worker.lost) {
                scheduler.workerEnded(id, "not-on-any-machine", now);
                unlisted.add(id);
            }
        });
        scheduler.updateWorkers(listedWorkers(), now);
        lostWorkersAreGone();
    }

    /** Has the registry list all workers as they registered first. */
    void listAllWorkers() {
        unlisted.clear();
        scheduler.updateWorkers(listedWorkers(), now);
    }

    /** Has a lost worker answer again, which started under its identifier at a time in milliseconds since 1970. */
    void returnWorker(String worker, long born) {
        workers.get(worker).lost = false;
        workers.get(worker).born = born;
    }

    /** Loses the worker to which the next start is sent, as that arrives. */
    void loseWorkerOfNextStart() {
        losesAtNextStart = true;
    }

    /** Lets a lost worker answer again. */
    void find(String worker) {
        workers.get(worker).lost = false;
    }

    /** Sets whether changes of the jobs are stored. */
    void storeAnswers(boolean value) {
        storeAnswers = value;
    }

    /** Takes everything out of a stored job that earlier versions of the program do not write. */
    void storedByAnEarlierVersion(String job) {
        JobState state = JobDocumentCodec.decode(stored.get(job), now).job();
        state.leaseNotes = Map.of();
        stored.put(job, JobDocumentCodec.encode(state));
    }

    /** Returns how many leases the present owner has sent to a worker. */
    long countGrants(String worker) {
        return workers.get(worker).calls.stream()
                .filter(order -> order instanceof WorkerOrder.Start
                        || order instanceof WorkerOrder.Hold hold
                                && hold.leaseUntilMillis().isPresent())
                .count();
    }

    /** Has workers emptied. */
    void evacuate(String... names) {
        evacuating.addAll(List.of(names));
        scheduler.instruct(new PoolInstructions(Set.copyOf(evacuating), 0));
    }

    /** Submits a job of one step. */
    void submit(String id, StepSpec step) {
        submit(id, QUEUE, step);
    }

    /** Submits a job of one step to a queue. */
    void submit(String id, String queue, StepSpec step) {
        trySubmit(id, queue, step);
    }

    /** Submits a job of one step to a queue, and returns whether it is accepted. */
    boolean trySubmit(String id, String queue, StepSpec step) {
        if (queue.equals(ADVISED_QUEUE)) {
            advisedJobs.add(id);
        }
        JobSpec job = new JobSpec(id, queue, "text", List.of(step), JobSpec.Schedule.ONCE);
        return scheduler.submit(job, true, now).kind() == SubmitResult.Kind.PENDING;
    }

    /** Ends all runs of a job as done. */
    void finish(String job) {
        workers.values().forEach(worker -> worker.finish(job));
    }

    /** Returns the phase of a job that is reported to callers. */
    JobPhase phase(String job) {
        return scheduler.phase(job).orElseThrow();
    }

    /** Returns the worker on which a task runs, empty if it runs nowhere. */
    Optional<String> workerOf(String task) {
        return workers.entrySet().stream()
                .filter(worker ->
                        !worker.getValue().lost && worker.getValue().running.containsKey(task))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns the decisions of a name that the present owner has logged, the earliest first. */
    List<Decision> decisions(String name) {
        return actions.decisions(name);
    }

    /** Moves the time on, and lets the workers, the store and the scheduler act. */
    void advance(long millis) {
        long endMillis = now.steadyMillis() + millis;
        while (now.steadyMillis() < endMillis) {
            now = now.plus(STEP_MILLIS);
            List<Answer> due = answers.stream()
                    .filter(answer -> answer.atMillis <= now.steadyMillis())
                    .toList();
            answers.removeAll(due);
            due.forEach(answer -> answer.action.run());
            evidence.ifPresent(source -> scheduler.findGoneWorkers(source, now));
            scheduler.tick(OrderPermission.ALL, now);
            if (storeAnswers) {
                storeCommit();
            }
            List<WorkerOrder> orders = List.copyOf(sent);
            sent.clear();
            orders.forEach(this::carryOut);
            actions.takeAdviceRequests().forEach(this::answerAdvice);
        }
    }

    private void storeCommit() {
        actions.takeCommit().ifPresent(number -> {
            stored.putAll(actions.lastCommit().puts());
            scheduler.commitStored(number, now);
        });
    }

    private void answerAdvice(AdviceRequest request) {
        advice.ifPresent(service -> {
            long sentMillis = now.steadyMillis();
            long answerMillis = service.accept(request, sentMillis);
            if (answerMillis > adviceTimeoutMillis) {
                answerAfter(
                        adviceTimeoutMillis,
                        () -> adviceReceived(request, AdviceResult.failed(AdviceOutcome.UNANSWERED), sentMillis));
            }
            answerAfter(
                    answerMillis,
                    () -> adviceReceived(request, service.answer(request, now.steadyMillis()), sentMillis));
        });
    }

    private void adviceReceived(AdviceRequest request, AdviceResult result, long sentMillis) {
        scheduler.adviceReceived(request, result, now.steadyMillis() - sentMillis, now);
    }

    private boolean hasValidTicket(WorkerOrder.Start start) {
        boolean advised = advisedJobs.contains(start.task().job());
        return advice.isEmpty() || !advised || advice.get().isValid(start, now.steadyMillis());
    }

    private void carryOut(WorkerOrder order) {
        FakeWorker worker = workers.get(order.worker());
        worker.calls.add(order);
        if (losesAtNextStart && order instanceof WorkerOrder.Start) {
            losesAtNextStart = false;
            worker.lost = true;
        }
        if (worker.lost) {
            answerAfter(CALL_TIMEOUT_MILLIS, () -> scheduler.orderAnswered(order, OrderResult.NO_ANSWER, now));
        } else if (order instanceof WorkerOrder.Hold hold) {
            answerAfter(
                    Math.max(STEP_MILLIS, hold.waitMillis()),
                    () -> scheduler.statusReceived(order.worker(), worker.status(now), now));
        } else if (order instanceof WorkerOrder.Start start && !hasValidTicket(start)) {
            answerAfter(STEP_MILLIS, () -> scheduler.orderAnswered(order, OrderResult.BAD_TICKET, now));
        } else {
            worker.carryOut(order);
            answerAfter(STEP_MILLIS, () -> scheduler.orderAnswered(order, OrderResult.OK, now));
        }
    }

    private void answerAfter(long millis, Runnable action) {
        PoolScheduler asking = scheduler;
        answers.add(new Answer(now.steadyMillis() + millis, () -> {
            if (asking == scheduler) {
                action.run();
            }
        }));
    }

    /** A worker that runs what it is told to. */
    private static final class FakeWorker {
        private final RegisteredWorker registration;
        private final Map<String, Integer> running = new TreeMap<>();
        private final List<WorkerRunStatus.Ended> ended = new ArrayList<>();
        private final List<WorkerOrder> calls = new ArrayList<>();
        private final Map<String, Long> startedMillis = new HashMap<>();
        private long millisPerPercent;
        private boolean lost;
        private boolean fails;
        private long born;

        private FakeWorker(int number, String machine, long born) {
            this.born = born;
            this.registration = new RegisteredWorker(
                    "w" + number,
                    machine,
                    "pool",
                    WorkerAddress.of("10.0.0." + number, 80),
                    "dc",
                    List.of("kind", "r" + number),
                    CAPACITY,
                    false,
                    born);
        }

        private void carryOut(WorkerOrder order) {
            if (order instanceof WorkerOrder.Start start && fails) {
                ended.add(new WorkerRunStatus.Ended(
                        ended.size() + 1, start.task().text(), start.run(), RunEnd.FAILED, ""));
            } else if (order instanceof WorkerOrder.Start start) {
                running.put(start.task().text(), start.run());
                startedMillis.remove(start.task().text());
            } else if (order instanceof WorkerOrder.Stop stop && running.remove(stop.task(), stop.run())) {
                ended.add(new WorkerRunStatus.Ended(ended.size() + 1, stop.task(), stop.run(), RunEnd.STOPPED, ""));
            }
        }

        private int percent(String task, long nowMillis) {
            long ageMillis = nowMillis - startedMillis.computeIfAbsent(task, key -> nowMillis);
            return millisPerPercent == 0 ? 100 : (int) Math.min(100, ageMillis / millisPerPercent);
        }

        private void finish(String job) {
            Map.copyOf(running).forEach((task, run) -> {
                if (task.startsWith(job + '.')) {
                    running.remove(task);
                    ended.add(new WorkerRunStatus.Ended(ended.size() + 1, task, run, RunEnd.DONE, ""));
                }
            });
        }

        private WorkerRunStatus status(Moment now) {
            List<WorkerRunStatus.Running> runs = new ArrayList<>();
            running.forEach((task, run) ->
                    runs.add(new WorkerRunStatus.Running(task, run, "", percent(task, now.steadyMillis()), 0)));
            return new WorkerRunStatus(now.steadyMillis(), runs, List.copyOf(ended), born);
        }
    }

    private record Answer(long atMillis, Runnable action) {}
}
