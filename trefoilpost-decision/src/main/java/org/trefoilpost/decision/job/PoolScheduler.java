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

    private static final long CLOSED_RETRY_MILLIS = 1_000;
    private static final long NEVER_RETRY_MILLIS = 60_000;
    private static final long REFUSED_WINDOW_MILLIS = 800;

    private final PoolState state;
    private final Orders orders;
    private final RunResults results;
    private final Placer placer;
    private final AdviceDesk advice;
    private final Admission admission;
    private final JobBook book;
    private final HoldPlan holds;
    private final Evacuations evacuations;
    private final Pacer pacer;
    private final WorkerHealth health;
    private final TakeOver takeOver;
    private final OfferedWork refused = new OfferedWork(REFUSED_WINDOW_MILLIS);
    private final FirstOffers offers = new FirstOffers();
    private final PoolNeed need;
    private long lastPacedMillis;

    /**
     * Constructs a scheduler of a pool without jobs.
     *
     * @param pool  the pool's name, not null
     * @param bounds  the times that bound decisions, not null
     * @param actions  what carries decisions out, not null
     */
    public PoolScheduler(String pool, PoolBounds bounds, PoolActions actions) {
        this.state = new PoolState(pool, bounds, actions);
        this.health = new WorkerHealth(state);
        this.orders = new Orders(state);
        this.results = new RunResults(state, orders, health);
        Objectives objectives = new Objectives(health);
        this.advice = new AdviceDesk(state);
        this.placer = new Placer(state, orders, objectives, advice);
        this.admission = new Admission(state, health, objectives);
        this.book = new JobBook(state);
        this.holds = new HoldPlan(state, orders, results);
        this.evacuations = new Evacuations(state, orders);
        this.pacer = new Pacer(state, orders);
        this.takeOver = new TakeOver(state);
        this.need = new PoolNeed(state, refused);
    }

    /**
     * Takes over the stored jobs.
     *
     * @param documents  the stored documents by job, not null
     * @param listed  the workers of the pool that the registry lists, not null
     * @param registrySettles  when workers that are alive are surely listed, on the steady clock in milliseconds
     * @param now  the present time, not null
     */
    public void open(Map<String, byte[]> documents, Collection<WorkerReport> listed, long registrySettles, Moment now) {
        takeOver.read(documents, now);
        registry(listed, now);
        takeOver.begin(registrySettles, now);
    }

    /**
     * Takes in the queues of the configuration in force.
     *
     * @param queues  all queues by name, not null
     */
    public void configure(Map<String, QueueRule> queues) {
        state.queues = Map.copyOf(queues);
        for (JobState job : state.openJobs.values()) {
            QueueRule rule = queues.get(job.spec.queue());
            job.queue = rule != null ? rule : job.queue;
        }
        admission.changed();
        state.placementDue = true;
    }

    /**
     * Takes in which workers of the pool the registry lists.
     *
     * @param listed  the workers, not null
     * @param now  the present time, not null
     */
    public void registry(Collection<WorkerReport> listed, Moment now) {
        Set<String> present = new TreeSet<>();
        for (WorkerReport report : listed) {
            present.add(report.id());
            WorkerSlot slot = state.slots.computeIfAbsent(report.id(), id -> new WorkerSlot(report));
            if (report.draining() && !slot.report.draining()) {
                state.actions.decided(Decision.of("worker-draining").with("worker", slot.id));
            }
            slot.report = report;
            slot.listed = true;
        }
        for (WorkerSlot slot : state.slots.values()) {
            if (slot.listed && !present.contains(slot.id)) {
                slot.listed = false;
                state.actions.decided(Decision.of("worker-unlisted")
                        .with("worker", slot.id)
                        .with("runs", slot.runs.size())
                        .with("answerAge", slot.answerAge(now.steadyMillis())));
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
    public SubmitAnswer submit(JobSpec spec, boolean storeReachable, Moment now) {
        JobState known = state.jobs.get(spec.id());
        if (known != null) {
            return known.stored ? SubmitAnswer.KNOWN : SubmitAnswer.PENDING;
        }
        QueueRule queue = state.queues.get(spec.queue());
        if (queue == null) {
            return SubmitAnswer.refused(CLOSED_RETRY_MILLIS, "unknown-queue");
        }
        if (!storeReachable) {
            return SubmitAnswer.refused(CLOSED_RETRY_MILLIS, "store-unavailable");
        }
        if (!admission.fitsSomewhere(spec)) {
            return SubmitAnswer.refused(NEVER_RETRY_MILLIS, "fits-no-worker");
        }
        JobState job = new JobState(spec, queue, firstOffer(spec.id(), now));
        OptionalLong wait = admission.retryAfterMillis(job, now);
        if (wait.isPresent()) {
            refused.add(spec, now.steadyMillis());
            offers.refused(spec.id(), now.steadyMillis());
            return SubmitAnswer.refused(wait.getAsLong(), "overload");
        }
        offers.taken(spec.id());
        admission.taken(job);
        job.openDue(now);
        state.touch(job, now.steadyMillis(), true);
        state.add(job);
        return SubmitAnswer.PENDING;
    }

    private Moment firstOffer(String job, Moment now) {
        long age = now.steadyMillis() - offers.firstMillis(job, now.steadyMillis());
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
            results.stopAll(job, "job-cancelled", now);
            admission.changed();
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
    public int waiting(String queue) {
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
    public void answered(WorkerOrder order, CallResult result, Moment now) {
        WorkerSlot slot = state.slots.get(order.worker());
        if (result == CallResult.FENCED) {
            state.actions.deposed(order.worker());
        }
        if (slot == null) {
            return;
        }
        if (order instanceof WorkerOrder.Start start) {
            results.started(slot, start.task(), start.run(), result, now);
        } else if (order instanceof WorkerOrder.Stop stop) {
            results.stopped(slot, stop.task(), stop.run(), result, now);
        } else if (order instanceof WorkerOrder.Hold) {
            results.holdFailed(slot, result, now);
        } else if (order instanceof WorkerOrder.Pace pace && result != CallResult.OK) {
            Optional.ofNullable(slot.run(pace.task().text(), pace.run()))
                    .ifPresent(run -> run.pace = WorkerSlot.FULL_PACE);
        }
    }

    /**
     * Takes in a worker's status.
     *
     * @param worker  the worker, not null
     * @param status  the status, not null
     * @param now  the present time, not null
     */
    public void held(String worker, WorkerStatus status, Moment now) {
        WorkerSlot slot = state.slots.get(worker);
        if (slot != null) {
            results.held(slot, status, now);
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
    public void advised(AdviceRequest request, Map<String, String> tickets, long validMillis, Moment now) {
        TaskState first = state.task(request.step() + ".0");
        if (first != null) {
            advice.advised(first.step, request, tickets, validMillis, now);
        }
    }

    /**
     * Takes in that a change is stored.
     *
     * @param number  the number of the change
     * @param now  the present time, not null
     */
    public void committed(long number, Moment now) {
        book.committed(number, now);
    }

    /**
     * Takes in that a life of a worker has ended.
     *
     * @param worker  the worker, not null
     * @param reason  how that is known, not null
     * @param now  the present time, not null
     */
    public void lifeEnded(String worker, String reason, Moment now) {
        WorkerSlot slot = state.slots.get(worker);
        if (slot != null) {
            results.lifeEnded(slot, reason, now);
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
        for (WorkerSlot slot : state.slots.values()) {
            boolean concerned = !slot.runs.isEmpty() || state.unresolved.contains(slot);
            if (concerned && !slot.gone && slot.missedCalls >= CALLS_UNTIL_SILENT) {
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
        state.arrivingMachines = instructions.arriving();
        admission.changed();
        for (WorkerSlot slot : state.slots.values()) {
            boolean wanted = instructions.keptFree().contains(slot.id);
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
            job.openDue(now);
            state.placementDue |= job.nextOccurrence != opened;
        }
        takeOver.activateIfDue(now);
        if (ordersAllowed) {
            holds.tick(now);
            stopStalled(now);
            if (state.active) {
                evacuations.tick(now);
                placer.placeIfDue(now);
            }
            if (now.steadyMillis() - lastPacedMillis >= Pacer.TICK_MILLIS) {
                lastPacedMillis = now.steadyMillis();
                pacer.tick(now);
            }
        }
        book.commitIfDue(now);
    }

    private void stopStalled(Moment now) {
        for (WorkerSlot slot : state.slots.values()) {
            for (Run run : health.stalled(slot, now.steadyMillis())) {
                orders.stop(run, "no-progress", now);
                health.blameStall(slot, now.steadyMillis());
            }
        }
    }

    /**
     * Returns how much the pool has to do.
     *
     * @param now  the present time, not null
     * @return the load, not null
     */
    public PoolLoad load(Moment now) {
        return need.load(now);
    }
}
