package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Asks for advice on the steps of queues that need it, and keeps the tickets.
 */
final class AdviceDesk {
    private static final int WORKERS_A_CALL = 30;
    private static final long RETRY_MILLIS = 400;
    private static final long TICKET_MARGIN_MILLIS = 500;

    private final PoolState state;

    AdviceDesk(PoolState state) {
        this.state = state;
    }

    /**
     * Returns whether a step can be placed now; asks for advice if it needs some.
     */
    boolean ready(StepState step, Moment now) {
        QueueRule queue = step.occurrence.job.queue;
        if (queue.advice().isEmpty()) {
            return true;
        }
        long nowMillis = now.steadyMillis();
        step.tickets.values().removeIf(ticket -> ticket.validUntilMillis() <= nowMillis);
        boolean due = nowMillis - step.adviceAskedMillis >= RETRY_MILLIS;
        if (!step.adviceInFlight && due && usable(step, nowMillis) == 0) {
            ask(step, nowMillis);
        }
        return !step.tickets.isEmpty();
    }

    /**
     * Returns whether the advice lets a step run on a worker.
     */
    boolean allows(StepState step, WorkerSlot slot, Moment now) {
        if (step.occurrence.job.queue.advice().isEmpty()) {
            return true;
        }
        StepState.Ticket ticket = step.tickets.get(slot.id);
        return ticket != null && ticket.validUntilMillis() > now.steadyMillis();
    }

    /**
     * Takes in advice; no tickets at all also stand for a call without an answer.
     */
    void advised(StepState step, AdviceRequest request, Map<String, String> tickets, long validMillis, Moment now) {
        step.adviceInFlight = false;
        long until = step.adviceAskedMillis + validMillis - TICKET_MARGIN_MILLIS;
        tickets.forEach((worker, text) -> step.tickets.put(worker, new StepState.Ticket(text, until)));
        if (tickets.isEmpty()) {
            step.adviceOffset += request.workers().size();
        }
        state.placementDue = true;
        state.actions.decided(Decision.of("advice-received")
                .with("step", request.step())
                .with("asked", request.workers().size())
                .with("good", tickets.size())
                .with("age", now.steadyMillis() - step.adviceAskedMillis));
    }

    private int usable(StepState step, long nowMillis) {
        int usable = 0;
        for (String worker : step.tickets.keySet()) {
            WorkerSlot slot = state.slots.get(worker);
            if (slot != null
                    && slot.acceptsWork(nowMillis)
                    && step.spec.reservedDemand().fitsIn(slot.free())) {
                usable++;
            }
        }
        return usable;
    }

    private void ask(StepState step, long nowMillis) {
        List<WorkerSlot> slots = new ArrayList<>(state.slots.values());
        slots.removeIf(slot -> !slot.suits(step.spec, nowMillis));
        slots.sort(Comparator.comparingLong((WorkerSlot slot) -> slot.free().cpuMillis())
                .reversed());
        if (slots.isEmpty()) {
            return;
        }
        int from = step.adviceOffset % slots.size();
        List<String> names = new ArrayList<>();
        for (int i = from; i < slots.size() && names.size() < WORKERS_A_CALL; i++) {
            names.add(slots.get(i).id);
        }
        step.adviceInFlight = true;
        step.adviceAskedMillis = nowMillis;
        state.actions.advise(new AdviceRequest(step.name(), names));
    }
}
