package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.Map;

/**
 * What is known of a worker: its room, its clock, its lease, and the runs on it.
 */
final class PoolWorker {
    /** The pace of a task that is not held back, in percent. */
    static final int FULL_PACE = 100;

    /** Time in milliseconds for which a worker's answer is taken as its present state. */
    private static final long ANSWER_VALID_MILLIS = 1_300;

    /** The share of true time that a worker's clock surely advances, with a margin on the 2 % that clocks may lag. */
    static final double MIN_CLOCK_RATE = 0.975;

    /** Time in milliseconds that a worker may take to end its runs after its lease ran out. */
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

    PoolWorker(RegisteredWorker report) {
        this.id = report.id();
        this.registration = report;
    }

    /**
     * Takes in what the worker's own clock showed.
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
     * Returns the end of a lease on the worker's clock, and records until when the lease may hold.
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
     * Records that the worker's runs may go on until a time.
     */
    void assumeLeaseUntil(long millis) {
        leaseUntilMillis = Math.max(leaseUntilMillis, millis);
    }

    /**
     * Returns when every lease that was ever granted to the worker has surely run out.
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
     * Returns a run, null if it is not known here.
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
     * Returns whether what the worker said last can still be relied on.
     */
    boolean hasFreshAnswer(long nowMillis) {
        return missedCalls == 0 && nowMillis - lastAnswerMillis <= ANSWER_VALID_MILLIS;
    }

    /**
     * Returns how long ago the worker answered, in milliseconds, -1 if it never did.
     */
    long answerAgeMillis(long nowMillis) {
        return lastAnswerMillis < 0 ? -1 : nowMillis - lastAnswerMillis;
    }

    boolean acceptsWork(long nowMillis) {
        return isReachable(nowMillis) && listed && !evacuating && !registration.draining() && allSizesKnown();
    }

    /**
     * Returns whether the worker takes work, and is of a kind that a step may run on.
     */
    boolean suits(StepSpec step, long nowMillis) {
        return acceptsWork(nowMillis) && step.allowsLabels(registration.labels());
    }

    private boolean allSizesKnown() {
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
