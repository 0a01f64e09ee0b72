package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.trefoilpost.decision.job.team.PoolTeamLimits;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Schedules the jobs of one pool: admits them, places their tasks, and handles failures of workers and of earlier
 * owners. Its methods take events, and its decisions go to a {@link PoolActions}.
 *
 * <p>The scheduler begins with the stored jobs, and starts no task before the workers have reported their runs or have
 * had the time to. A worker that has reported refuses orders of an earlier owner from then on.
 */
public final class PoolScheduler {
    /** How long an owner that cannot reach the store may continue to give orders. */
    public static final long ORDERS_WITHOUT_STORE_MILLIS = 9_000;

    /** The refusal of a job while the store does not answer. */
    public static final SubmitResult STORE_UNAVAILABLE =
            SubmitResult.refused(JobSubmissions.UNAVAILABLE_RETRY_AFTER_MILLIS, "store-unavailable");

    private final PoolState state;
    private final JobEnds jobEnds;
    private final RunTracker runTracker;
    private final OrderAnswers orderAnswers;
    private final Placer placer;
    private final PlacementAdvice advice;
    private final Admission admission;
    private final JobWriter jobWriter;
    private final HoldScheduler holdScheduler;
    private final WorkerRestarts restarts;
    private final WorkerRegistrations registrations;
    private final WorkerEvacuator evacuator;
    private final BestEffortThrottle throttle;
    private final PoolTakeover takeover;
    private final JobSubmissions submissions;
    private final PoolDemandCalculator demandCalculator;
    private final LongRunningWaits waits;

    /**
     * Constructs a scheduler for a pool without jobs.
     *
     * @param pool  the pool's name, not null
     * @param timeouts  the timeouts, not null
     * @param actions  carries out the decisions, not null
     */
    public PoolScheduler(String pool, PoolTimeouts timeouts, PoolActions actions) {
        this.state = new PoolState(pool, timeouts, actions);
        RunStatistics runStatistics = new RunStatistics(state);
        OrderSender orderSender = new OrderSender(state);
        this.jobEnds = new JobEnds(state, orderSender);
        WorkerLosses workerLosses = new WorkerLosses(state, jobEnds);
        this.runTracker = new RunTracker(state, orderSender, runStatistics, workerLosses, jobEnds);
        this.orderAnswers = new OrderAnswers(state, runTracker);
        StartDeadlines startDeadlines = new StartDeadlines(runStatistics);
        this.advice = new PlacementAdvice(state);
        this.placer = new Placer(state, orderSender, startDeadlines, advice);
        this.admission = new Admission(state, runStatistics, startDeadlines, advice);
        this.jobWriter = new JobWriter(state, jobEnds);
        this.holdScheduler = new HoldScheduler(state, orderSender, workerLosses);
        this.restarts = new WorkerRestarts(state, workerLosses);
        this.registrations = new WorkerRegistrations(state, restarts);
        this.evacuator = new WorkerEvacuator(state, orderSender, advice);
        this.throttle = new BestEffortThrottle(state, orderSender);
        this.takeover = new PoolTakeover(state);
        this.demandCalculator = new PoolDemandCalculator(state, runStatistics, advice);
        this.submissions = new JobSubmissions(state, admission, demandCalculator);
        this.waits = new LongRunningWaits(state, advice);
    }

    /**
     * Loads stored jobs, before the pool is opened.
     *
     * @param documents  some of the stored documents by job identifier, none of which was loaded before, not null
     * @param now  the present time, not null
     */
    public void load(Map<String, byte[]> documents, Moment now) {
        takeover.read(documents, now);
    }

    /**
     * Takes over the pool, after all stored jobs have been loaded.
     *
     * @param listed  the workers of the pool that the registry lists, not null
     * @param delisted  the workers of the pool that the registry has ceased to list and on which runs may go on, not null
     * @param registryCompleteMillis  when the registry lists all live workers, on the steady clock in milliseconds
     * @param now  the present time, not null
     */
    public void open(
            Collection<RegisteredWorker> listed,
            Collection<DelistedWorker> delisted,
            long registryCompleteMillis,
            Moment now) {
        updateWorkers(listed, now);
        takeover.begin(delisted, registryCompleteMillis, now);
    }

    /**
     * Applies the queues and teams of the configuration in force.
     *
     * @param queues  all queues by name, not null
     * @param teams  the teams, not null
     */
    public void configure(Map<String, QueueConfig> queues, Teams teams) {
        state.configure(queues, teams);
        admission.invalidateBacklog();
        state.placementDue = true;
    }

    /**
     * Checks each start against the limits of the job's team from now on.
     *
     * @param limits  the limits, not null
     */
    public void enforce(PoolTeamLimits limits) {
        state.teamGate = new TeamGate(state, limits);
    }

    /**
     * Handles that the grant of a team may have changed, so that waiting tasks may fit.
     */
    public void grantsChanged() {
        state.placementDue = true;
    }

    /**
     * Updates the workers of the pool that the registry lists.
     *
     * @param listed  the workers, not null
     * @param now  the present time, not null
     */
    public void updateWorkers(Collection<RegisteredWorker> listed, Moment now) {
        registrations.update(listed, now);
    }

    /**
     * Decides whether to accept a submitted job.
     *
     * @param spec  the job, not null
     * @param storeReachable  true if the store currently answers
     * @param now  the present time, not null
     * @return the decision, not null
     */
    public SubmitResult submit(JobSpec spec, boolean storeReachable, Moment now) {
        return submissions.submit(spec, storeReachable, now);
    }

    /**
     * Cancels a job.
     *
     * @param id  the job's identifier, not null
     * @param now  the present time, not null
     * @return the phase that is stored or is to be stored, empty if the job is not known, not null
     */
    public Optional<JobPhase> cancel(String id, Moment now) {
        JobState job = state.jobs.get(id);
        if (job == null) {
            return Optional.empty();
        }
        if (!job.phase.ended()) {
            jobEnds.cancel(job, now);
            admission.invalidateBacklog();
        }
        return Optional.of(job.phase);
    }

    /**
     * Returns whether the current phase of a job is stored.
     *
     * @param id  the job's identifier, not null
     * @return true if the job is known and its phase is stored
     */
    public boolean isStored(String id) {
        JobState job = state.jobs.get(id);
        return job != null && job.stored && job.storedPhase == job.phase;
    }

    /**
     * Returns the phase of a job to report to callers: an end is reported only once it is stored.
     *
     * @param id  the job's identifier, not null
     * @return the phase, empty if the job is not known, not null
     */
    public Optional<JobPhase> phase(String id) {
        return Optional.ofNullable(state.jobs.get(id)).map(JobState::reportedPhase);
    }

    /**
     * Returns the team that a job belongs to.
     *
     * @param id  the job's identifier, not null
     * @return the team's name, empty if the job is not known or belongs to no team, not null
     */
    public Optional<String> teamOfJob(String id) {
        return Optional.ofNullable(state.jobs.get(id)).flatMap(job -> job.spec.team());
    }

    /**
     * Returns the number of stored jobs of a queue that are reported as queued.
     *
     * @param queue  the queue's name, not null
     * @return the number, not negative
     */
    public int queuedJobs(String queue) {
        return state.countQueuedJobs(queue);
    }

    /**
     * Withdraws the jobs that were accepted while the store did not answer and that no commit has contained yet. They
     * have not run and never will.
     *
     * @return the identifiers of the jobs, may be empty, not null
     */
    public Set<String> withdrawUnsentJobs() {
        return submissions.withdrawUnsent(jobWriter.withdrawUnsent(job -> true));
    }

    /**
     * Withdraws the jobs that no commit has contained yet and whose queue the configuration in force sends to another pool or
     * does not have. They have not run here and never will.
     *
     * @return the identifiers of the jobs, may be empty, not null
     */
    public Set<String> withdrawMovedJobs() {
        return submissions.withdrawUnsent(jobWriter.withdrawUnsent(job -> !state.isQueueOfPool(job.spec.queue())));
    }

    /**
     * Returns whether the configuration in force sends a queue to this pool.
     *
     * @param queue  the queue's name, not null
     * @return false if it sends the queue to another pool or does not have it
     */
    public boolean isQueueOfPool(String queue) {
        return state.isQueueOfPool(queue);
    }

    /**
     * Handles the outcome of an order, except for a hold that was answered with a status.
     *
     * @param order  the order, not null
     * @param result  the outcome, not null
     * @param now  the present time, not null
     */
    public void orderAnswered(WorkerOrder order, OrderResult result, Moment now) {
        orderAnswers.handle(order, result, now);
    }

    /**
     * Handles a worker's status.
     *
     * @param workerId  the worker's identifier, not null
     * @param status  the status, not null
     * @param now  the present time, not null
     */
    public void statusReceived(String workerId, WorkerRunStatus status, Moment now) {
        PoolWorker worker = state.workers.get(workerId);
        if (worker != null) {
            restarts.reported(worker, status, now)
                    .ifPresent(reporter -> runTracker.statusReceived(reporter, status, now));
        }
    }

    /**
     * Handles the result of a request for placement advice.
     *
     * @param request  the request, not null
     * @param result  the result, not null
     * @param callMillis  the time from the sending of the request to its end, without that for the requests before it, in
     *     milliseconds
     * @param now  the present time, not null
     */
    public void adviceReceived(AdviceRequest request, AdviceResult result, long callMillis, Moment now) {
        advice.adviceReceived(request, result, callMillis, now);
    }

    /**
     * Handles the confirmation that a commit is stored.
     *
     * @param number  the number of the commit
     * @param now  the present time, not null
     */
    public void commitStored(long number, Moment now) {
        jobWriter.commitStored(number, now);
    }

    /**
     * Handles that a commit has not taken effect and never will, as the configuration under which it accepted jobs is no
     * longer the newest one. Its changes are part of the next commit.
     *
     * @param number  the number of the commit
     * @param now  the present time, not null
     */
    public void commitRejected(long number, Moment now) {
        jobWriter.commitRejected(number, now);
    }

    /**
     * Handles the end of an incarnation of a worker.
     *
     * @param workerId  the worker's identifier, not null
     * @param reason  the stable reason from which the end is known, not null
     * @param now  the present time, not null
     */
    public void workerEnded(String workerId, String reason, Moment now) {
        PoolWorker worker = state.workers.get(workerId);
        if (worker != null) {
            holdScheduler.workerEnded(worker, reason, now);
        }
    }

    /**
     * Asks for evidence that silent workers will not start again under their identifiers. Until there is some, the tasks of
     * their unanswered starts are not started elsewhere while such a start may be carried out late.
     *
     * @param evidence  tells which workers will not start again, not null
     * @param now  the present time, not null
     */
    public void findGoneWorkers(WorkerEvidence evidence, Moment now) {
        holdScheduler.findGoneWorkers(evidence, now);
    }

    /**
     * Returns the silent workers that may have runs, for which failure detection is needed.
     *
     * @return the identifiers of the workers, may be empty, not null
     */
    public Set<String> silentWorkers() {
        return holdScheduler.silentWorkers();
    }

    /**
     * Applies the instructions of the owner of the machines.
     *
     * @param instructions  the instructions, not null
     */
    public void instruct(PoolInstructions instructions) {
        state.arrivingMachines = instructions.arrivingMachines();
        admission.invalidateBacklog();
        for (PoolWorker worker : state.workers.values()) {
            boolean evacuate = instructions.evacuating().contains(worker.id);
            state.placementDue |= worker.evacuating && !evacuate;
            worker.evacuating = evacuate;
        }
    }

    /**
     * Makes all decisions that are due. A failure among those about orders does not keep changed jobs from being stored.
     *
     * @param permission  the orders that this owner may give, not null
     * @param now  the present time, not null
     */
    public void tick(OrderPermission permission, Moment now) {
        try {
            decideOrders(permission, now);
            waits.observeIfDue(permission, now);
        } finally {
            jobWriter.commitIfDue(now);
        }
    }

    private void decideOrders(OrderPermission permission, Moment now) {
        state.openDueOccurrences(now);
        takeover.activateIfDue(now);
        if (permission.allowsOrders()) {
            holdScheduler.tick(now);
            runTracker.stopStalled(now);
            if (state.active && permission.allowsStarts()) {
                evacuator.tickIfDue(now);
                state.teamGate.observe(now);
                placer.placeIfDue(now);
                state.teamGate.decide(now);
            }
            throttle.tickIfDue(now);
        }
    }

    /**
     * Returns the number of machines that the pool needs, and the usage of its workers.
     *
     * @param now  the present time, not null
     * @return the demand, not null
     */
    public PoolDemand demand(Moment now) {
        return demandCalculator.demand(now);
    }

    /**
     * Returns for how long long-running tasks have not run, as last observed.
     *
     * @return the longest wait in milliseconds by its stable reason, empty if all run, not null
     */
    public Map<String, Long> longestWaits() {
        return waits.longestMillis();
    }
}
