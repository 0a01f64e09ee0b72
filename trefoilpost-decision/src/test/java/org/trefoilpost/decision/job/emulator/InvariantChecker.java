package org.trefoilpost.decision.job.emulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.ResourceAmount;
import org.trefoilpost.decision.job.RunEnd;
import org.trefoilpost.decision.job.StepSpec;
import org.trefoilpost.decision.job.TaskId;
import org.trefoilpost.decision.job.WorkerOrder;
import org.trefoilpost.decision.job.WorkerRunStatus;

/**
 * Checks invariants over what workers and callers observe, and collects the violations.
 */
public final class InvariantChecker {
    /** Maximum time after a caller was informed of a cancellation in which tasks of the job may still start. */
    private static final long MAX_CANCEL_DELAY_MILLIS = 3_000;

    /** Time after the answer to its caller from which an accepted job must be known everywhere. */
    private static final long VISIBLE_MILLIS = 3_000;

    /** How old the number of a queue's waiting jobs may be. */
    private static final long WAITING_AGE_MILLIS = 2_000;

    /** How long the state of a job is kept at least. */
    private static final long STATE_RETENTION_MILLIS = 120_000;

    /** Workers that a task may crash before its further starts are counted. */
    private static final int CRASHES_UNTIL_COUNTED = 3;

    private static final int MAX_STARTS_AFTER_CRASHES = 2;
    /** Workers that a task must have crashed for its job to be reported as failed. */
    private static final int MIN_CRASHES_OF_FAILED_JOB = 2;

    private final EmulatorTime time;
    private final Map<String, JobSpec> jobs = new HashMap<>();
    private final Map<String, Integer> maxAttempts = new HashMap<>();
    private final Map<String, Long> acceptedMillis = new HashMap<>();
    private final Set<String> refusedJobs = new HashSet<>();
    private final Map<String, Long> cancelledMillis = new HashMap<>();
    private final Set<String> cancelRequests = new HashSet<>();
    private final Set<String> endedJobs = new HashSet<>();
    /** The jobs of which a worker has started a task. */
    private final Set<String> begunJobs = new HashSet<>();

    private final Map<String, Set<String>> runningWorkers = new HashMap<>();
    private final Map<String, Long> lastStartMillis = new HashMap<>();
    private final Map<String, Long> lastEndMillis = new HashMap<>();
    private final Set<String> completedTasks = new HashSet<>();
    private final Map<String, Integer> failedRuns = new HashMap<>();
    private final Set<String> acknowledgedCompletions = new HashSet<>();
    /** The number of starts of any task at the last start of each task, and at the end of each run that ended done. */
    private final Map<String, Integer> startsAtLastStart = new HashMap<>();

    private final Map<String, Integer> startsAtCompletion = new HashMap<>();
    private final Map<String, Integer> acknowledgedFailures = new HashMap<>();
    private final Map<String, Integer> crashesByTask = new HashMap<>();
    private final Map<String, Integer> startsAfterCrashes = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int starts;
    private int unpreventableStarts;
    private boolean lateOrder;

    /**
     * Constructs a checker without observations.
     *
     * @param time  the time of the emulation, not null
     */
    public InvariantChecker(EmulatorTime time) {
        this.time = time;
    }

    /**
     * Sets whether the following orders are carried out late; time limits do not apply to those.
     */
    void setLateOrder(boolean late) {
        lateOrder = late;
    }

    boolean isLateOrder() {
        return lateOrder;
    }

    /**
     * Records that a caller submits a job.
     *
     * @param spec  the job, not null
     * @param allowedAttempts  the maximum number of failed runs of a task
     */
    public void jobSubmitted(JobSpec spec, int allowedAttempts) {
        jobs.put(spec.id(), spec);
        maxAttempts.put(spec.id(), allowedAttempts);
    }

    /**
     * Records that a caller was informed that a job is accepted.
     *
     * @param job  the identifier of the job, not null
     */
    public void jobAccepted(String job) {
        acceptedMillis.putIfAbsent(job, time.nowMillis());
    }

    /**
     * Records that a caller was informed that a job is refused and will not run.
     *
     * @param job  the identifier of the job, not null
     */
    public void jobRefused(String job) {
        refusedJobs.add(job);
    }

    /**
     * Records that a caller asks to cancel a job.
     *
     * @param job  the identifier of the job, not null
     */
    public void cancelRequested(String job) {
        cancelRequests.add(job);
    }

    boolean isCancelRequested(String job) {
        return cancelRequests.contains(job);
    }

    /**
     * Records that a caller was informed that a job is cancelled.
     *
     * @param job  the identifier of the job, not null
     */
    public void jobCancelled(String job) {
        cancelledMillis.putIfAbsent(job, time.nowMillis());
    }

    JobSpec spec(String job) {
        return jobs.get(job);
    }

    void runStarted(String worker, WorkerOrder.Start order, ResourceAmount capacity, ResourceAmount used) {
        starts++;
        TaskId task = order.task();
        begunJobs.add(task.job());
        JobSpec job = jobs.get(task.job());
        if (job == null || !job.text().equals(order.text())) {
            addViolation("UNASKED " + task.text());
            return;
        }
        if (!used.fitsIn(capacity)) {
            addViolation("LIMIT " + worker + " uses " + used);
        }
        Set<String> others = runningWorkers.computeIfAbsent(task.text(), name -> new HashSet<>());
        if (!others.isEmpty()) {
            addViolation("TWICE " + task.text() + " on " + worker + " and " + others);
        }
        if (acknowledgedCompletions.contains(task.text())) {
            addViolation("TWICE " + task.text() + " started after its completion was acknowledged");
        }
        others.add(worker);
        startsAtLastStart.put(task.text(), starts);
        lastStartMillis.put(task.text(), time.nowMillis());
        checkStepOrder(job, task);
        checkDueTime(job, task);
        if (acknowledgedFailures.getOrDefault(task.text(), 0) >= maxAttempts.get(task.job())) {
            addViolation("BUDGET " + task.text());
        }
        if (crashesByTask.getOrDefault(task.text(), 0) >= CRASHES_UNTIL_COUNTED
                && startsAfterCrashes.merge(task.text(), 1, Integer::sum) > MAX_STARTS_AFTER_CRASHES) {
            addViolation("BUDGET " + task.text() + " started again after it has crashed "
                    + crashesByTask.get(task.text()) + " workers");
        }
        if (refusedJobs.contains(task.job()) && !acceptedMillis.containsKey(task.job())) {
            addViolation("REFUSED " + task.text());
        }
        Long since = cancelledMillis.get(task.job());
        if (since != null && !lateOrder && time.nowMillis() - since > MAX_CANCEL_DELAY_MILLIS) {
            addViolation("UNASKED " + task.text() + " started after its job was cancelled");
        }
    }

    /**
     * Records the start of a run that no owner can prevent, which is not checked.
     */
    void unpreventableStart() {
        unpreventableStarts++;
    }

    int unpreventableStarts() {
        return unpreventableStarts;
    }

    private void checkDueTime(JobSpec job, TaskId task) {
        long dueMillis = job.schedule().dueMillis(task.occurrence());
        if (job.schedule().timed() && time.wallMillis() < dueMillis) {
            addViolation("ORDER " + task.text() + " before it is due at " + dueMillis);
        }
    }

    private void checkStepOrder(JobSpec job, TaskId task) {
        for (int earlier : job.steps().get(task.step()).after()) {
            StepSpec step = job.steps().get(earlier);
            for (int i = 0; i < step.count(); i++) {
                String name = new TaskId(task.job(), task.occurrence(), earlier, i).text();
                if (!completedTasks.contains(name)) {
                    addViolation("ORDER " + task.text() + " before " + name);
                }
            }
        }
    }

    void runEnded(String worker, TaskId task, int run, String how) {
        runningWorkers.getOrDefault(task.text(), new HashSet<>()).remove(worker);
        lastEndMillis.put(task.text(), time.nowMillis());
        if (how.equals(RunEnd.DONE.name())) {
            completedTasks.add(task.text());
            startsAtCompletion.put(runKey(task.text(), run), starts);
        } else if (how.equals(RunEnd.FAILED.name())) {
            failedRuns.merge(task.text(), 1, Integer::sum);
        }
    }

    /**
     * Returns when a run of a task last started, {@link Long#MIN_VALUE} if none did.
     */
    long lastStartMillis(TaskId task) {
        return lastStartMillis.getOrDefault(task.text(), Long.MIN_VALUE);
    }

    /**
     * Returns since when a task may have been without a run: from the end of its last one, or from the answer that its job
     * is accepted.
     */
    long idleSinceMillis(TaskId task) {
        return lastEndMillis.getOrDefault(task.text(), acceptedMillis.getOrDefault(task.job(), Long.MIN_VALUE));
    }

    boolean isCompleted(TaskId task) {
        return completedTasks.contains(task.text());
    }

    /**
     * Records that a task crashes the worker on which it runs.
     */
    void workerCrashedBy(TaskId task) {
        crashesByTask.merge(task.text(), 1, Integer::sum);
    }

    /**
     * Returns the number of workers that tasks have crashed.
     *
     * @return the number of crashes, not negative
     */
    public int crashesByTasks() {
        return crashesByTask.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Records that an end was acknowledged to its worker.
     *
     * @param leaseKept  false if the worker's lease has lapsed since the end, so that the task could rightly start again
     */
    void endAcknowledged(WorkerRunStatus.Ended end, boolean leaseKept) {
        if (end.how() == RunEnd.DONE) {
            int startsUntilEnd = startsAtCompletion.getOrDefault(runKey(end.task(), end.run()), Integer.MAX_VALUE);
            if (leaseKept && startsAtLastStart.getOrDefault(end.task(), 0) > startsUntilEnd) {
                addViolation("TWICE " + end.task() + " started after its run " + end.run()
                        + " had completed, which was acknowledged later");
            }
            acknowledgedCompletions.add(end.task());
        } else if (end.how() == RunEnd.FAILED) {
            acknowledgedFailures.merge(end.task(), 1, Integer::sum);
        }
    }

    private static String runKey(String task, int run) {
        return task + '#' + run;
    }

    /**
     * Checks that all tasks of a job that is reported as completed have completed.
     *
     * @param job  the identifier of the job, not null
     */
    public void jobShownCompleted(String job) {
        endedJobs.add(job);
        JobSpec spec = jobs.get(job);
        for (int occurrence = 0; occurrence < spec.schedule().count(); occurrence++) {
            checkCompleted(spec, occurrence);
        }
    }

    private void checkCompleted(JobSpec spec, int occurrence) {
        for (int step = 0; step < spec.steps().size(); step++) {
            for (int i = 0; i < spec.steps().get(step).count(); i++) {
                String name = new TaskId(spec.id(), occurrence, step, i).text();
                if (!completedTasks.contains(name)) {
                    addViolation("MIXED " + spec.id() + " is reported as completed before " + name);
                }
            }
        }
    }

    /**
     * Checks that some task of a job that is reported as failed has failed as often as allowed, or has crashed workers.
     *
     * @param job  the identifier of the job, not null
     */
    public void jobShownFailed(String job) {
        endedJobs.add(job);
        if (!mayHaveFailed(job)) {
            addViolation(
                    "LOST " + job + " is reported as failed, but no task has used up its attempts or crashed workers");
        }
    }

    private boolean mayHaveFailed(String job) {
        boolean attemptsExhausted = failedRuns.entrySet().stream()
                .anyMatch(entry -> entry.getKey().startsWith(job + '.') && entry.getValue() >= maxAttempts.get(job));
        boolean crashesWorkers = crashesByTask.entrySet().stream()
                .anyMatch(
                        entry -> entry.getKey().startsWith(job + '.') && entry.getValue() >= MIN_CRASHES_OF_FAILED_JOB);
        return attemptsExhausted || crashesWorkers;
    }

    /**
     * Checks that a caller has asked to cancel a job that is reported as cancelled.
     *
     * @param job  the identifier of the job, not null
     */
    public void jobShownCancelled(String job) {
        if (!cancelRequests.contains(job)) {
            addViolation("LOST " + job + " is reported as cancelled, but nobody asked for it");
        }
    }

    /**
     * Checks that a job that is reported as unknown was not accepted before, or may have been cancelled or forgotten.
     *
     * @param job  the identifier of the job, not null
     * @param askedMillis  when the caller asked, in milliseconds on the clock of the emulation
     * @param asked  the name of the process that was asked, not null
     */
    public void jobShownUnknown(String job, long askedMillis, String asked) {
        long knownMillis = askedMillis - acceptedMillis.getOrDefault(job, askedMillis);
        if (!cancelRequests.contains(job) && knownMillis > VISIBLE_MILLIS && knownMillis < STATE_RETENTION_MILLIS) {
            addViolation("LOST " + job + " is unknown to " + asked + ", " + knownMillis + " ms after it was accepted");
        }
    }

    /**
     * Checks a reported number of a queue's waiting jobs: it is at least half of those that were accepted long before and of
     * which no worker has started a task. Scheduled and cancelled jobs are not checked.
     *
     * @param queue  the name of the queue, not null
     * @param reported  the number of jobs that are said to wait
     * @param askedMillis  when the caller asked, in milliseconds on the clock of the emulation
     * @param asked  the name of the process that was asked, not null
     */
    public void waitingJobsShown(String queue, int reported, long askedMillis, String asked) {
        List<String> waiting = acceptedMillis.entrySet().stream()
                .filter(entry -> askedMillis - entry.getValue() > VISIBLE_MILLIS + WAITING_AGE_MILLIS)
                .map(Map.Entry::getKey)
                .filter(job -> isWaiting(jobs.get(job), queue))
                .toList();
        if (2 * reported < waiting.size()) {
            addViolation("MIXED " + reported + " jobs of " + queue + " wait by " + asked + ", not " + waiting);
        }
    }

    private boolean isWaiting(JobSpec job, String queue) {
        String id = job.id();
        return job.queue().equals(queue)
                && !job.schedule().timed()
                && !begunJobs.contains(id)
                && !cancelRequests.contains(id)
                && !endedJobs.contains(id);
    }

    /**
     * Returns whether the owner of a job knows that a task of it has failed as often as allowed.
     *
     * @param job  the identifier of the job, not null
     * @return true if the job has failed
     */
    public boolean hasFailed(String job) {
        return acknowledgedFailures.entrySet().stream()
                .anyMatch(entry -> entry.getKey().startsWith(job + '.') && entry.getValue() >= maxAttempts.get(job));
    }

    /**
     * Adds a violation.
     *
     * @param text  the code of the invariant and a description, not null
     */
    public void addViolation(String text) {
        violations.add(time.nowMillis() + ": " + text);
    }

    /**
     * Returns the violations.
     *
     * @return a line for each violation with its time in milliseconds, may be empty, not null
     */
    public List<String> violations() {
        return violations;
    }

    /**
     * Returns the jobs that callers were informed of as accepted.
     *
     * @return the identifiers of the jobs, not null
     */
    public Set<String> acceptedJobs() {
        return acceptedMillis.keySet();
    }

    /**
     * Returns whether a caller was informed that a job is cancelled.
     *
     * @param job  the identifier of the job, not null
     * @return true if it is cancelled
     */
    public boolean isCancelled(String job) {
        return cancelledMillis.containsKey(job);
    }

    /**
     * Returns whether a caller was informed that a job has completed or failed.
     */
    boolean isShownEnded(String job) {
        return endedJobs.contains(job);
    }

    /**
     * Returns the number of runs that workers started.
     *
     * @return the number of runs, not negative
     */
    public int starts() {
        return starts;
    }
}
