package org.trefoilpost.decision.job;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which submitted jobs are accepted, and remembers when refused jobs were first submitted.
 */
final class JobSubmissions {
    static final long UNAVAILABLE_RETRY_AFTER_MILLIS = 1_000;
    private static final long REDUCED_CAPACITY_RETRY_AFTER_MILLIS = 2_000;
    private static final long UNPLACEABLE_RETRY_AFTER_MILLIS = 60_000;

    private final PoolState state;
    private final Admission admission;
    private final PoolDemandCalculator demandCalculator;
    private final FirstSubmissions firstSubmissions = new FirstSubmissions();

    JobSubmissions(PoolState state, Admission admission, PoolDemandCalculator demandCalculator) {
        this.state = state;
        this.admission = admission;
        this.demandCalculator = demandCalculator;
    }

    /**
     * Decides whether to accept a job, and adds it to the pool if so.
     */
    SubmitResult submit(JobSpec spec, boolean storeReachable, Moment now) {
        JobState known = state.jobs.get(spec.id());
        if (known != null) {
            return known.stored ? SubmitResult.KNOWN : SubmitResult.PENDING;
        }
        QueueConfig queue = state.queues.get(spec.queue());
        if (queue == null) {
            return SubmitResult.refused(UNAVAILABLE_RETRY_AFTER_MILLIS, "unknown-queue");
        }
        if (!storeReachable) {
            return PoolScheduler.STORE_UNAVAILABLE;
        }
        if (!admission.fitsAnyWorker(spec)) {
            return admission.mayFitAgain(spec)
                    ? SubmitResult.refused(REDUCED_CAPACITY_RETRY_AFTER_MILLIS, "capacity-reduced")
                    : SubmitResult.refused(UNPLACEABLE_RETRY_AFTER_MILLIS, "fits-no-worker");
        }
        JobState job = new JobState(spec, queue, firstSubmission(spec.id(), now));
        boolean resubmission = firstSubmissions.isRecorded(spec.id());
        if (!resubmission) {
            demandCalculator.jobSubmitted(job, now.steadyMillis());
        }
        boolean withinRate =
                firstSubmissions.isWithinRate(spec.id()) || admission.isWithinRate(spec, resubmission, now);
        Optional<SubmitResult> refusal = admission.refusal(job, withinRate, now);
        if (refusal.isPresent()) {
            demandCalculator.jobRefused(spec, now.steadyMillis());
            firstSubmissions.recordRefusal(spec.id(), now.steadyMillis());
            if (withinRate) {
                firstSubmissions.markWithinRate(spec.id());
            }
            return refusal.get();
        }
        firstSubmissions.remove(spec.id());
        SubmitResult accepted = acceptance(job, now);
        admission.jobAccepted(job);
        job.openDueOccurrences(now);
        state.markDirty(job, now.steadyMillis(), true);
        state.add(job);
        return accepted;
    }

    /**
     * Returns the acceptance of a job, and records within which time it is to be completed.
     */
    private SubmitResult acceptance(JobState job, Moment now) {
        if (!job.spec.onDemand()) {
            return SubmitResult.PENDING;
        }
        long objectiveMillis = admission.objectiveMillis(job);
        job.objectiveMillis = OptionalLong.of(objectiveMillis);
        return SubmitResult.pending(admission.expectation(job, objectiveMillis, now));
    }

    private Moment firstSubmission(String job, Moment now) {
        long age = now.steadyMillis() - firstSubmissions.firstSubmittedMillis(job, now.steadyMillis());
        return new Moment(now.steadyMillis() - age, now.wallMillis() - age);
    }

    /**
     * Handles that accepted jobs were withdrawn before they were stored, and returns their identifiers.
     */
    Set<String> withdrawUnsent(Collection<JobState> jobs) {
        Set<String> withdrawn = new TreeSet<>();
        for (JobState job : jobs) {
            firstSubmissions.recordRefusal(job.spec.id(), job.submittedMillis);
            firstSubmissions.markWithinRate(job.spec.id());
            withdrawn.add(job.spec.id());
        }
        admission.invalidateBacklog();
        return withdrawn;
    }
}
