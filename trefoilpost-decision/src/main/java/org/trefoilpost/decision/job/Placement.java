package org.trefoilpost.decision.job;

import java.util.List;
import java.util.Map;
import org.trefoilpost.model.JobId;

/**
 * The decisions of one round of placement.
 */
public final class Placement {
    private final Map<JobId, JobWorker> starts;
    private final List<JobId> preemptions;
    private final Map<JobId, String> refusals;
    private final List<JobId> late;

    private Placement(
            Map<JobId, JobWorker> starts, List<JobId> preemptions, Map<JobId, String> refusals, List<JobId> late) {
        this.starts = Map.copyOf(starts);
        this.preemptions = List.copyOf(preemptions);
        this.refusals = Map.copyOf(refusals);
        this.late = List.copyOf(late);
    }

    /**
     * Obtains the value.
     *
     * @param starts  the worker for each job that starts, not null
     * @param preemptions  the jobs whose tasks are to save their progress and to end, not null
     * @param refusals  the reason for each job that can never fit, not null
     * @param late  the waiting jobs that are not expected to meet their deadline, not null
     * @return the value, not null
     */
    public static Placement of(
            Map<JobId, JobWorker> starts, List<JobId> preemptions, Map<JobId, String> refusals, List<JobId> late) {
        return new Placement(starts, preemptions, refusals, late);
    }

    /**
     * Returns the worker for each job that starts.
     *
     * @return the worker for each job that starts, not null
     */
    public Map<JobId, JobWorker> starts() {
        return starts;
    }

    /**
     * Returns the jobs whose tasks are to save their progress and to end.
     *
     * @return the jobs whose tasks are to save their progress and to end, not null
     */
    public List<JobId> preemptions() {
        return preemptions;
    }

    /**
     * Returns the reason for each job that can never fit.
     *
     * @return the reason for each job that can never fit, not null
     */
    public Map<JobId, String> refusals() {
        return refusals;
    }

    /**
     * Returns the waiting jobs that are not expected to meet their deadline.
     *
     * @return the waiting jobs that are not expected to meet their deadline, not null
     */
    public List<JobId> late() {
        return late;
    }

    /**
     * Returns the type and the fields.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "Placement " + starts + " " + preemptions + " " + refusals + " " + late;
    }
}
