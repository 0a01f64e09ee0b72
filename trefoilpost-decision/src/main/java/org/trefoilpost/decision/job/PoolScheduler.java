package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides for the jobs of one pool: what is accepted, where tasks run, and what happens when workers or earlier owners
 * fail. Events come in through its methods, and what it decides goes to its {@link PoolActions}.
 *
 * <p>The scheduler begins with the stored jobs, and starts nothing before it has heard what runs on the workers, which
 * from then on refuse an earlier owner's orders.
 */
public final class PoolScheduler {
    /** How long an owner that lost the store may go on giving orders, in milliseconds. */
    public static final long ORDERS_WITHOUT_STORE_MILLIS = 9_000;

    /** Unanswered calls in a row from which a worker counts as silent. */
    private static final int CALLS_UNTIL_SILENT = 2;

    private static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 1_000;
    private static final long UNPLACEABLE_RETRY_AFTER_MILLIS = 60_000;
    private static final long REFUSED_DEMAND_WINDOW_MILLIS = 800;

    private final PoolState state;
    private final OrderSender orderSender;
    private final RunTracker runTracker;
    private final Placer placer;
    private final PlacementAdvice advice;
    private final Admission admission;
    private final JobWriter jobWriter;
    private final HoldScheduler holdScheduler;
    private final WorkerEvacuator evacuator;
    private final BestEffortThrottle throttle;
    private final RunStatistics runStatistics;
    private final PoolTakeover takeover;
    private final RefusedDemand refusedDemand = new RefusedDemand(REFUSED_DEMAND_WINDOW_MILLIS);
    private final FirstSubmissions firstSubmissions = new FirstSubmissions();
    private final PoolDemandCalculator demandCalculator;
    private long lastThrottleMillis;

    /**
     * Constructs a scheduler of a pool without jobs.
     *
     * @param pool  the pool's name, not null
     * @param bounds  the times that bound decisions, not null
     * @param actions  what carries decisions out, not null
     */
    public PoolScheduler(String pool, PoolTimeouts bounds, PoolActions actions) {
        this.state = new PoolState(pool, bounds, actions);
        this.runStatistics = new RunStatistics(state);
        this.orderSender = new OrderSender(state);
        this.runTracker = new RunTracker(state, orderSender, runStatistics);
        StartDeadlines objectives = new StartDeadlines(runStatistics);
        this.advice = new PlacementAdvice(state);
        this.placer = new Placer(state, orderSender, objectives, advice);
        this.admission = new Admission(state, runStatistics, objectives);
        this.jobWriter = new JobWriter(state);
        this.holdScheduler = new HoldScheduler(state, orderSender, runTracker);
        this.evacuator = new WorkerEvacuator(state, orderSender);
        this.throttle = new BestEffortThrottle(state, orderSender);
        this.takeover = new PoolTakeover(state);
        this.demandCalculator = new PoolDemandCalculator(state, refusedDemand);
    }

    /**
     * Takes over the stored jobs.
     *
     * @param documents  the stored documents by job, not null
     * @param listed  the workers of the pool that the registry lists, not null
     * @param registrySettles  when workers that are alive are surely listed, on the steady clock in milliseconds
     * @param now  the present time, not null
     */
    public void open(
            Map<String, byte[]> documents, Collection<RegisteredWorker> listed, long registrySettles, Moment now) {
        takeover.read(documents, now);
        updateWorkers(listed, now);
        takeover.begin(registrySettles, now);
    }

    /**
     * Takes in the queues of the configuration in force.
     *
     * @param queues  all queues by name, not null
     */
    public void configure(Map<String, QueueConfig> queues) {
        state.queues = Map.copyOf(queues);
        for (JobState job : state.openJobs.values()) {
            QueueConfig rule = queues.get(job.spec.queue());
            job.queue = rule != null ? rule : job.queue;
        }
        admission.invalidateBacklog();
        state.placementDue = true;
    }

    /**
     * Takes in which workers of the pool the registry lists.
     *
     * @param listed  the workers, not null
     * @param now  the present time, not null
     */
    public void updateWorkers(Collection<RegisteredWorker> listed, Moment now) {
        Set<String> present = new TreeSet<>();
        for (RegisteredWorker report : listed) {
            present.add(report.id());
            PoolWorker slot = state.workers.computeIfAbsent(report.id(), id -> new PoolWorker(report));
            if (report.draining() && !slot.registration.draining()) {
                state.actions.logDecision(Decision.of("worker-draining").with("worker", slot.id));
            }
            slot.registration = report;
            slot.listed = true;
        }
        for (PoolWorker slot : state.workers.values()) {
            if (slot.listed && !present.contains(slot.id)) {
                slot.listed = false;
                state.actions.logDecision(Decision.of("worker-unlisted")
                        .with("worker", slot.id)
                        .with("runs", slot.runs.size())
                        .with("answerAge", slot.answerAgeMillis(now.steadyMillis())));
            }
        }
        state.placementDue = true;
    }

    /**
     * Decides on a job that is handed in.
     *
     * @param spec  the job, not null
     * @param storeReachable  true if the store answers at present
     * @param now  the present time, not null
     * @return the answer, not null
     */
    public SubmitResult submit(JobSpec spec, boolean storeReachable, Moment now) {
        JobState known = state.jobs.get(spec.id());
        if (known != null) {
            return known.stored ? SubmitResult.KNOWN : SubmitResult.PENDING;
        }
        QueueConfig queue = state.queues.get(spec.queue());
        if (queue == null) {
            return SubmitResult.refused(UNAVAILABLE_RETRY_AFTER_MILLIS, "unknown-queue");
        }
        if (!storeReachable) {
            return SubmitResult.refused(UNAVAILABLE_RETRY_AFTER_MILLIS, "store-unavailable");
        }
        if (!admission.fitsAnyWorker(spec)) {
            return SubmitResult.refused(UNPLACEABLE_RETRY_AFTER_MILLIS, "fits-no-worker");
        }
        JobState job = new JobState(spec, queue, firstSubmission(spec.id(), now));
        OptionalLong wait = admission.retryAfterMillis(job, now);
        if (wait.isPresent()) {
            refusedDemand.add(spec, now.steadyMillis());
            firstSubmissions.recordRefusal(spec.id(), now.steadyMillis());
            return SubmitResult.refused(wait.getAsLong(), "overload");
        }
        firstSubmissions.remove(spec.id());
        admission.jobAccepted(job);
        job.openDueOccurrences(now);
        state.markDirty(job, now.steadyMillis(), true);
        state.add(job);
        return SubmitResult.PENDING;
    }

    private Moment firstSubmission(String job, Moment now) {
        long age = now.steadyMillis() - firstSubmissions.firstSubmittedMillis(job, now.steadyMillis());
        return new Moment(now.steadyMillis() - age, now.wallMillis() - age);
    }

    /**
     * Cancels a job.
     *
     * @param id  the job, not null
     * @param now  the present time, not null
     * @return the phase that is stored or being stored, empty if the job is not known, not null
     */
    public Optional<JobPhase> cancel(String id, Moment now) {
        JobState job = state.jobs.get(id);
        if (job == null) {
            return Optional.empty();
        }
        if (!job.phase.ended()) {
            state.end(job, JobPhase.CANCELLED, now);
            runTracker.stopAll(job, "job-cancelled", now);
            admission.invalidateBacklog();
        }
        return Optional.of(job.phase);
    }

    /**
     * Returns whether what a caller may be told of a job's end is stored.
     *
     * @param id  the job, not null
     * @return true if the phase is stored
     */
    public boolean isStored(String id) {
        JobState job = state.jobs.get(id);
        return job != null && job.stored && job.storedPhase == job.phase;
    }

    /**
     * Returns the phase of a job that callers may be told.
     *
     * @param id  the job, not null
     * @return the phase, empty if the job is not known, not null
     */
    public Optional<JobPhase> phase(String id) {
        JobState job = state.jobs.get(id);
        if (job == null) {
            return Optional.empty();
        }
        boolean unstoredEnd = job.phase.ended() && job.storedPhase != job.phase;
        return Optional.of(unstoredEnd ? JobPhase.RUNNING : job.phase);
    }

    /**
     * Returns how many jobs of a queue wait for their first start.
     *
     * @param queue  the queue's name, not null
     * @return the number, not negative
     */
    public int queuedJobs(String queue) {
        int waiting = 0;
        for (JobState job : state.openJobs.values()) {
            waiting += job.stored
                            && job.phase == JobPhase.QUEUED
                            && job.spec.queue().equals(queue)
                    ? 1
                    : 0;
        }
        return waiting;
    }

    /**
     * Takes in the outcome of an order other than a hold that brought a status.
     *
     * @param order  the order, not null
     * @param result  the outcome, not null
     * @param now  the present time, not null
     */
    public void orderAnswered(WorkerOrder order, OrderResult result, Moment now) {
        PoolWorker slot = state.workers.get(order.worker());
        if (result == OrderResult.FENCED) {
            state.actions.ownershipLost(order.worker());
        }
        if (slot == null) {
            return;
        }
        if (order instanceof WorkerOrder.Start start) {
            runTracker.startAnswered(slot, start.task(), start.run(), result, now);
        } else if (order instanceof WorkerOrder.Stop stop) {
            runTracker.stopAnswered(slot, stop.task(), stop.run(), result, now);
        } else if (order instanceof WorkerOrder.Hold) {
            runTracker.holdFailed(slot, result, now);
        } else if (order instanceof WorkerOrder.Pace pace && result != OrderResult.OK) {
            Optional.ofNullable(slot.run(pace.task().text(), pace.run()))
                    .ifPresent(run -> run.pacePercent = PoolWorker.FULL_PACE);
        }
    }

    /**
     * Takes in a worker's status.
     *
     * @param worker  the worker, not null
     * @param status  the status, not null
     * @param now  the present time, not null
     */
    public void statusReceived(String worker, WorkerRunStatus status, Moment now) {
        PoolWorker slot = state.workers.get(worker);
        if (slot != null) {
            runTracker.statusReceived(slot, status, now);
        }
    }

    /**
     * Takes in advice.
     *
     * @param request  what was asked, not null
     * @param tickets  the tickets by worker, not null
     * @param validMillis  how long the tickets are valid, in milliseconds
     * @param now  the present time, not null
     */
    public void adviceReceived(AdviceRequest request, Map<String, String> tickets, long validMillis, Moment now) {
        JobTaskState first = state.task(request.step() + ".0");
        if (first != null) {
            advice.adviceReceived(first.step, request, tickets, validMillis, now);
        }
    }

    /**
     * Takes in that a change is stored.
     *
     * @param number  the number of the change
     * @param now  the present time, not null
     */
    public void commitStored(long number, Moment now) {
        jobWriter.commitStored(number, now);
    }

    /**
     * Takes in that a life of a worker has ended.
     *
     * @param worker  the worker, not null
     * @param reason  how that is known, not null
     * @param now  the present time, not null
     */
    public void workerEnded(String worker, String reason, Moment now) {
        PoolWorker slot = state.workers.get(worker);
        if (slot != null) {
            runTracker.workerEnded(slot, reason, now);
        }
    }

    /**
     * Returns the workers that are silent while something may run there, so that it is worth finding out whether they
     * still live.
     *
     * @return the workers, not null
     */
    public Set<String> silentWorkers() {
        Set<String> silent = new TreeSet<>();
        for (PoolWorker slot : state.workers.values()) {
            boolean concerned = !slot.runs.isEmpty() || state.unresolvedWorkers.contains(slot);
            if (concerned && !slot.ended && slot.missedCalls >= CALLS_UNTIL_SILENT) {
                silent.add(slot.id);
            }
        }
        return silent;
    }

    /**
     * Takes in what the owner of the machines decided.
     *
     * @param instructions  what was decided, not null
     */
    public void instruct(PoolInstructions instructions) {
        state.arrivingMachines = instructions.arrivingMachines();
        admission.invalidateBacklog();
        for (PoolWorker slot : state.workers.values()) {
            boolean wanted = instructions.evacuating().contains(slot.id);
            state.placementDue |= slot.evacuating && !wanted;
            slot.evacuating = wanted;
        }
    }

    /**
     * Decides what is due.
     *
     * @param ordersAllowed  true if this owner may still give orders
     * @param now  the present time, not null
     */
    public void tick(boolean ordersAllowed, Moment now) {
        for (JobState job : new ArrayList<>(state.openJobs.values())) {
            int opened = job.nextOccurrence;
            job.openDueOccurrences(now);
            state.placementDue |= job.nextOccurrence != opened;
        }
        takeover.activateIfDue(now);
        if (ordersAllowed) {
            holdScheduler.tick(now);
            stopStalled(now);
            if (state.active) {
                evacuator.tick(now);
                placer.placeIfDue(now);
            }
            if (now.steadyMillis() - lastThrottleMillis >= BestEffortThrottle.TICK_INTERVAL_MILLIS) {
                lastThrottleMillis = now.steadyMillis();
                throttle.tick(now);
            }
        }
        jobWriter.commitIfDue(now);
    }

    private void stopStalled(Moment now) {
        for (PoolWorker slot : state.workers.values()) {
            for (Run run : runStatistics.stalledRuns(slot, now.steadyMillis())) {
                orderSender.stop(run, "no-progress", now);
                runStatistics.blameStall(slot, now.steadyMillis());
            }
        }
    }

    /**
     * Returns how much the pool has to do.
     *
     * @param now  the present time, not null
     * @return the load, not null
     */
    public PoolDemand demand(Moment now) {
        return demandCalculator.demand(now);
    }
}
