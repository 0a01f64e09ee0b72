package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;

/**
 * The state of a worker of the pool: its resources, its clock, its lease, and the runs on it.
 */
final class PoolWorker {
    /** The pace of a run that is not limited, in percent. */
    static final int FULL_PACE = 100;

    /** Time for which a worker's answer counts as its present state. */
    private static final long ANSWER_VALID_MILLIS = 1_300;

    /** The minimum rate of a worker's clock relative to true time: clocks may lag by 2 %, the rest is a margin. */
    static final double MIN_CLOCK_RATE = 0.975;

    /** Time that a worker may take to end its runs after its lease has expired. */
    private static final long LEASE_END_MARGIN_MILLIS = 250;

    final String id;
    final Map<String, Run> runs = new HashMap<>();
    RegisteredWorker registration;
    ResourceAmount usedResources = ResourceAmount.NONE;
    boolean listed = true;
    boolean fenced;
    boolean ended;
    boolean evacuating;
    boolean holdInFlight;
    boolean holdUrgent;
    long drainingSinceMillis = Long.MAX_VALUE;
    long nextHoldMillis;
    long holdSentMillis;
    long lastAnswerMillis = Long.MIN_VALUE / 2;
    long suspectUntilMillis = Long.MIN_VALUE;
    int missedCalls;
    int startsInFlight;
    long processedEnd;
    long storedEnd;
    long ackSentEnd;
    long ackedEnd;
    double blame;
    private int runsOfUnknownSize;
    private long clockMillis;
    private long clockSeenMillis = Long.MIN_VALUE;
    private long leaseUntilMillis = Long.MIN_VALUE;

    PoolWorker(RegisteredWorker registration) {
        this.id = registration.id();
        this.registration = registration;
    }

    /**
     * Records the time that the worker's own clock showed in an answer.
     */
    void recordClock(long workerMillis, long nowMillis) {
        clockMillis = workerMillis;
        clockSeenMillis = nowMillis;
        lastAnswerMillis = nowMillis;
    }

    boolean isClockKnown() {
        return clockSeenMillis != Long.MIN_VALUE;
    }

    /**
     * Grants a lease and records its latest expiry.
     *
     * @return the end of the lease on the worker's clock, 0 if that clock is not known
     */
    long grantLease(long nowMillis, long leaseMillis) {
        if (!isClockKnown()) {
            return 0;
        }
        long remaining = nowMillis - clockSeenMillis + leaseMillis;
        assumeLeaseUntil(clockSeenMillis + (long) (remaining / MIN_CLOCK_RATE) + LEASE_END_MARGIN_MILLIS);
        return clockMillis + remaining;
    }

    /**
     * Records that the worker's runs may continue until a time on the steady clock.
     */
    void assumeLeaseUntil(long millis) {
        leaseUntilMillis = Math.max(leaseUntilMillis, millis);
    }

    /**
     * Returns the time on the steady clock after which every lease granted to the worker is certain to have expired.
     */
    long leaseExpiryMillis() {
        return leaseUntilMillis;
    }

    ResourceAmount freeResources() {
        return registration.capacity().minus(usedResources);
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

    /**
     * Returns a run, null if none is known on this worker.
     */
    Run run(String task, int number) {
        return runs.get(key(task, number));
    }

    private static String key(String task, int number) {
        return task + '#' + number;
    }

    boolean isReachable(long nowMillis) {
        return fenced && !ended && missedCalls == 0 && nowMillis >= suspectUntilMillis;
    }

    /**
     * Returns whether the worker's last answer is recent, and no call has failed since.
     */
    boolean hasFreshAnswer(long nowMillis) {
        return missedCalls == 0 && nowMillis - lastAnswerMillis <= ANSWER_VALID_MILLIS;
    }

    /**
     * Returns the time since the worker last answered, in milliseconds, -1 if it never did.
     */
    long answerAgeMillis(long nowMillis) {
        return lastAnswerMillis < 0 ? -1 : nowMillis - lastAnswerMillis;
    }

    boolean acceptsWork(long nowMillis) {
        return isReachable(nowMillis) && listed && !evacuating && !registration.draining() && allSizesKnown();
    }

    /**
     * Returns whether the worker accepts work and has the label that a step requires.
     */
    boolean suits(StepSpec step, long nowMillis) {
        return acceptsWork(nowMillis) && step.allowsLabels(registration.labels());
    }

    boolean allSizesKnown() {
        return runsOfUnknownSize == 0;
    }

    /**
     * Returns whether the worker may run one more task of a step.
     */
    boolean isBelowTaskLimit(JobStepState step) {
        return step.spec.maxPerWorker() == 0 || countTasksOf(step) < step.spec.maxPerWorker();
    }

    int countTasksOf(JobStepState step) {
        int count = 0;
        for (Run run : runs.values()) {
            if (run.task.step == step) {
                count++;
            }
        }
        return count;
    }
}
