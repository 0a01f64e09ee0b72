package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Teams;

class JobWriterTest {
    private static final long RETENTION_MILLIS = 120_000;
    /** Exceeds the interval of the checks for jobs to remove. */
    private static final long CHECK_MILLIS = 6_000;

    /** More than two commits remove. */
    private static final int ENDED_JOBS = 25;

    private static final String JOB_A = "0000000000000001";
    private static final String JOB_B = "0000000000000002";

    private final Map<String, byte[]> stored = new HashMap<>();
    private RecordedActions actions;
    private PoolScheduler scheduler;
    private Moment now = new Moment(1_000_000, 2_000_000);

    /** Guards against a queue whose jobs nobody looks for in this pool, and against one that is looked for without end. */
    @Test
    void commitNamesTheQueuesThatHaveStoredJobs() {
        open();
        submit("a", JOB_A);
        assertEquals(Set.of("a"), commit().queues());
        submit("b", JOB_B);
        assertEquals(Set.of("a", "b"), commit().queues());
        scheduler.cancel(JOB_A, now);
        assertEquals(Set.of("a", "b"), commit().queues(), "an ended job is retained");
        advance(RETENTION_MILLIS + CHECK_MILLIS);
        assertEquals(Set.of("b"), commit().queues());
    }

    /** Guards against a new owner that names only the queues whose jobs it has written itself. */
    @Test
    void firstCommitOfAnOwnerNamesTheQueuesOfTheLoadedJobs() {
        open();
        submit("a", JOB_A);
        commit();
        open();
        submit("b", JOB_B);
        assertEquals(Set.of("a", "b"), commit().queues());
    }

    @Test
    void noQueueIsNamedOnceTheLastJobIsRemoved() {
        open();
        submit("a", JOB_A);
        commit();
        scheduler.cancel(JOB_A, now);
        commit();
        open();
        advance(RETENTION_MILLIS + CHECK_MILLIS);
        Commit removal = commit();
        assertEquals(List.of(JOB_A), removal.removed());
        assertEquals(Set.of(), removal.queues());
    }

    /** Guards against jobs that callers are told do not exist, because the clock of their owner was set. */
    @Test
    void wallClockThatStepsDoesNotShortenTheRetention() {
        open();
        submit("a", JOB_A);
        commit();
        scheduler.cancel(JOB_A, now);
        commit();
        now = new Moment(now.steadyMillis(), now.wallMillis() + 10 * RETENTION_MILLIS);
        advance(CHECK_MILLIS);
        scheduler.tick(OrderPermission.of(false, false), now);
        assertEquals(Optional.of(JobPhase.CANCELLED), scheduler.phase(JOB_A));
        assertEquals(List.of(), actions.lastCommit().removed());
    }

    /** Guards against an end that is shown for less than the retention, as the store took long to store it. */
    @Test
    void retentionBeginsWhenTheEndIsStored() {
        open();
        submit("a", JOB_A);
        commit();
        scheduler.cancel(JOB_A, now);
        advance(1_000);
        scheduler.tick(OrderPermission.of(false, false), now);
        Commit end = actions.lastCommit();
        advance(RETENTION_MILLIS);
        scheduler.commitStored(end.number(), now);
        advance(CHECK_MILLIS);
        scheduler.tick(OrderPermission.of(false, false), now);
        assertEquals(Optional.of(JobPhase.CANCELLED), scheduler.phase(JOB_A));
        assertEquals(List.of(), actions.lastCommit().removed());
    }

    /** Guards against ended jobs that are removed more slowly than others end, and so take ever more memory. */
    @Test
    void successiveCommitsRemoveAllJobsWhoseRetentionIsOver() {
        open();
        for (int i = 1; i <= ENDED_JOBS; i++) {
            String job = String.format("%016x", i);
            submit("a", job);
            commit();
            scheduler.cancel(job, now);
            commit();
        }
        assertEquals(ENDED_JOBS, stored.size());
        advance(RETENTION_MILLIS + CHECK_MILLIS);
        commit();
        commit();
        commit();
        assertEquals(Set.of(), stored.keySet());
    }

    /** Guards against a job too large for the store, whose refusal keeps all jobs of the pool from being stored. */
    @Test
    void jobThatIsTooLargeForTheStoreFailsAndOthersAreStored() {
        open();
        submit("a", JOB_A);
        JobSpec large = new JobSpec(
                JOB_B,
                "b",
                "",
                List.of(StepSpec.builder()
                        .tasks(JobSpec.MAX_TASKS, new ResourceAmount(1, 0, 0))
                        .estimateMillis(1_000)
                        .build()),
                JobSpec.Schedule.ONCE);
        commit();
        stored.put(JOB_B, document(large, "c".repeat(Commit.MAX_DOCUMENT_BYTES / JobSpec.MAX_TASKS)));
        open();
        scheduler.statusReceived(
                "w",
                new WorkerRunStatus(
                        1, List.of(new WorkerRunStatus.Running(JOB_B + ".0.0.0", 1, "saved", 50, 0)), List.of()),
                now);
        scheduler.cancel(JOB_A, now);
        Commit commit = commit();
        assertEquals(Set.of(JOB_A, JOB_B), commit.puts().keySet());
        commit.puts().forEach((job, bytes) -> assertTrue(bytes.length <= Commit.MAX_DOCUMENT_BYTES, job));
        assertEquals(Optional.of(JobPhase.FAILED), scheduler.phase(JOB_B));
    }

    private byte[] document(JobSpec spec, String checkpoint) {
        JobState job = new JobState(spec, queue(spec.queue()), now);
        job.openDueOccurrences(now);
        for (JobTaskState task : job.occurrences.get(0).steps[0].tasks) {
            task.checkpoint = checkpoint;
        }
        return JobDocumentCodec.encode(job);
    }

    private void open() {
        actions = new RecordedActions(new ArrayList<>());
        scheduler = new PoolScheduler("pool", new PoolTimeouts(5_000, 10_000, RETENTION_MILLIS, 2_000), actions);
        scheduler.configure(Map.of("a", queue("a"), "b", queue("b")), Teams.NONE);
        RegisteredWorker worker = new RegisteredWorker(
                "w",
                "",
                "pool",
                WorkerAddress.of("10.0.0.1", 80),
                "dc",
                List.of(),
                new ResourceAmount(10_000, 10_000, 0),
                false);
        scheduler.load(Map.copyOf(stored), now);
        scheduler.open(List.of(worker), List.of(), 0, now);
    }

    private static QueueConfig queue(String name) {
        return new QueueConfig(name, "h", "/" + name + "/", "pool", 0, 3, 1.6, 600, Optional.empty(), false);
    }

    private void submit(String queue, String job) {
        StepSpec step = StepSpec.builder()
                .tasks(1, new ResourceAmount(1_000, 100, 0))
                .estimateMillis(1_000)
                .build();
        JobSpec spec = new JobSpec(job, queue, "", List.of(step), JobSpec.Schedule.ONCE);
        assertEquals(
                SubmitResult.Kind.PENDING, scheduler.submit(spec, true, now).kind());
    }

    private Commit commit() {
        advance(1_000);
        scheduler.tick(OrderPermission.of(false, false), now);
        Commit commit = actions.lastCommit();
        stored.putAll(commit.puts());
        commit.removed().forEach(stored::remove);
        scheduler.commitStored(commit.number(), now);
        return commit;
    }

    private void advance(long millis) {
        now = new Moment(now.steadyMillis() + millis, now.wallMillis() + millis);
    }
}
