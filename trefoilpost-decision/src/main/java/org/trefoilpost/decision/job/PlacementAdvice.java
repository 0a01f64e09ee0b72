package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Requests placement advice for the steps of queues that require it, and stores the tickets received.
 */
final class PlacementAdvice {
    private static final int MAX_WORKERS_PER_REQUEST = 30;
    private static final long REQUEST_INTERVAL_MILLIS = 400;
    /** The largest part of a ticket's validity that is given up for the time that a start takes to arrive: one of so many. */
    private static final long VALIDITY_PARTS = 4;

    private final PoolState state;

    PlacementAdvice(PoolState state) {
        this.state = state;
    }

    /**
     * Returns whether a step can be placed now; requests advice if the step has no usable ticket.
     */
    boolean isReady(JobStepState step, Moment now) {
        QueueConfig queue = step.occurrence.job.queue;
        if (queue.advice().isEmpty()) {
            return true;
        }
        long nowMillis = now.steadyMillis();
        step.tickets.values().removeIf(ticket -> ticket.expiryMillis() <= nowMillis);
        boolean requestDue = nowMillis - step.adviceRequestedMillis >= REQUEST_INTERVAL_MILLIS;
        if (!step.adviceInFlight && requestDue && countUsableTickets(step, nowMillis) == 0) {
            requestAdvice(step, nowMillis);
        }
        return !step.tickets.isEmpty();
    }

    /**
     * Returns whether the advice permits a step to run on a worker.
     */
    boolean allows(JobStepState step, PoolWorker worker, Moment now) {
        if (step.occurrence.job.queue.advice().isEmpty()) {
            return true;
        }
        JobStepState.Ticket ticket = step.tickets.get(worker.id);
        return ticket != null && ticket.expiryMillis() > now.steadyMillis();
    }

    /**
     * Stores the tickets received.
     */
    void adviceReceived(JobStepState step, AdviceRequest request, AdviceResult result, long callMillis, Moment now) {
        step.adviceInFlight = false;
        // The tickets were made just before the answer was sent, and a start takes about as long to arrive as the
        // answer did.
        long travelMillis = Math.max(0, callMillis - request.durationMillis());
        long validMillis = result.validMillis();
        long expiryMillis = now.steadyMillis() + validMillis - Math.min(travelMillis, validMillis / VALIDITY_PARTS);
        result.tickets()
                .forEach((workerId, ticketText) ->
                        step.tickets.put(workerId, new JobStepState.Ticket(ticketText, expiryMillis)));
        if (result.tickets().isEmpty()) {
            step.adviceOffset += request.workers().size();
        }
        state.placementDue = true;
        boolean answered = result.outcome() == AdviceOutcome.ANSWERED;
        Decision decision = answered ? Decision.of("advice-received") : Decision.failure("advice-failed");
        state.actions.logDecision(decision.with("step", request.step())
                .with("reason", result.outcome().text())
                .with("asked", request.workers().size())
                .with("good", result.tickets().size())
                .with("valid", result.validMillis())
                .with("call", callMillis)
                .with("age", now.steadyMillis() - step.adviceRequestedMillis));
    }

    private int countUsableTickets(JobStepState step, long nowMillis) {
        int count = 0;
        for (String workerId : step.tickets.keySet()) {
            PoolWorker worker = state.workers.get(workerId);
            if (worker != null
                    && worker.acceptsWork(nowMillis)
                    && step.spec.reservedDemand().fitsIn(worker.freeResources())) {
                count++;
            }
        }
        return count;
    }

    private void requestAdvice(JobStepState step, long nowMillis) {
        List<PoolWorker> workers = new ArrayList<>(state.workers.values());
        workers.removeIf(worker -> !worker.suits(step.spec, nowMillis));
        workers.sort(Comparator.comparingLong(
                        (PoolWorker worker) -> worker.freeResources().cpuMillis())
                .reversed());
        if (workers.isEmpty()) {
            return;
        }
        int offset = step.adviceOffset % workers.size();
        List<String> names = new ArrayList<>();
        for (int i = offset; i < workers.size() && names.size() < MAX_WORKERS_PER_REQUEST; i++) {
            names.add(workers.get(i).id);
        }
        step.adviceInFlight = true;
        step.adviceRequestedMillis = nowMillis;
        long durationMillis = step.occurrence.job.queue.advice().orElseThrow().durationMillis(names.size());
        state.actions.requestAdvice(new AdviceRequest(step.name(), names, durationMillis));
    }
}
