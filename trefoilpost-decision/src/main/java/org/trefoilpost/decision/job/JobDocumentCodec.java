package org.trefoilpost.decision.job;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.job.crash.CrashRecord;

/**
 * Encodes and decodes the stored state of a job: its specification, the progress of each task, and the workers on which
 * runs were started.
 */
final class JobDocumentCodec {
    private static final int FORMAT = 2;

    private JobDocumentCodec() {}

    /**
     * Encodes a job.
     */
    static byte[] encode(JobState job) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT);
            packer.packString(job.phase.name());
            packer.packLong(job.submittedWallMillis).packLong(job.endedWallMillis);
            packer.packInt(job.nextOccurrence).packInt(job.endedOccurrences);
            if (job.phase.ended()) {
                packer.packString(job.spec.id()).packString(job.spec.queue());
            } else {
                JobSpecCodec.pack(packer, job.spec);
                packQueue(packer, job.queue);
                packOccurrences(packer, job);
            }
            packTeam(packer, job);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /**
     * Decodes a job and the locations of its runs.
     *
     * @throws IllegalArgumentException if the bytes are not a job of the supported format
     */
    static DecodedJob decode(byte[] bytes, Moment now) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int format = unpacker.unpackInt();
            if (format != FORMAT) {
                throw new IllegalArgumentException(
                        "unsupported job document format " + format + ", expected " + FORMAT);
            }
            return unpack(unpacker, now);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("malformed job document: " + e.getMessage(), e);
        }
    }

    private static DecodedJob unpack(MessageUnpacker unpacker, Moment now) throws IOException {
        JobPhase phase = JobPhase.valueOf(unpacker.unpackString());
        long submittedWallMillis = unpacker.unpackLong();
        long endedWallMillis = unpacker.unpackLong();
        int nextOccurrence = unpacker.unpackInt();
        int endedOccurrences = unpacker.unpackInt();
        JobSpec spec = phase.ended()
                ? new JobSpec(unpacker.unpackString(), unpacker.unpackString(), "", List.of(), JobSpec.Schedule.ONCE)
                : JobSpecCodec.unpack(unpacker);
        QueueConfig queue = phase.ended() ? null : unpackQueue(unpacker, spec.queue());
        JobState job = new JobState(spec, queue, now);
        job.phase = phase;
        job.submittedWallMillis = submittedWallMillis;
        job.submittedMillis = now.steadyMillis() - Math.max(0, now.wallMillis() - submittedWallMillis);
        job.endedWallMillis = endedWallMillis;
        job.endStoredMillis = now.steadyMillis() - Math.max(0, now.wallMillis() - endedWallMillis);
        job.nextOccurrence = nextOccurrence;
        job.endedOccurrences = endedOccurrences;
        job.inherited = true;
        job.stored = true;
        job.storedPhase = phase;
        List<RunLocation> runLocations = new ArrayList<>();
        if (!phase.ended()) {
            unpackOccurrences(unpacker, job, runLocations, now);
        }
        job.spec = spec.withTeam(JobSpecCodec.unpackTeam(unpacker).filter(team -> !team.isEmpty()));
        if (unpacker.hasNext()) {
            unpackCrashes(unpacker, job);
        }
        job.begun = unpacker.hasNext() && unpacker.unpackBoolean() || job.hasProgress();
        if (unpacker.hasNext()) {
            job.leaseNotes = unpackLeaseNotes(unpacker);
        }
        if (!phase.ended()) {
            // Earlier versions of the program stored an open job as running as soon as a task was ordered.
            job.phase = job.openPhase();
            job.storedPhase = job.phase;
        }
        return new DecodedJob(job, runLocations);
    }

    private static void packQueue(MessageBufferPacker packer, QueueConfig queue) throws IOException {
        packer.packString(queue.pool()).packInt(queue.priority()).packInt(queue.maxAttempts());
        packer.packDouble(queue.stretch()).packLong(queue.targetMillis());
    }

    /**
     * Reads the queue settings in force when the job was stored; they apply if the configuration has dropped the queue.
     */
    private static QueueConfig unpackQueue(MessageUnpacker unpacker, String queue) throws IOException {
        String pool = unpacker.unpackString();
        int priority = unpacker.unpackInt();
        int attempts = unpacker.unpackInt();
        double stretch = unpacker.unpackDouble();
        return new QueueConfig(
                queue, "", "", pool, priority, attempts, stretch, unpacker.unpackLong(), Optional.empty(), false);
    }

    private static void packOccurrences(MessageBufferPacker packer, JobState job) throws IOException {
        packer.packArrayHeader(job.occurrences.size());
        for (OccurrenceState occurrence : job.openOccurrences()) {
            packer.packInt(occurrence.number);
            for (JobStepState step : occurrence.steps) {
                packFailed(packer, step.failedGangs);
                for (JobTaskState task : step.tasks) {
                    packTask(packer, task);
                }
            }
        }
    }

    private static void packTask(MessageBufferPacker packer, JobTaskState task) throws IOException {
        packer.packBoolean(task.done);
        if (task.done) {
            return;
        }
        packFailed(packer, task.failedRuns);
        packer.packInt(task.lastRunNumber).packString(task.checkpoint);
        packer.packArrayHeader(task.runs.size() + task.unreportedRuns.size());
        for (Run run : task.runs) {
            packer.packInt(run.number).packString(run.worker.id);
            packer.packString(run.worker.registration.address().toString());
        }
        for (RunLocation run : task.unreportedRuns) {
            packer.packInt(run.run()).packString(run.worker());
            packer.packString(run.address().toString());
        }
    }

    private static void packFailed(MessageBufferPacker packer, FailedRuns failed) throws IOException {
        packer.packArrayHeader(failed.count());
        for (int run : failed.numbers()) {
            packer.packInt(run);
        }
    }

    private static void unpackFailed(MessageUnpacker unpacker, FailedRuns failed) throws IOException {
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            failed.add(unpacker.unpackInt());
        }
    }

    private static void unpackOccurrences(
            MessageUnpacker unpacker, JobState job, List<RunLocation> runLocations, Moment now) throws IOException {
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            OccurrenceState occurrence = new OccurrenceState(job, unpacker.unpackInt());
            job.occurrences.put(occurrence.number, occurrence);
            for (JobStepState step : occurrence.steps) {
                unpackFailed(unpacker, step.failedGangs);
                for (JobTaskState task : step.tasks) {
                    unpackTask(unpacker, task, runLocations);
                    step.doneTasks += task.done ? 1 : 0;
                }
            }
            occurrence.advance(now.steadyMillis());
        }
    }

    private static void unpackTask(MessageUnpacker unpacker, JobTaskState task, List<RunLocation> runLocations)
            throws IOException {
        task.done = unpacker.unpackBoolean();
        if (task.done) {
            return;
        }
        unpackFailed(unpacker, task.failedRuns);
        task.lastRunNumber = unpacker.unpackInt();
        task.checkpoint = unpacker.unpackString();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            int run = unpacker.unpackInt();
            String worker = unpacker.unpackString();
            // No order reaches a worker without a usable address, so such a run never started.
            WorkerAddress.parse(unpacker.unpackString())
                    .ifPresent(address -> task.unreportedRuns.add(new RunLocation(task.id, run, worker, address)));
        }
        runLocations.addAll(task.unreportedRuns);
    }

    /**
     * Appends the team, the crash records, whether the job has begun, and the notes about leases, as far as there is anything to say.
     * Earlier versions of the program ignore what follows the team. What precedes an element that is written is written too, empty if need be.
     */
    private static void packTeam(MessageBufferPacker packer, JobState job) throws IOException {
        JobSpecCodec.packTeam(packer, job.spec);
        List<JobTaskState> crashed = crashedTasks(job);
        if (job.phase.ended() || crashed.isEmpty() && !job.begun && job.leaseNotes.isEmpty()) {
            return;
        }
        if (job.spec.team().isEmpty()) {
            packer.packString("");
        }
        packCrashes(packer, crashed);
        if (job.begun || !job.leaseNotes.isEmpty()) {
            packer.packBoolean(job.begun);
        }
        if (!job.leaseNotes.isEmpty()) {
            packLeaseNotes(packer, job.leaseNotes);
        }
    }

    private static void packLeaseNotes(MessageBufferPacker packer, Map<String, Long> notes) throws IOException {
        packer.packMapHeader(notes.size());
        for (Map.Entry<String, Long> note : notes.entrySet()) {
            packer.packString(note.getKey()).packLong(note.getValue());
        }
    }

    private static Map<String, Long> unpackLeaseNotes(MessageUnpacker unpacker) throws IOException {
        Map<String, Long> notes = new HashMap<>();
        int count = unpacker.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            notes.put(unpacker.unpackString(), Math.max(0, unpacker.unpackLong()));
        }
        return Map.copyOf(notes);
    }

    private static List<JobTaskState> crashedTasks(JobState job) {
        List<JobTaskState> crashed = new ArrayList<>();
        for (OccurrenceState occurrence : job.openOccurrences()) {
            for (JobStepState step : occurrence.steps) {
                for (JobTaskState task : step.tasks) {
                    if (!task.done && task.crashRecord.crashes() > 0) {
                        crashed.add(task);
                    }
                }
            }
        }
        return crashed;
    }

    private static void packCrashes(MessageBufferPacker packer, List<JobTaskState> crashed) throws IOException {
        packer.packArrayHeader(crashed.size());
        for (JobTaskState task : crashed) {
            packer.packInt(task.id.occurrence()).packInt(task.id.step()).packInt(task.id.index());
            packer.packInt(task.crashRecord.crashes())
                    .packInt(task.crashRecord.attributed())
                    .packInt(task.crashRecord.alone());
            packer.packBoolean(task.crashRecord.suspected());
        }
    }

    private static void unpackCrashes(MessageUnpacker unpacker, JobState job) throws IOException {
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            TaskId id = new TaskId(job.spec.id(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt());
            CrashRecord record = new CrashRecord(
                    unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackBoolean());
            JobTaskState task = job.task(id);
            if (task != null) {
                task.crashRecord = record;
            }
        }
    }

    /**
     * A run that was started on a worker.
     *
     * @param address  the worker's address
     */
    record RunLocation(TaskId task, int run, String worker, WorkerAddress address) {}

    /**
     * A decoded job and the workers on which its runs were started.
     */
    record DecodedJob(JobState job, List<RunLocation> runLocations) {}
}
