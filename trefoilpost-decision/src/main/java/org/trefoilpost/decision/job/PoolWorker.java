package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The state of a worker of the pool: its resources, its clock, its lease, and the runs on it.
 */
final class PoolWorker {
    /** Time in which a worker that is running answers a call, beyond the wait that the call asks for. */
    private static final long ANSWER_MILLIS = 100;

    /** Time for which a worker's answer counts as its present state. */
    static final long ANSWER_VALID_MILLIS = 1_300;

    /** Age of a status up to which the worker cannot have ended and started again, with a margin for slow calls. */
    private static final long FRESH_STATUS_MILLIS = 50;

    /** Time after which ends are acknowledged even if each status brings new ones, so that they do not pile up. */
    private static final long MAX_ACK_DELAY_MILLIS = 1_000;

    final String id;
    final WorkerLease lease = new WorkerLease();
    final WorkerSuspicion suspicion = new WorkerSuspicion();
    final Map<String, Run> runs = new HashMap<>();
    /** Starts without an answer that no status has listed; the worker may still carry them out if it restarts. */
    final Map<String, Run> unansweredStarts = new HashMap<>();

    /** The jobs whose stored documents may contain a note about this worker, see {@link LeaseNotes}. */
    final Set<JobState> notedIn = new HashSet<>();

    /** The runs that only the store names, until the worker reports its runs. */
    List<JobDocumentCodec.RunLocation> unreportedRuns = List.of();

    WorkerIncarnation incarnation;
    RegisteredWorker registration;
    /** The largest capacity that the worker has reported, which it may have again. */
    ResourceAmount largestCapacity;

    ResourceAmount usedResources = ResourceAmount.NONE;
    boolean listed = true;
    boolean fenced;
    /** True if the last status was complete. */
    boolean statusComplete = true;

    boolean ended;
    /** From what the worker is known not to start again under its identifier, empty if it may. */
    Optional<GoneReason> gone = Optional.empty();
    /** True if the worker was taken for gone without proof, until it answers or there is proof, also while it is listed again. */
    boolean mayReturn;

    boolean evacuating;
    boolean holdInFlight;
    boolean holdUrgent;
    /** The number of calls under way that ask whether the worker has started again; no other hold is sent meanwhile. */
    int probesInFlight;

    long probeSentMillis = Long.MIN_VALUE / 2;
    /** True if the worker is asked for its status although it has no runs, until it answers. */
    boolean answerWanted;
    /** Since when that is so. */
    long answerWantedMillis;
    /** True if an order was not sent as a later incarnation answers, until a status says which one that is. */
    boolean restartReported;

    long drainingSinceMillis = Long.MAX_VALUE;
    long nextHoldMillis;
    long holdSentMillis;
    long holdWaitMillis;
    long lastAnswerMillis = Long.MIN_VALUE / 2;
    /** When the worker had stopped answering at the latest, {@link Long#MAX_VALUE} while no call is without an answer. */
    long silentByMillis = Long.MAX_VALUE;

    int missedCalls;
    int startsInFlight;
    long processedEnd;
    long storedEnd;
    long ackSentEnd;
    long ackedEnd;
    double blame;
    /** True from an unanswered call until the next answered hold. */
    boolean callUnanswered;

    long unansweredOrdersUntilMillis = Long.MIN_VALUE;
    /** Until when the worker is given no work because of a restart. */
    long pausedUntilMillis = Long.MIN_VALUE / 2;

    private long ackedMillis;
    private long unansweredAckUntilMillis = Long.MIN_VALUE / 2;
    private int runsOfUnknownSize;

    PoolWorker(RegisteredWorker registration) {
        this.id = registration.id();
        this.registration = registration;
        this.largestCapacity = registration.capacity();
        this.incarnation = registration.incarnation();
    }

    /**
     * Returns a new incarnation of a worker. What the platform and the owner decided about the worker stays, and so do the
     * orders that are on their way; all else begins again.
     *
     * @param maxLeaseMillis  the longest lease that the worker accepts
     */
    static PoolWorker afterRestart(
            PoolWorker former, WorkerIncarnation incarnation, long maxLeaseMillis, long nowMillis) {
        PoolWorker worker = new PoolWorker(former.registration);
        worker.incarnation = incarnation;
        worker.listed = former.listed;
        worker.notedIn.addAll(former.notedIn);
        worker.evacuating = former.evacuating;
        worker.holdInFlight = former.holdInFlight;
        worker.holdSentMillis = former.holdSentMillis;
        worker.probesInFlight = former.probesInFlight;
        worker.startsInFlight = former.startsInFlight;
        if (former.holdInFlight) {
            former.holdUnanswered(nowMillis);
        } else if (former.startsInFlight > 0) {
            former.callUnanswered(nowMillis);
        }
        worker.lease.assume(former.lease);
        if (nowMillis < former.unansweredOrdersUntilMillis) {
            worker.lease.assumeLateOrders(former.lease, former.unansweredOrdersUntilMillis, maxLeaseMillis);
            worker.unansweredOrdersUntilMillis = former.unansweredOrdersUntilMillis;
            worker.unansweredAckUntilMillis = former.unansweredAckUntilMillis;
        }
        // A late acknowledgement of the previous incarnation's ends would make the worker discard its own unseen ones.
        worker.pausedUntilMillis = worker.unansweredAckUntilMillis;
        return worker;
    }

    /**
     * Records what the registry lists of the worker, and returns the change of its capacity, to be logged, if there is one.
     * Runs that exceed a smaller capacity go on.
     */
    Optional<Decision> register(RegisteredWorker listedWorker) {
        ResourceAmount former = registration.capacity();
        ResourceAmount capacity = listedWorker.capacity();
        registration = listedWorker;
        largestCapacity = largestCapacity.max(capacity);
        return capacity.equals(former)
                ? Optional.empty()
                : Optional.of(Decision.of("worker-capacity-changed")
                        .with("worker", id)
                        .with("cpu", capacity.cpuMillis())
                        .with("memory", capacity.memoryMb())
                        .with("formerCpu", former.cpuMillis())
                        .with("formerMemory", former.memoryMb())
                        .with("usedCpu", usedResources.cpuMillis())
                        .with("usedMemory", usedResources.memoryMb()));
    }

    /** Records when the present incarnation started, if it was not known. */
    void learnIncarnation(WorkerIncarnation learned) {
        if (!incarnation.isKnown()) {
            incarnation = learned;
        }
    }

    /** Records that a call was not answered, so that the worker may still carry out its order. */
    void callUnanswered(long nowMillis) {
        callUnanswered = true;
        unansweredOrdersUntilMillis = nowMillis + Run.MAX_ORDER_DELAY_MILLIS;
    }

    /** Records that a start was not answered. */
    void startUnanswered(Run run, long nowMillis) {
        callUnanswered(nowMillis);
        silentBy(run.startedMillis + ANSWER_MILLIS, nowMillis);
        unansweredStarts.values().removeIf(start -> start.isOrderTooOld(nowMillis));
        unansweredStarts.put(key(run), run);
    }

    /** Records that a hold was not answered. */
    void holdUnanswered(long nowMillis) {
        callUnanswered(nowMillis);
        silentBy(holdSentMillis + holdWaitMillis + ANSWER_MILLIS, nowMillis);
        if (incarnation.isKnown() && ackSentEnd > 0) {
            unansweredAckUntilMillis = unansweredOrdersUntilMillis;
        }
    }

    /** Records that a hold or a probe has been answered or has failed, and returns whether it was a probe. */
    boolean holdCompleted() {
        boolean probe = probesInFlight > 0;
        probesInFlight -= probe ? 1 : 0;
        holdInFlight &= probe;
        return probe;
    }

    private void silentBy(long answerDueMillis, long nowMillis) {
        silentByMillis = Math.min(silentByMillis, Math.min(answerDueMillis, nowMillis));
    }

    /** Has a hold sent to the worker soon, also if it has no runs. */
    void wantAnswer(long nowMillis) {
        answerWantedMillis = answerWanted ? answerWantedMillis : nowMillis;
        answerWanted = true;
    }

    /** Records that the worker has answered a hold of the present owner, and takes no more orders of earlier ones. */
    void fence(long nowMillis, long leaseMillis) {
        fenced = true;
        lease.fence(nowMillis, leaseMillis);
    }

    /** Records that the worker has answered a call. */
    void answered(long nowMillis) {
        lastAnswerMillis = nowMillis;
        answerWanted = false;
        restartReported = false;
        mayReturn = false;
        silentByMillis = Long.MAX_VALUE;
    }

    /**
     * Returns the number of the last end that the next hold acknowledges, 0 for none. A worker that has restarted under its
     * identifier would discard its own ends up to that number, now or when the hold arrives late. Where that is possible,
     * a hold acknowledges nothing needlessly, nothing after an unanswered call, and else only what follows a status so soon
     * that the worker cannot have restarted, or is overdue.
     */
    long endToAcknowledge(long nowMillis) {
        if (!incarnation.isKnown()) {
            return storedEnd;
        }
        boolean statusFresh = lease.clockAgeMillis(nowMillis) <= FRESH_STATUS_MILLIS;
        boolean overdue = nowMillis - ackedMillis > MAX_ACK_DELAY_MILLIS;
        boolean acknowledges = hasEndsToAcknowledge() && !callUnanswered && (statusFresh || overdue);
        return acknowledges ? storedEnd : 0;
    }

    boolean hasEndsToAcknowledge() {
        return storedEnd > ackedEnd;
    }

    /** Records that the worker has answered a hold, and with it received the acknowledgement that the hold carried. */
    void recordAcknowledgement(long nowMillis) {
        if (ackSentEnd > ackedEnd || !hasEndsToAcknowledge()) {
            ackedMillis = nowMillis;
        }
        ackedEnd = Math.max(ackedEnd, ackSentEnd);
    }

    /**
     * Returns whether the worker may still carry out the start of a run although its lease has expired or it has ended:
     * it may restart under its identifier.
     */
    boolean mayStillStart(Run run, long nowMillis) {
        return gone.isEmpty() && isUnresolvedStart(run, nowMillis);
    }

    /** Returns whether it is not known if the worker has carried out the start of a run, or will if it restarts. */
    boolean isUnresolvedStart(Run run, long nowMillis) {
        boolean unanswered = run.phase == RunPhase.STARTING || run.phase == RunPhase.UNCONFIRMED;
        return incarnation.isKnown() && unanswered && !run.stopAnswered && !run.isOrderTooOld(nowMillis);
    }

    /** Returns whether the worker may be sent late an unanswered start whose task may have been started elsewhere. */
    boolean hasReleasedStarts(long nowMillis) {
        return unansweredStarts.entrySet().stream()
                .anyMatch(start ->
                        !runs.containsKey(start.getKey()) && !start.getValue().isOrderTooOld(nowMillis));
    }

    /** Returns whether the worker may start again under its identifier. */
    boolean mayRestart() {
        return incarnation.isKnown() && gone.isEmpty();
    }

    /** Records the time that the worker's own clock showed in an answer. */
    void recordClock(long workerMillis, long nowMillis) {
        lease.recordClock(workerMillis, nowMillis);
        answered(nowMillis);
    }

    /**
     * Returns whether a hold is to renew the lease. That of a worker which does not answer, which has confirmed no run, or of which
     * the next owner is told when its lease ends, is not renewed, so that it expires at a known time.
     */
    boolean needsLease() {
        return fenced
                && lease.isClockKnown()
                && missedCalls == 0
                && notedIn.isEmpty()
                && runs.values().stream().anyMatch(Run::isConfirmed);
    }

    ResourceAmount freeResources() {
        return registration.capacity().minus(usedResources);
    }

    /** Returns the capacity that the long-running tasks leave. */
    ResourceAmount capacityBesideLongRunning() {
        ResourceAmount available = registration.capacity();
        for (Run run : runs.values()) {
            available = run.task.step.spec.longRunning() ? available.minus(run.reserved()) : available;
        }
        return available;
    }

    void add(Run run) {
        runs.put(key(run.task.id.text(), run.number), run);
        run.task.runs.add(run);
        usedResources = usedResources.plus(run.reserved());
        runsOfUnknownSize += run.sizeUnknown ? 1 : 0;
    }

    void remove(Run run) {
        if (runs.remove(key(run.task.id.text(), run.number)) != null) {
            run.task.runs.remove(run);
            usedResources = usedResources.minus(run.reserved());
            runsOfUnknownSize -= run.sizeUnknown ? 1 : 0;
        }
    }

    /** Returns a run, null if none is known on this worker. */
    Run run(String task, int number) {
        return runs.get(key(task, number));
    }

    static String key(Run run) {
        return key(run.task.id.text(), run.number);
    }

    private static String key(String task, int number) {
        return task + '#' + number;
    }

    private boolean isReachable(long nowMillis) {
        return fenced && !ended && missedCalls == 0 && notedIn.isEmpty() && nowMillis >= pausedUntilMillis;
    }

    /** Returns whether some or all work is held off the worker for a time. */
    boolean isPaused(long nowMillis) {
        return suspicion.isPaused(nowMillis) || nowMillis < pausedUntilMillis;
    }

    /** Returns whether the worker's last answer is recent, and no call has failed since. */
    boolean hasFreshAnswer(long nowMillis) {
        return missedCalls == 0 && !restartReported && nowMillis - lastAnswerMillis <= ANSWER_VALID_MILLIS;
    }

    /**
     * Returns for how long the worker has not answered at least, in milliseconds, empty while no call is without an answer.
     */
    Optional<Long> silentForMillis(long nowMillis) {
        return silentByMillis == Long.MAX_VALUE ? Optional.empty() : Optional.of(nowMillis - silentByMillis);
    }

    /** Returns the time since the worker last answered, in milliseconds, -1 if it never did. */
    long answerAgeMillis(long nowMillis) {
        return lastAnswerMillis < 0 ? -1 : nowMillis - lastAnswerMillis;
    }

    boolean acceptsWork(long nowMillis) {
        return !suspicion.isPaused(nowMillis) && isOpen(nowMillis);
    }

    private boolean isOpen(long nowMillis) {
        return isReachable(nowMillis) && listed && !evacuating && !registration.draining() && allSizesKnown();
    }

    /** Returns whether the worker accepts work and has the label that a step requires. */
    boolean suits(StepSpec step, long nowMillis) {
        boolean paused =
                step.longRunning() ? suspicion.isPausedForLongRunning(nowMillis) : suspicion.isPaused(nowMillis);
        return !paused && isOpen(nowMillis) && step.allowsLabels(registration.labels());
    }

    /** Returns whether tasks of other jobs than those running on probation may not start yet. */
    boolean isOnProbation() {
        return runs.values().stream().anyMatch(Run::isOnProbation);
    }

    /** Returns when the latest of the present runs was started, {@link Long#MIN_VALUE} if there is none. */
    long lastStartMillis() {
        return runs.values().stream().mapToLong(run -> run.startedMillis).max().orElse(Long.MIN_VALUE);
    }

    boolean allSizesKnown() {
        return runsOfUnknownSize == 0;
    }

    /** Returns whether the worker may run one more task of a step. */
    boolean isBelowTaskLimit(JobStepState step) {
        return step.spec.maxPerWorker() == 0 || countTasksOf(step) < step.spec.maxPerWorker();
    }

    int countTasksOf(JobStepState step) {
        return (int) runs.values().stream().filter(run -> run.task.step == step).count();
    }
}
