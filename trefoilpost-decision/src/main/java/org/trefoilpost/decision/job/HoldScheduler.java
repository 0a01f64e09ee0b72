package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides when a hold is sent to each worker, which renews its lease and asks for its status, and releases the runs of
 * workers whose lease has expired.
 */
final class HoldScheduler {
    /** Consecutive unanswered calls from which a worker counts as silent. */
    private static final int CALLS_UNTIL_SILENT = 2;

    private static final long RUNNING_POLL_WAIT_MILLIS = 800;
    private static final long UNSETTLED_POLL_WAIT_MILLIS = 100;
    /** Short, as the first poll without an answer bounds the time of a crash. */
    private static final long PROBATION_POLL_WAIT_MILLIS = 50;
    /** Time for which no hold is sent to a worker that has reported ends which are not stored yet. */
    private static final long MAX_STORE_WAIT_MILLIS = 400;

    private final PoolState state;
    private final OrderSender orderSender;
    private final WorkerLosses workerLosses;
    private final ReturnProbes returnProbes;

    HoldScheduler(PoolState state, OrderSender orderSender, WorkerLosses workerLosses) {
        this.state = state;
        this.orderSender = orderSender;
        this.workerLosses = workerLosses;
        this.returnProbes = new ReturnProbes(state, orderSender);
    }

    /**
     * Sends the holds and stops that are due.
     */
    void tick(Moment now) {
        long nowMillis = now.steadyMillis();
        returnProbes.tick(nowMillis);
        for (PoolWorker worker : new ArrayList<>(state.workers.values())) {
            for (Run run : worker.runs.values()) {
                if (!run.wanted) {
                    orderSender.sendStop(run, nowMillis);
                }
            }
            if (worker.mayReturn) {
                orderSender.stopReleasedStarts(worker, nowMillis);
            }
            if (isLeaseExpired(worker, nowMillis)) {
                workerLosses.releaseRuns(worker, "lease-lapsed", now);
            }
            if (isDue(worker, nowMillis)) {
                orderSender.hold(worker, waitMillis(worker), nowMillis);
            }
            removeIfUnlisted(worker, nowMillis);
        }
    }

    private boolean isLeaseExpired(PoolWorker worker, long nowMillis) {
        boolean unconfirmed = worker.missedCalls > 0 || !worker.fenced || worker.ended;
        boolean mayHaveRuns = mayHaveForeignRuns(worker, nowMillis)
                || worker.runs.values().stream().anyMatch(run -> !worker.mayStillStart(run, nowMillis));
        return unconfirmed && mayHaveRuns && nowMillis > worker.lease.expiryMillis();
    }

    /**
     * Returns whether runs of an earlier owner may end with the worker's lease: if it does not start again under its identifier, and
     * once no order of that owner can reach it if it does.
     */
    private boolean mayHaveForeignRuns(PoolWorker worker, long nowMillis) {
        boolean mayStartLater = worker.mayRestart() && nowMillis < state.foreignOrdersUntilMillis;
        return state.unresolvedWorkers.contains(worker) && !mayStartLater;
    }

    private boolean isDue(PoolWorker worker, long nowMillis) {
        boolean probed = worker.probesInFlight > 0 || returnProbes.isNeeded(worker, nowMillis);
        if (worker.ended || worker.holdInFlight || probed || nowMillis < worker.nextHoldMillis) {
            return false;
        }
        boolean endsUnstored = worker.processedEnd > worker.storedEnd;
        if (endsUnstored && !worker.holdUrgent && nowMillis - worker.lastAnswerMillis < MAX_STORE_WAIT_MILLIS) {
            return false;
        }
        boolean needsPolling = !worker.runs.isEmpty()
                || worker.answerWanted
                || !worker.statusComplete
                || worker.storedEnd > worker.ackedEnd;
        return !worker.fenced || worker.missedCalls > 0 || needsPolling;
    }

    private static long waitMillis(PoolWorker worker) {
        if (worker.incarnation.isKnown() && worker.hasEndsToAcknowledge()) {
            // A hold with an acknowledgement is not left with a worker that might restart meanwhile.
            return 0;
        }
        if (!worker.fenced
                || worker.missedCalls > 0
                || worker.holdUrgent
                || worker.answerWanted
                || worker.processedEnd > worker.storedEnd) {
            return 0;
        }
        if (worker.isOnProbation()) {
            return PROBATION_POLL_WAIT_MILLIS;
        }
        for (Run run : worker.runs.values()) {
            if (run.phase != RunPhase.RUNNING) {
                return UNSETTLED_POLL_WAIT_MILLIS;
            }
        }
        return worker.runs.isEmpty() ? 0 : RUNNING_POLL_WAIT_MILLIS;
    }

    private void removeIfUnlisted(PoolWorker worker, long nowMillis) {
        boolean allRunsEnded = worker.ended || nowMillis > worker.lease.expiryMillis();
        boolean mayHaveLateOrders = worker.incarnation.isKnown() && nowMillis < worker.unansweredOrdersUntilMillis;
        boolean called = worker.holdInFlight || worker.probesInFlight > 0 || returnProbes.isNeeded(worker, nowMillis);
        if (!worker.listed
                && worker.runs.isEmpty()
                && allRunsEnded
                && !called
                && !mayHaveLateOrders
                && worker.notedIn.isEmpty()) {
            state.workers.remove(worker.id);
            state.unresolvedWorkers.remove(worker);
        }
    }

    /**
     * Handles that a worker was found on no machine.
     *
     * @param reason  the stable reason from which the end is known
     */
    void workerEnded(PoolWorker worker, String reason, Moment now) {
        if (isEndCurrent(worker)) {
            workerLosses.workerEnded(worker, reason, now);
        }
    }

    /**
     * Asks for evidence that the silent workers which may still carry out an unanswered order will not start again. That a worker is
     * not registered counts as long as it is known.
     */
    void findGoneWorkers(WorkerEvidence evidence, Moment now) {
        for (PoolWorker worker : new ArrayList<>(state.workers.values())) {
            boolean mayHaveRuns = !worker.runs.isEmpty() || state.unresolvedWorkers.contains(worker);
            if (mayHaveRuns
                    && isUnregistered(worker)
                    && goneReason(worker, evidence).isEmpty()) {
                worker.gone = Optional.empty();
            }
            boolean silent = worker.ended || worker.missedCalls > 0;
            if (silent && worker.mayRestart() && mayCarryOutOrders(worker, now.steadyMillis())) {
                goneReason(worker, evidence).ifPresent(reason -> workerLosses.workerGone(worker, reason, now));
            }
        }
    }

    /** Asks about the present incarnation, of which a status may have told before the registry does. */
    private static Optional<GoneReason> goneReason(PoolWorker worker, WorkerEvidence evidence) {
        return evidence.goneReason(worker.registration.withBorn(worker.incarnation.born()));
    }

    /** Returns whether the only sign that the worker will not start again is that the registry has ceased to list it. */
    private static boolean isUnregistered(PoolWorker worker) {
        return worker.gone.equals(Optional.of(GoneReason.NOT_REGISTERED));
    }

    private boolean mayCarryOutOrders(PoolWorker worker, long nowMillis) {
        return state.unresolvedWorkers.contains(worker)
                || worker.runs.values().stream().anyMatch(run -> worker.mayStillStart(run, nowMillis));
    }

    /**
     * Returns whether the end of a worker, found out by listing the machines, is that of its present incarnation. A worker
     * that restarted while the machines were listed is not silent.
     */
    private boolean isEndCurrent(PoolWorker worker) {
        return !worker.incarnation.isKnown() || isSilent(worker);
    }

    /**
     * Returns whether a worker does not answer. One that the registry has ceased to list before this owner took over counts as silent
     * from the start.
     */
    private boolean isSilent(PoolWorker worker) {
        boolean unheardOf = !worker.listed && !worker.fenced && state.unresolvedWorkers.contains(worker);
        return unheardOf || worker.missedCalls >= CALLS_UNTIL_SILENT;
    }

    /**
     * Returns the silent workers that may have runs, for which failure detection is needed.
     */
    Set<String> silentWorkers() {
        Set<String> silent = new TreeSet<>();
        for (PoolWorker worker : state.workers.values()) {
            boolean mayHaveRuns = !worker.runs.isEmpty() || state.unresolvedWorkers.contains(worker);
            if (mayHaveRuns && !worker.ended && isSilent(worker)) {
                silent.add(worker.id);
            }
        }
        return silent;
    }
}
