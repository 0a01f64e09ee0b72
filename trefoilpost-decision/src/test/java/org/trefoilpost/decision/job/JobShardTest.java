package org.trefoilpost.decision.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.DocumentFault;
import org.trefoilpost.decision.inventory.JsonFields;
import org.trefoilpost.model.JobId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.configuration.TeamQuota;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.worker.Resources;

class JobShardTest {
    private static final PoolName POOL = PoolName.of("pricing");
    private static final TeamName TEAM = TeamName.of("lots");
    private static final long NOW = 1_000_000;

    private final KindEstimates estimates = new KindEstimates();
    private final WorkerBlame blame = new WorkerBlame();
    private final JobPlacer placer = JobPlacer.of(estimates, blame);
    private final JobShard shard = JobShard.of(0, "e1", placer);
    private long revision;
    private int writes;

    @Test
    void noCallIsMadeBeforeTheWriteHasAKnownOutcome() {
        open(2);
        List<JobAction> submitted = shard.step(JobSubmitted.of(job("a", RequestClass.NORMAL, 8)), NOW);
        assertEquals(1, of(submitted, SaveShard.class).size());
        assertEquals(0, of(submitted, CallTask.class).size());
        List<JobAction> unknown = shard.step(ShardSaved.of(SaveOutcome.UNKNOWN, 0), NOW);
        assertEquals(1, of(unknown, LoadShard.class).size());
        assertEquals(0, of(unknown, CallTask.class).size());
        JobDocument tookEffect = of(submitted, SaveShard.class).get(0).document();
        List<JobAction> loaded = shard.step(ShardLoaded.of(tookEffect, 1), NOW);
        assertEquals(JobAnswerKind.REPEATED, of(loaded, AnswerJob.class).get(0).kind());
        assertEquals(TaskCallKind.START, of(loaded, CallTask.class).get(0).kind());
        assertEquals(0, of(loaded, SaveShard.class).size());
    }

    @Test
    void manySubmissionsAndCancellationsCostOneWriteEach() {
        open(2);
        shard.step(JobSubmitted.of(job("first", RequestClass.BULK, 1)), NOW);
        Set<JobId> names = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            shard.step(JobSubmitted.of(job("j" + i, RequestClass.BULK, 16)), NOW);
            names.add(JobId.of("j" + i));
        }
        List<JobAction> batch = shard.step(ShardSaved.of(SaveOutcome.WRITTEN, ++revision), NOW);
        assertEquals(1, of(batch, SaveShard.class).size());
        assertEquals(50, of(batch, SaveShard.class).get(0).document().jobs().size() - 1);
        shard.step(ShardSaved.of(SaveOutcome.WRITTEN, ++revision), NOW);
        List<JobAction> cancelled = shard.step(JobsCancelled.of(names), NOW);
        assertEquals(1, of(cancelled, SaveShard.class).size());
        List<JobAction> saved = shard.step(ShardSaved.of(SaveOutcome.WRITTEN, ++revision), NOW);
        assertEquals(50, of(saved, AnswerJob.class).size());
    }

    @Test
    void anUrgentJobStartsOnceAPreemptedTaskHasSavedItsProgress() {
        open(1);
        run(JobSubmitted.of(job("bulk", RequestClass.BULK, 32)));
        run(report("bulk", 1, TaskCallKind.START, TaskOutcome.RUNNING, ""));
        List<JobAction> urgent = run(JobSubmitted.of(job("urgent", RequestClass.URGENT, 20)));
        assertEquals(TaskCallKind.CHECKPOINT, of(urgent, CallTask.class).get(0).kind());
        List<JobAction> freed = run(report("bulk", 1, TaskCallKind.CHECKPOINT, TaskOutcome.CHECKPOINTED, "half"));
        CallTask start = of(freed, CallTask.class).get(0);
        assertEquals(JobId.of("urgent"), start.spec().id());
        assertEquals(TaskCallKind.START, start.kind());
        assertEquals(
                Optional.of("half"),
                shard.saved().orElseThrow().job(JobId.of("bulk")).orElseThrow().checkpoint());
        assertEquals(3, writes);
    }

    @Test
    void progressThatAPlanSavedResumesElsewhere() {
        open(2);
        run(JobSubmitted.of(job("a", RequestClass.NORMAL, 32)));
        run(report("a", 1, TaskCallKind.START, TaskOutcome.RUNNING, ""));
        List<JobAction> stale = run(report("a", 1, TaskCallKind.START, TaskOutcome.STALE, ""));
        assertEquals(TaskCallKind.CHECKPOINT, of(stale, CallTask.class).get(0).kind());
        List<JobAction> moved = run(report("a", 1, TaskCallKind.CHECKPOINT, TaskOutcome.CHECKPOINTED, "text"));
        CallTask start = of(moved, CallTask.class).get(0);
        assertEquals(2, start.lease().epoch());
        assertEquals(Optional.of("text"), start.checkpoint());
    }

    @Test
    void anotherExecutorLooksAndNeverStartsALeaseThatItDidNotGrant() {
        JobSpec spec = job("a", RequestClass.NORMAL, 8);
        JobLease lease = JobLease.of(WorkerId.of("w0"), 1, 1, "other", NOW + ShardDraft.START_GRANT_MILLIS);
        Job leased = Job.of(spec, JobPhase.LEASED, 1, Optional.of(lease), Optional.empty(), Set.of(), "", NOW);
        shard.step(FleetSeen.of(fleet(2)), NOW);
        shard.step(JobTick.of(true), NOW);
        List<JobAction> loaded = shard.step(ShardLoaded.of(JobDocument.of(Map.of(spec.id(), leased)), 1), NOW);
        assertEquals(TaskCallKind.LOOK, of(loaded, CallTask.class).get(0).kind());
        run(report("a", 1, TaskCallKind.LOOK, TaskOutcome.ABSENT, ""));
        assertEquals(JobPhase.LEASED, phase("a"));
        long ended = NOW + ShardDraft.START_GRANT_MILLIS + ShardDraft.FENCE_MARGIN_MILLIS;
        List<JobAction> asks = shard.step(JobTick.of(true), ended);
        assertEquals(TaskCallKind.LOOK, of(asks, CallTask.class).get(0).kind());
        assertEquals(0, of(asks, SaveShard.class).size());
        List<JobAction> freed = shard.step(report("a", 1, TaskCallKind.LOOK, TaskOutcome.ABSENT, ""), ended);
        Job next = of(freed, SaveShard.class).get(0).document().job(spec.id()).orElseThrow();
        assertEquals(2, next.epoch());
    }

    @Test
    void whatFailsEverywhereStopsAfterThreeWorkers() {
        open(6);
        run(JobSubmitted.of(job("a", RequestClass.NORMAL, 8)));
        for (int epoch = 1; epoch <= 3; epoch++) {
            run(report("a", epoch, TaskCallKind.START, TaskOutcome.FAILED, ""));
        }
        assertEquals(JobPhase.FAILED, phase("a"));
        assertEquals(
                3, shard.saved().orElseThrow().job(JobId.of("a")).orElseThrow().epoch());
    }

    @Test
    void aWorkerThatFailsEverythingIsClosedButForProbesAndHalfOfThePoolStaysOpen() {
        List<JobWorker> pool = fleet(4).pools().get(POOL);
        for (JobWorker worker : pool) {
            for (int i = 0; i < 3; i++) {
                blame.failed(worker.id(), JobId.of("j" + i), NOW);
            }
        }
        assertEquals(2, blame.closed(pool, NOW).size());
        assertEquals(0, blame.closed(pool, NOW + 60_000).size());
        blame.finished(WorkerId.of("w0"));
        assertTrue(!blame.isBlamed(WorkerId.of("w0")));
    }

    @Test
    void whatCannotFitIsRefusedWithTheResourceAndTheField() {
        open(2);
        assertRefused("cores: no worker", job("a", RequestClass.NORMAL, 33));
        assertRefused("cores: the quota", job("b", RequestClass.NORMAL, 101));
        assertRefused(
                "pool: no pool", builder("c", 1).pool(PoolName.of("nowhere")).build());
        assertRefused(
                "team: no team", builder("d", 1).team(TeamName.of("nobody")).build());
        run(JobSubmitted.of(job("e", RequestClass.NORMAL, 1)));
        AnswerJob other = of(shard.step(JobSubmitted.of(job("e", RequestClass.NORMAL, 2)), NOW), AnswerJob.class)
                .get(0);
        assertEquals(JobAnswerKind.CONFLICTING, other.kind());
    }

    @Test
    void deadlinesOrderJobsAndWarnOnceAndQuotasHoldBack() {
        open(4);
        JobSpec soon =
                builder("soon", 32).deadlineMillis(Optional.of(NOW + 70_000)).build();
        Job late = Job.of(soon, JobPhase.WAITING, 0, Optional.empty(), Optional.empty(), Set.of(), "", NOW);
        List<JobTask> full = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            full.add(JobTask.of(job("t" + i, RequestClass.NORMAL, 32), WorkerId.of("w" + i), false));
        }
        Placement held = placer.place(List.of(late), full, fleet(4), NOW);
        assertEquals(Map.of(), held.starts());
        assertEquals(List.of(soon.id()), held.late());
        Job other = late.withSinceMillis(NOW - 1);
        JobSpec plain = job("plain", RequestClass.NORMAL, 32);
        Job first = Job.of(plain, JobPhase.WAITING, 0, Optional.empty(), Optional.empty(), Set.of(), "", NOW - 2);
        Placement one = placer.place(List.of(first, other), List.of(), fleet(1), NOW);
        assertEquals(Set.of(soon.id()), one.starts().keySet());
    }

    @Test
    void theMemoryOfALargeFleetDoesNotOverflowTheTotalsOfATeam() {
        JobSpec large = builder("large", 1)
                .resources(Resources.of(1, Integer.MAX_VALUE / 2, 0, 1))
                .build();
        List<JobTask> tasks = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            tasks.add(JobTask.of(large, WorkerId.of("elsewhere" + i), false));
        }
        JobSpec spec = job("a", RequestClass.NORMAL, 1);
        Job waiting = Job.of(spec, JobPhase.WAITING, 0, Optional.empty(), Optional.empty(), Set.of(), "", NOW);
        assertEquals(
                Set.of(spec.id()),
                placer.place(List.of(waiting), tasks, fleet(1), NOW).starts().keySet());
    }

    @Test
    void theDeclaredSizeIsCorrectedWithinBounds() {
        JobSpec spec = job("a", RequestClass.NORMAL, 8);
        for (int i = 0; i < 200; i++) {
            estimates.used(spec, TaskUsage.of(100, 10_000, 0.5));
            estimates.used(spec, TaskUsage.of(0, 0, 0));
        }
        assertEquals(16, estimates.need(spec).cores());
        assertEquals(2_000, estimates.need(spec).memoryMb());
    }

    @Test
    void theCodecKeepsEverythingAndLeavesNewerFormatsAlone() {
        JobSpec spec = builder("a", 3).deadlineMillis(Optional.of(NOW)).build();
        JobLease lease = JobLease.of(WorkerId.of("w0"), 4, 5, "e1", NOW);
        Set<WorkerId> failed = Set.of(WorkerId.of("w7"));
        Job job = Job.of(spec, JobPhase.CHECKPOINTING, 5, Optional.of(lease), Optional.of("t"), failed, "why", NOW);
        JobDocument document = JobDocument.of(Map.of(spec.id(), job));
        assertEquals(document, JobCodec.decode(JobCodec.encode(document)));
        byte[] newer = "{\"format\":2}".getBytes(StandardCharsets.UTF_8);
        assertEquals(
                DocumentFault.NEWER_FORMAT,
                assertThrows(DocumentException.class, () -> JobCodec.decode(newer))
                        .fault());
        for (String field : List.of("cores", "memoryMb", "accelerators", "slots", "runMillis")) {
            JsonFields bad = JsonFields.of("job", JobCodec.tree(spec).put(field, -1));
            String message = assertThrows(DocumentException.class, () -> JobCodec.spec(bad))
                    .getMessage();
            assertTrue(message.contains("'" + field + "'"), message);
        }
    }

    private void open(int workers) {
        shard.step(FleetSeen.of(fleet(workers)), NOW);
        shard.step(JobTick.of(true), NOW);
        shard.step(ShardLoaded.of(JobDocument.EMPTY, 0), NOW);
    }

    /** Steps and lets each write take effect. */
    private List<JobAction> run(JobEvent event) {
        List<JobAction> all = new ArrayList<>(shard.step(event, NOW));
        List<JobAction> last = all;
        while (!of(last, SaveShard.class).isEmpty()) {
            writes++;
            last = shard.step(ShardSaved.of(SaveOutcome.WRITTEN, ++revision), NOW);
            all.addAll(last);
        }
        return all;
    }

    private void assertRefused(String start, JobSpec spec) {
        AnswerJob answer =
                of(shard.step(JobSubmitted.of(spec), NOW), AnswerJob.class).get(0);
        assertEquals(JobAnswerKind.REFUSED, answer.kind());
        assertTrue(answer.detail().startsWith(start), answer.detail());
    }

    private JobPhase phase(String job) {
        return shard.saved().orElseThrow().job(JobId.of(job)).orElseThrow().phase();
    }

    private TaskReported report(String job, long epoch, TaskCallKind call, TaskOutcome outcome, String text) {
        JobLease lease = shard.saved()
                .orElseThrow()
                .job(JobId.of(job))
                .flatMap(Job::lease)
                .orElseThrow();
        return TaskReported.of(JobId.of(job), lease.worker(), epoch, call, outcome, text, TaskUsage.of(0, 0, 0));
    }

    private static <T> List<T> of(List<JobAction> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private static JobSpec job(String name, RequestClass requestClass, int cores) {
        return builder(name, cores).requestClass(requestClass).build();
    }

    private static JobSpec.Builder builder(String name, int cores) {
        return JobSpec.builder(JobId.of(name))
                .pool(POOL)
                .team(TEAM)
                .kind("count")
                .resources(Resources.of(cores, 1_000, 0, 1))
                .runMillis(60_000)
                .checkpointable(true);
    }

    private static JobFleet fleet(int workers) {
        List<JobWorker> pool = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
            pool.add(JobWorker.of(WorkerId.of("w" + i), 1, Resources.of(32, 128_000, 0, 8), true));
        }
        return JobFleet.of(Map.of(POOL, pool), Map.of(TEAM, TeamQuota.of(TEAM, 10, 100, 4)), List.of());
    }
}
