package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Asks for advice on the steps of queues that need it, and keeps the tickets.
 */
final class PlacementAdvice {
    private static final int MAX_WORKERS_PER_REQUEST = 30;
    private static final long REQUEST_INTERVAL_MILLIS = 400;
    private static final long TICKET_EXPIRY_MARGIN_MILLIS = 500;

    private final PoolState state;

    PlacementAdvice(PoolState state) {
        this.state = state;
    }

    /**
     * Returns whether a step can be placed now; asks for advice if it needs some.
     */
    boolean isReady(JobStepState step, Moment now) {
        QueueConfig queue = step.occurrence.job.queue;
        if (queue.advice().isEmpty()) {
            return true;
        }
        long nowMillis = now.steadyMillis();
        step.tickets.values().removeIf(ticket -> ticket.expiryMillis() <= nowMillis);
        boolean due = nowMillis - step.adviceRequestedMillis >= REQUEST_INTERVAL_MILLIS;
        if (!step.adviceInFlight && due && countUsableTickets(step, nowMillis) == 0) {
            requestAdvice(step, nowMillis);
        }
        return !step.tickets.isEmpty();
    }

    /**
     * Returns whether the advice lets a step run on a worker.
     */
    boolean allows(JobStepState step, PoolWorker slot, Moment now) {
        if (step.occurrence.job.queue.advice().isEmpty()) {
            return true;
        }
        JobStepState.Ticket ticket = step.tickets.get(slot.id);
        return ticket != null && ticket.expiryMillis() > now.steadyMillis();
    }

    /**
     * Takes in advice; no tickets at all also stand for a call without an answer.
     */
    void adviceReceived(
            JobStepState step, AdviceRequest request, Map<String, String> tickets, long validMillis, Moment now) {
        step.adviceInFlight = false;
        long until = step.adviceRequestedMillis + validMillis - TICKET_EXPIRY_MARGIN_MILLIS;
        tickets.forEach((worker, text) -> step.tickets.put(worker, new JobStepState.Ticket(text, until)));
        if (tickets.isEmpty()) {
            step.adviceOffset += request.workers().size();
        }
        state.placementDue = true;
        state.actions.logDecision(Decision.of("advice-received")
                .with("step", request.step())
                .with("asked", request.workers().size())
                .with("good", tickets.size())
                .with("age", now.steadyMillis() - step.adviceRequestedMillis));
    }

    private int countUsableTickets(JobStepState step, long nowMillis) {
        int usable = 0;
        for (String worker : step.tickets.keySet()) {
            PoolWorker slot = state.workers.get(worker);
            if (slot != null
                    && slot.acceptsWork(nowMillis)
                    && step.spec.reservedDemand().fitsIn(slot.freeResources())) {
                usable++;
            }
        }
        return usable;
    }

    private void requestAdvice(JobStepState step, long nowMillis) {
        List<PoolWorker> slots = new ArrayList<>(state.workers.values());
        slots.removeIf(slot -> !slot.suits(step.spec, nowMillis));
        slots.sort(Comparator.comparingLong(
                        (PoolWorker slot) -> slot.freeResources().cpuMillis())
                .reversed());
        if (slots.isEmpty()) {
            return;
        }
        int from = step.adviceOffset % slots.size();
        List<String> names = new ArrayList<>();
        for (int i = from; i < slots.size() && names.size() < MAX_WORKERS_PER_REQUEST; i++) {
            names.add(slots.get(i).id);
        }
        step.adviceInFlight = true;
        step.adviceRequestedMillis = nowMillis;
        state.actions.requestAdvice(new AdviceRequest(step.name(), names));
    }
}
