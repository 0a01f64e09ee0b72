package org.trefoilpost.decision.routing;

import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Ejects workers whose failure rate exceeds that of their pool, and schedules the probes that may reinstate them.
 */
final class OutlierEjector {
    /** The most candidates that a worker is compared with, so that the cost does not grow with the pool. */
    private static final int MAX_COMPARED = 32;
    /** The least back-off with jitter, as a share of the back-off without it. */
    private static final double MIN_BACK_OFF_SHARE = 0.5;

    /** Keeps the shift of the back-off from overflowing. */
    private static final int MAX_DOUBLINGS = 30;

    private final RouterSettings settings;
    private final RandomGenerator random;
    private final PriorityQueue<Ejection> probes = new PriorityQueue<>();
    private int ejected;

    OutlierEjector(RouterSettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
    }

    int ejected() {
        return ejected;
    }

    /** Returns when the next probe is due, the largest long if none is scheduled. */
    long nextProbeMillis() {
        return probes.isEmpty() ? Long.MAX_VALUE : probes.peek().probeAtMillis();
    }

    /** Returns the ejected candidate to probe, or null if no probe is due or the request excludes the worker. */
    Candidate dueProbe(RouteRequest request, long nowMillis) {
        Candidate candidate = dueProbe(nowMillis);
        return candidate != null && request.allows(candidate.worker()) ? candidate : null;
    }

    /**
     * Returns the ejected candidate to probe, or null if no probe is due.
     *
     * <p>Probes of workers that are full or leaving are scheduled again.
     */
    Candidate dueProbe(long nowMillis) {
        Ejection next = probes.peek();
        while (next != null && next.probeAtMillis() <= nowMillis) {
            Candidate candidate = next.candidate();
            boolean free = candidate.estimatedInFlight() < candidate.estimatedSlots();
            if (free && !candidate.leaving()) {
                return candidate;
            }
            probes.remove();
            scheduleProbe(candidate, nowMillis);
            next = probes.peek();
        }
        return null;
    }

    void probeStarted(Candidate candidate) {
        Ejection ejection = candidate.ejection();
        if (ejection != null && !ejection.probing()) {
            probes.remove(ejection);
            ejection.startProbe();
        }
    }

    /** Records the end of an attempt, and ejects or reinstates the candidate if that follows from it. */
    void attemptEnded(
            Candidate candidate, List<Candidate> pool, AttemptOutcome outcome, boolean probe, long nowMillis) {
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.FAILED) {
            candidate.failureRate().record(outcome == AttemptOutcome.FAILED, nowMillis);
        }
        if (candidate.ejection() != null) {
            if (probe) {
                probeEnded(candidate, pool, outcome, nowMillis);
            }
        } else if (outcome == AttemptOutcome.FAILED
                && mayEject(pool)
                && exceedsThresholds(candidate, pool, nowMillis)) {
            eject(candidate, nowMillis);
        }
    }

    /** Ends the ejection of a candidate, if there is one, and resets its failure rate. */
    void reinstate(Candidate candidate, long nowMillis) {
        if (candidate.ejection() == null) {
            return;
        }
        probes.remove(candidate.ejection());
        candidate.ejection(null);
        candidate.reinstatedMillis(nowMillis);
        candidate.failureRate().reset();
        ejected--;
    }

    private void probeEnded(Candidate candidate, List<Candidate> pool, AttemptOutcome outcome, long nowMillis) {
        if (outcome == AttemptOutcome.ANSWERED
                || (outcome == AttemptOutcome.FAILED && !failsMoreThanPool(candidate, pool))) {
            reinstate(candidate, nowMillis);
            return;
        }
        candidate.consecutiveEjections(candidate.consecutiveEjections() + (outcome == AttemptOutcome.FAILED ? 1 : 0));
        scheduleProbe(candidate, nowMillis);
    }

    private boolean mayEject(List<Candidate> pool) {
        return ejected + 1 <= (int) (settings.maxEjectedShare() * pool.size());
    }

    private void eject(Candidate candidate, long nowMillis) {
        boolean repeated = candidate.consecutiveEjections() > 0
                && nowMillis - candidate.reinstatedMillis() < settings.maxProbeDelayMillis();
        candidate.consecutiveEjections(repeated ? candidate.consecutiveEjections() + 1 : 1);
        ejected++;
        scheduleProbe(candidate, nowMillis);
    }

    private void scheduleProbe(Candidate candidate, long nowMillis) {
        int doublings = Math.min(MAX_DOUBLINGS, candidate.consecutiveEjections() - 1);
        long backOff = Math.min(settings.maxProbeDelayMillis(), settings.firstProbeDelayMillis() << doublings);
        double share = MIN_BACK_OFF_SHARE + (1 - MIN_BACK_OFF_SHARE) * random.nextDouble();
        Ejection ejection = new Ejection(candidate, nowMillis + Math.max(1, (long) (backOff * share)));
        candidate.ejection(ejection);
        probes.add(ejection);
    }

    private boolean exceedsThresholds(Candidate candidate, List<Candidate> pool, long nowMillis) {
        // The count decays between failures, so half a failure is tolerated.
        return candidate.failureRate().failures(nowMillis) >= settings.minFailures() - 0.5
                && candidate.failureRate().rate() >= settings.minFailureRate()
                && failsMoreThanPool(candidate, pool);
    }

    private boolean failsMoreThanPool(Candidate candidate, List<Candidate> pool) {
        double limit = settings.failureRateRatio() * baselineRate(candidate, pool);
        return candidate.failureRate().rate() > limit;
    }

    /**
     * Returns the failure rate that the healthiest other candidates, as many as must stay in the pool, do not exceed.
     *
     * <p>Returns 1, which no rate exceeds, if there are no others.
     */
    private double baselineRate(Candidate candidate, List<Candidate> pool) {
        int size = pool.size();
        int compared = Math.min(size, MAX_COMPARED);
        int start = size <= MAX_COMPARED ? 0 : random.nextInt(size);
        double[] rates = new double[compared];
        int count = 0;
        for (int i = 0; i < compared; i++) {
            Candidate other = pool.get((start + i) % size);
            if (other != candidate) {
                rates[count] = other.failureRate().rate();
                count++;
            }
        }
        if (count == 0) {
            return 1;
        }
        Arrays.sort(rates, 0, count);
        return rates[(int) ((1 - settings.maxEjectedShare()) * (count - 1))];
    }
}
