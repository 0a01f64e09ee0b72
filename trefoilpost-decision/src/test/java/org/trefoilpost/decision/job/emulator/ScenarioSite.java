package org.trefoilpost.decision.job.emulator;

import java.util.List;
import org.trefoilpost.decision.job.JobSpec;

/**
 * The workers of a scenario. Long-running tasks have to run at any time without faults, however full the pool is; other jobs
 * have to run once the load has ended long before.
 */
final class ScenarioSite implements WaitingJobCheck.Site {
    /** Time without a fault after which long-running tasks have to run. */
    private static final long CALM_MILLIS = 4_000;

    private final EmulatedPlatform platform;
    private final long finishMillis;

    /**
     * Constructs a site.
     *
     * @param finishMillis  when the load has ended so long before that jobs have to run, in milliseconds
     */
    ScenarioSite(EmulatedPlatform platform, long finishMillis) {
        this.platform = platform;
        this.finishMillis = finishMillis;
    }

    @Override
    public boolean isCalm(JobSpec job) {
        return job.longRunning()
                ? platform.isCalmFor(CALM_MILLIS)
                : platform.time().nowMillis() >= finishMillis;
    }

    @Override
    public boolean countsWhenFull(JobSpec job) {
        return job.longRunning();
    }

    @Override
    public boolean isExempt(String job) {
        return platform.isCrashing(job);
    }

    @Override
    public List<EmulatedWorker> livingWorkers() {
        return platform.livingWorkers();
    }

    @Override
    public List<List<EmulatedWorker>> pools(JobSpec job) {
        return List.of(livingWorkers());
    }
}
