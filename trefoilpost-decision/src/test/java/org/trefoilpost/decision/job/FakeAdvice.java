package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * An advice service in virtual time: it handles one request after the other, takes as long as the policy says, and its tickets are
 * valid from the answer on.
 */
final class FakeAdvice {
    private final QueueConfig.AdvicePolicy policy;
    private final BiPredicate<String, String> allows;
    private final Map<String, Long> expiryMillis = new HashMap<>();
    private final List<AdviceRequest> requests = new ArrayList<>();
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

    QueueConfig.AdvicePolicy policy() {
        return policy;
    }

    /** Takes a request, and returns the time until its answer. */
    long accept(AdviceRequest request, long nowMillis) {
        requests.add(request);
        busyUntilMillis = Math.max(busyUntilMillis, nowMillis)
                + policy.durationMillis(request.workers().size());
        return busyUntilMillis - nowMillis;
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
