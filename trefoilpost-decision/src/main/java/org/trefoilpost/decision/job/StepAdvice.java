package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * What placement advice has said about the workers for a step. Whether a worker may run the step does not change while it lives;
 * the tickets expire.
 */
final class StepAdvice {
    private static final long MIN_RECHECK_INTERVAL_MILLIS = 1_000;
    private static final long MAX_RECHECK_INTERVAL_MILLIS = 60_000;

    private final Map<PoolWorker, Verdict> verdicts = new HashMap<>();
    private int unusedRenewals;
    private long recheckDueMillis = Long.MIN_VALUE;
    private long recheckIntervalMillis = MIN_RECHECK_INTERVAL_MILLIS;

    /**
     * Records that the step may run on a worker.
     *
     * @param expiryMillis  when the ticket expires, on the steady clock in milliseconds
     */
    void allowed(PoolWorker worker, String ticket, long expiryMillis, long nowMillis) {
        verdicts.put(worker, new Verdict(Optional.of(ticket), expiryMillis, nowMillis));
    }

    /**
     * Records that the step may not run on a worker.
     */
    void denied(PoolWorker worker, long nowMillis) {
        verdicts.put(worker, new Verdict(Optional.empty(), Long.MIN_VALUE, nowMillis));
    }

    /**
     * Records that a worker has refused a ticket, which has expired earlier than was expected.
     */
    void ticketRefused(PoolWorker worker) {
        verdicts.computeIfPresent(
                worker, (key, verdict) -> new Verdict(verdict.ticket, Long.MIN_VALUE, verdict.answeredMillis));
    }

    /**
     * Forgets the workers that do not meet a condition.
     */
    void retain(Predicate<PoolWorker> condition) {
        verdicts.keySet().removeIf(condition.negate());
    }

    /**
     * Forgets all workers.
     */
    void clear() {
        verdicts.clear();
    }

    /**
     * Returns whether the step is allowed on the workers that were asked about, by their identifiers.
     */
    Map<String, Boolean> verdicts() {
        Map<String, Boolean> known = new HashMap<>();
        verdicts.forEach((worker, verdict) -> known.put(worker.id, verdict.ticket.isPresent()));
        return known;
    }

    boolean isKnown(PoolWorker worker) {
        return verdicts.containsKey(worker);
    }

    /**
     * Returns whether the step is known to be allowed on a worker, with a valid ticket or without one.
     */
    boolean allows(PoolWorker worker) {
        Verdict verdict = verdicts.get(worker);
        return verdict != null && verdict.ticket.isPresent();
    }

    /**
     * Returns whether the step is known not to be allowed on a worker.
     */
    boolean denies(PoolWorker worker) {
        Verdict verdict = verdicts.get(worker);
        return verdict != null && verdict.ticket.isEmpty();
    }

    /**
     * Returns whether the step is known to be allowed on any worker.
     */
    boolean allowsAny() {
        return verdicts.values().stream().anyMatch(verdict -> verdict.ticket.isPresent());
    }

    boolean hasTicket(PoolWorker worker, long nowMillis) {
        Verdict verdict = verdicts.get(worker);
        return verdict != null && verdict.expiryMillis > nowMillis;
    }

    /**
     * Returns whether there is a valid ticket for a worker that meets a condition.
     */
    boolean hasTicket(long nowMillis, Predicate<PoolWorker> condition) {
        return verdicts.entrySet().stream()
                .anyMatch(entry -> entry.getValue().expiryMillis > nowMillis && condition.test(entry.getKey()));
    }

    /**
     * Returns the ticket with which to start a task on a worker, empty if the step needs none, and counts it as used.
     */
    Optional<String> useTicket(PoolWorker worker) {
        Verdict verdict = verdicts.get(worker);
        if (verdict == null) {
            return Optional.empty();
        }
        unusedRenewals = 0;
        return verdict.ticket;
    }

    /**
     * Records that tickets are requested once more.
     */
    void renewalRequested() {
        unusedRenewals++;
    }

    /**
     * Returns how many times tickets have been requested again since the last start with one.
     */
    int unusedRenewals() {
        return unusedRenewals;
    }

    /**
     * Returns whether a worker on which the step is not allowed may be asked about again. That is done ever more seldom.
     */
    boolean isRecheckDue(long nowMillis) {
        return nowMillis >= recheckDueMillis;
    }

    void recheckRequested(long nowMillis) {
        recheckDueMillis = nowMillis + recheckIntervalMillis;
        recheckIntervalMillis = Math.min(MAX_RECHECK_INTERVAL_MILLIS, 2 * recheckIntervalMillis);
    }

    /**
     * Returns when advice about a known worker was received, on the steady clock in milliseconds.
     */
    long answeredMillis(PoolWorker worker) {
        return verdicts.get(worker).answeredMillis;
    }

    /**
     * The advice about a worker.
     *
     * @param ticket  the latest ticket, empty if the step may not run there
     * @param expiryMillis  when the ticket expires
     * @param answeredMillis  when the advice was received
     */
    private record Verdict(Optional<String> ticket, long expiryMillis, long answeredMillis) {}
}
