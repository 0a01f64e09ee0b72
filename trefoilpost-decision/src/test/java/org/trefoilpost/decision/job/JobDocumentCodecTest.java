package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.crash.CrashRecord;

class JobDocumentCodecTest {
    private static final Moment NOW = new Moment(1_000_000, 2_000_000);
    private static final QueueConfig QUEUE =
            new QueueConfig("q", "h", "/q/", "pool", 1, 4, 2.5, 1_000, Optional.empty(), false);

    /** The bytes that the program wrote before jobs had teams. */
    private static final String EARLIER_SPEC =
            "b030313233343536373839616263646566a171a4746578740000009102cd03e864000090a0a00000a00000";

    private static final String EARLIER_OPEN_JOB = "02a6515545554544ce001e8480000100"
            + EARLIER_SPEC
            + "a4706f6f6c0104cb4004000000000000cd03e8910090c29000a090c29000a090";
    private static final String EARLIER_ENDED_JOB =
            "02a9434f4d504c45544544ce001e8480000100b030313233343536373839616263646566a171";

    @Test
    void progressAndRunLocationsSurviveEncoding() {
        JobState job = job();
        JobStepState step = job.occurrences.get(0).steps[0];
        step.tasks[0].done = true;
        step.doneTasks = 1;
        step.tasks[1].failedRuns.add(1);
        step.tasks[1].failedRuns.add(3);
        step.tasks[1].lastRunNumber = 3;
        step.tasks[1].checkpoint = "saved";
        PoolWorker worker = new PoolWorker(new RegisteredWorker(
                "w",
                "",
                "pool",
                WorkerAddress.of("10.0.0.1", 80),
                "dc",
                List.of(),
                new ResourceAmount(9_000, 900, 0),
                false));
        worker.add(new Run(step.tasks[1], 3, worker, RunPhase.RUNNING, NOW.steadyMillis()));
        JobDocumentCodec.DecodedJob loaded = JobDocumentCodec.decode(JobDocumentCodec.encode(job), NOW.plus(5_000));
        JobStepState read = loaded.job().occurrences.get(0).steps[0];
        assertTrue(read.tasks[0].done);
        assertEquals(1, read.doneTasks);
        assertEquals(List.of(1, 3), List.copyOf(read.tasks[1].failedRuns.numbers()));
        assertEquals(3, read.tasks[1].lastRunNumber);
        assertEquals("saved", read.tasks[1].checkpoint);
        assertTrue(read.tasks[1].mayHaveUnseenRun);
        assertEquals(NOW.steadyMillis(), loaded.job().submittedMillis);
        assertEquals(
                List.of(new JobDocumentCodec.RunLocation(step.tasks[1].id, 3, "w", WorkerAddress.of("10.0.0.1", 80))),
                loaded.runLocations());
        byte[] writtenAgain = JobDocumentCodec.encode(loaded.job());
        assertEquals(
                loaded.runLocations(),
                JobDocumentCodec.decode(writtenAgain, NOW).runLocations(),
                "kept until the worker reports or ends");
    }

    /** Guards against a take-over that fails on a worker whose address cannot be called. */
    @Test
    void runOnAWorkerWithoutAUsableAddressIsLeftOutAndTheJobIsRead() {
        JobState job = job();
        JobTaskState task = job.occurrences.get(0).steps[0].tasks[1];
        task.lastRunNumber = 3;
        task.unreportedRuns.add(new JobDocumentCodec.RunLocation(task.id, 3, "w", WorkerAddress.of("10.0.0.1", 80)));
        String text = new String(JobDocumentCodec.encode(job), StandardCharsets.ISO_8859_1);
        byte[] odd = text.replace("10.0.0.1:80", "nowhere:080").getBytes(StandardCharsets.ISO_8859_1);
        JobDocumentCodec.DecodedJob loaded = JobDocumentCodec.decode(odd, NOW);
        assertEquals(List.of(), loaded.runLocations());
        assertEquals(3, loaded.job().occurrences.get(0).steps[0].tasks[1].lastRunNumber);
        assertTrue(loaded.job().occurrences.get(0).steps[0].tasks[1].mayHaveUnseenRun);
    }

    @Test
    void configurationOfARemovedQueueIsKept() {
        PoolState state = new PoolState(
                "pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(new ArrayList<>()));
        new PoolTakeover(state).read(Map.of("0123456789abcdef", JobDocumentCodec.encode(job())), NOW);
        QueueConfig rule = state.jobs.get("0123456789abcdef").queue;
        assertNotNull(rule);
        assertEquals(4, rule.maxAttempts());
        assertEquals(2.5, rule.stretch());
    }

    @Test
    void endedJobIsStoredWithoutItsSteps() {
        JobState job = job();
        job.phase = JobPhase.COMPLETED;
        JobDocumentCodec.DecodedJob loaded = JobDocumentCodec.decode(JobDocumentCodec.encode(job), NOW);
        assertEquals(JobPhase.COMPLETED, loaded.job().phase);
        assertTrue(JobDocumentCodec.encode(job).length < 100);
    }

    /** Guards against a format that earlier versions of the program cannot read, or reading theirs with a team. */
    @Test
    void jobWithoutATeamHasTheBytesOfEarlierVersions() {
        JobState job = job();
        assertEquals(EARLIER_SPEC, HexFormat.of().formatHex(JobSpecCodec.encode(job.spec)));
        assertEquals(EARLIER_OPEN_JOB, HexFormat.of().formatHex(JobDocumentCodec.encode(job)));
        job.phase = JobPhase.COMPLETED;
        assertEquals(EARLIER_ENDED_JOB, HexFormat.of().formatHex(JobDocumentCodec.encode(job)));
        for (String document : List.of(EARLIER_OPEN_JOB, EARLIER_ENDED_JOB)) {
            JobState read = JobDocumentCodec.decode(HexFormat.of().parseHex(document), NOW)
                    .job();
            assertEquals(Optional.empty(), read.spec.team());
        }
        assertEquals(
                Optional.empty(),
                JobSpecCodec.decode(HexFormat.of().parseHex(EARLIER_SPEC)).team());
    }

    /** Guards against losing the team of a stored job, open or ended, or writing it where earlier versions misread it. */
    @Test
    void teamFollowsTheElementsThatEarlierVersionsRead() {
        JobState job = job();
        job.spec = job.spec.withTeam(Optional.of("team-1"));
        JobState open = decoded(job, EARLIER_OPEN_JOB);
        assertEquals(Optional.of("team-1"), open.spec.team());
        assertEquals(2, open.spec.steps().get(0).count());
        job.phase = JobPhase.COMPLETED;
        assertEquals(Optional.of("team-1"), decoded(job, EARLIER_ENDED_JOB).spec.team());
        byte[] spec = JobSpecCodec.encode(open.spec);
        assertTrue(HexFormat.of().formatHex(spec).startsWith(EARLIER_SPEC));
        assertEquals(Optional.of("team-1"), JobSpecCodec.decode(spec).team());
    }

    /** Guards against crashes that the next owner does not know of, or that earlier versions misread as something else. */
    @Test
    void crashRecordsFollowTheTeam() {
        for (Optional<String> team : List.of(Optional.of("team-1"), Optional.<String>empty())) {
            JobState job = job();
            job.spec = job.spec.withTeam(team);
            CrashRecord record = new CrashRecord(3, 1, 2, true);
            job.occurrences.get(0).steps[0].tasks[1].crashRecord = record;
            JobState read = decoded(job, EARLIER_OPEN_JOB);
            assertEquals(team, read.spec.team());
            assertEquals(CrashRecord.NONE, read.occurrences.get(0).steps[0].tasks[0].crashRecord);
            assertEquals(record, read.occurrences.get(0).steps[0].tasks[1].crashRecord);
        }
    }

    /** Guards against a job that a successor counts among those that wait though its predecessor knew that it had begun. */
    @Test
    void beginOfAJobFollowsTheCrashRecords() {
        for (CrashRecord record : List.of(CrashRecord.NONE, new CrashRecord(3, 1, 2, true))) {
            for (Optional<String> team : List.of(Optional.of("team-1"), Optional.<String>empty())) {
                JobState job = job();
                job.spec = job.spec.withTeam(team);
                job.occurrences.get(0).steps[0].tasks[1].crashRecord = record;
                job.begun = true;
                JobState read = decoded(job, EARLIER_OPEN_JOB);
                assertEquals(JobPhase.RUNNING, read.phase);
                assertEquals(team, read.spec.team());
                assertEquals(record, read.occurrences.get(0).steps[0].tasks[1].crashRecord);
            }
        }
    }

    /** Guards against jobs missing among those that wait, as earlier versions stored them as running once a task was ordered. */
    @Test
    void jobThatAnEarlierVersionStoredAsRunningIsRunningIfATaskHasMadeProgress() {
        assertEquals(JobPhase.QUEUED, readAsStoredByEarlierVersions(step -> {}));
        assertEquals(JobPhase.QUEUED, readAsStoredByEarlierVersions(step -> step.tasks[0].lastRunNumber = 1));
        assertEquals(JobPhase.RUNNING, readAsStoredByEarlierVersions(step -> step.tasks[0].done = true));
        assertEquals(JobPhase.RUNNING, readAsStoredByEarlierVersions(step -> step.tasks[0].failedRuns.add(1)));
        assertEquals(JobPhase.RUNNING, readAsStoredByEarlierVersions(step -> step.failedGangs.add(1)));
        assertEquals(JobPhase.RUNNING, readAsStoredByEarlierVersions(step -> step.tasks[1].checkpoint = "saved"));
        assertEquals(JobPhase.RUNNING, readAsStoredByEarlierVersions(step -> step.occurrence.job.endedOccurrences = 1));
    }

    private static JobPhase readAsStoredByEarlierVersions(Consumer<JobStepState> progress) {
        JobState job = job();
        job.phase = JobPhase.RUNNING;
        progress.accept(job.occurrences.get(0).steps[0]);
        JobState read =
                JobDocumentCodec.decode(JobDocumentCodec.encode(job), NOW).job();
        assertEquals(read.phase, read.storedPhase);
        return read.phase;
    }

    private static JobState decoded(JobState job, String earlier) {
        byte[] bytes = JobDocumentCodec.encode(job);
        assertTrue(HexFormat.of().formatHex(bytes).startsWith(earlier));
        return JobDocumentCodec.decode(bytes, NOW).job();
    }

    @Test
    void truncatedDocumentAndUnknownFormatAreRejected() {
        byte[] whole = JobDocumentCodec.encode(job());
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThrows(IllegalArgumentException.class, () -> JobDocumentCodec.decode(part, NOW));
        }
        byte[] newer = whole.clone();
        newer[0] = 99;
        assertThrows(IllegalArgumentException.class, () -> JobDocumentCodec.decode(newer, NOW));
    }

    /** Guards against a damaged document that keeps the new owner of its pool from loading the others. */
    @Test
    void damagedDocumentIsDecodedOrRejected() {
        StepSpec first =
                StepSpec.builder().tasks(2, new ResourceAmount(1_000, 100, 0)).build();
        StepSpec second = StepSpec.builder()
                .tasks(300, new ResourceAmount(1_000, 100, 0))
                .after(List.of(0))
                .build();
        JobState job = new JobState(
                new JobSpec("0123456789abcdef", "q", "text", List.of(first, second), JobSpec.Schedule.ONCE),
                QUEUE,
                NOW);
        job.openDueOccurrences(NOW);
        byte[] whole = JobDocumentCodec.encode(job);
        int headerBytes = 200;
        for (int position = 0; position < headerBytes; position++) {
            for (int value = 0; value < 256; value++) {
                byte[] damaged = whole.clone();
                damaged[position] = (byte) value;
                try {
                    assertNotNull(JobDocumentCodec.decode(damaged, NOW));
                } catch (IllegalArgumentException e) {
                    assertNotNull(e.getMessage());
                }
            }
        }
    }

    @Test
    void unreadableDocumentDoesNotPreventLoadingOthers() {
        PoolState state = new PoolState(
                "pool", new PoolTimeouts(5_000, 10_000, 120_000, 2_000), new RecordedActions(new ArrayList<>()));
        new PoolTakeover(state)
                .read(Map.of("broken", new byte[] {7}, "0123456789abcdef", JobDocumentCodec.encode(job())), NOW);
        assertFalse(state.jobs.containsKey("broken"));
        assertEquals(1, state.openJobs.size());
    }

    private static JobState job() {
        StepSpec spec =
                StepSpec.builder().tasks(2, new ResourceAmount(1_000, 100, 0)).build();
        JobState job = new JobState(
                new JobSpec("0123456789abcdef", "q", "text", List.of(spec), JobSpec.Schedule.ONCE), QUEUE, NOW);
        job.openDueOccurrences(NOW);
        return job;
    }
}
