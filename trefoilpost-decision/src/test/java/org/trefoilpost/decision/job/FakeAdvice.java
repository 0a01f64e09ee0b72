package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * An advice service in virtual time: it handles one request after the other, also those that were given up, takes as long as the
 * policy says, and its tickets are valid from the answer on.
 */
final class FakeAdvice {
    private final QueueConfig.AdvicePolicy policy;
    private final BiPredicate<String, String> allows;
    private final Map<String, Long> expiryMillis = new HashMap<>();
    private final List<AdviceRequest> requests = new ArrayList<>();
    private long travelMillis;
    private long busyUntilMillis;
    private long lastTicket;

    /**
     * Constructs a service.
     *
     * @param allows  tells for a step and a worker whether the step may run there
     */
    FakeAdvice(QueueConfig.AdvicePolicy policy, BiPredicate<String, String> allows) {
        this.policy = policy;
        this.allows = allows;
    }

    /** Sets how long each request and each answer is on its way. */
    FakeAdvice withTravelMillis(long value) {
        travelMillis = value;
        return this;
    }

    /** Has the service handle nothing else for some time. */
    void pause(long nowMillis, long millis) {
        busyUntilMillis = Math.max(busyUntilMillis, nowMillis) + millis;
    }

    QueueConfig.AdvicePolicy policy() {
        return policy;
    }

    /** Takes a request, and returns the time until its answer. */
    long accept(AdviceRequest request, long nowMillis) {
        requests.add(request);
        busyUntilMillis = Math.max(busyUntilMillis, nowMillis + travelMillis)
                + policy.durationMillis(request.workers().size());
        return busyUntilMillis + travelMillis - nowMillis;
    }

    /** Returns the answer to a request at the time at which it is made. */
    AdviceResult answer(AdviceRequest request, long nowMillis) {
        Map<String, String> tickets = new HashMap<>();
        for (String worker : request.workers()) {
            if (allows.test(request.step(), worker)) {
                String ticket = request.step() + " " + worker + " " + ++lastTicket;
                tickets.put(worker, ticket);
                expiryMillis.put(ticket, nowMillis + policy.validMillis());
            }
        }
        return AdviceResult.answered(tickets, policy.validMillis());
    }

    boolean isValid(WorkerOrder.Start start, long nowMillis) {
        String prefix = start.task().job()
                + '.'
                + start.task().occurrence()
                + '.'
                + start.task().step()
                + ' '
                + start.worker()
                + ' ';
        return start.ticket()
                .filter(ticket -> ticket.startsWith(prefix) && expiryMillis.getOrDefault(ticket, 0L) >= nowMillis)
                .isPresent();
    }

    List<AdviceRequest> requests() {
        return List.copyOf(requests);
    }
}
