package org.trefoilpost.decision.job;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the state of a job for the store: what was handed in, how far each task is, and where runs were started.
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
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a buffer in memory cannot fail", e);
        }
    }

    /**
     * Decodes a job and the runs that were noted.
     *
     * @throws IllegalArgumentException if the bytes are no job of a known format
     */
    static DecodedJob decode(byte[] bytes, Moment now) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int format = unpacker.unpackInt();
            if (format != FORMAT) {
                throw new IllegalArgumentException("the format " + format + " is not known");
            }
            return unpack(unpacker, now);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("the bytes are no job: " + e.getMessage(), e);
        }
    }

    private static DecodedJob unpack(MessageUnpacker unpacker, Moment now) throws IOException {
        JobPhase phase = JobPhase.valueOf(unpacker.unpackString());
        long offeredWall = unpacker.unpackLong();
        long endedWall = unpacker.unpackLong();
        int next = unpacker.unpackInt();
        int ended = unpacker.unpackInt();
        JobSpec spec = phase.ended()
                ? new JobSpec(unpacker.unpackString(), unpacker.unpackString(), "", List.of(), JobSpec.Schedule.ONCE)
                : JobSpecCodec.unpack(unpacker);
        QueueConfig rule = phase.ended() ? null : unpackQueue(unpacker, spec.queue());
        JobState job = new JobState(spec, rule, now);
        job.phase = phase;
        job.submittedWallMillis = offeredWall;
        job.submittedMillis = now.steadyMillis() - Math.max(0, now.wallMillis() - offeredWall);
        job.endedWallMillis = endedWall;
        job.nextOccurrence = next;
        job.endedOccurrences = ended;
        job.stored = true;
        job.storedPhase = phase;
        List<RunLocation> runs = new ArrayList<>();
        if (!phase.ended()) {
            unpackOccurrences(unpacker, job, runs, now);
        }
        return new DecodedJob(job, runs);
    }

    private static void packQueue(MessageBufferPacker packer, QueueConfig rule) throws IOException {
        packer.packString(rule.pool()).packInt(rule.priority()).packInt(rule.maxAttempts());
        packer.packDouble(rule.stretch()).packLong(rule.targetMillis());
    }

    /**
     * Reads the rule that held when the job was stored; it is used where the configuration has dropped the queue.
     */
    private static QueueConfig unpackQueue(MessageUnpacker unpacker, String queue) throws IOException {
        String pool = unpacker.unpackString();
        int priority = unpacker.unpackInt();
        int attempts = unpacker.unpackInt();
        double stretch = unpacker.unpackDouble();
        return new QueueConfig(
                queue, "", "", pool, priority, attempts, stretch, unpacker.unpackLong(), Optional.empty());
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
        packer.packArrayHeader(task.runs.size());
        for (Run run : task.runs) {
            packer.packInt(run.number).packString(run.worker.id);
            packer.packString(run.worker.registration.address());
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

    private static void unpackOccurrences(MessageUnpacker unpacker, JobState job, List<RunLocation> runs, Moment now)
            throws IOException {
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            OccurrenceState occurrence = new OccurrenceState(job, unpacker.unpackInt());
            job.occurrences.put(occurrence.number, occurrence);
            for (JobStepState step : occurrence.steps) {
                unpackFailed(unpacker, step.failedGangs);
                for (JobTaskState task : step.tasks) {
                    unpackTask(unpacker, task, runs);
                    step.doneTasks += task.done ? 1 : 0;
                }
            }
            occurrence.advance(now.steadyMillis());
        }
    }

    private static void unpackTask(MessageUnpacker unpacker, JobTaskState task, List<RunLocation> runs)
            throws IOException {
        task.done = unpacker.unpackBoolean();
        if (task.done) {
            return;
        }
        task.mayHaveUnseenRun = true;
        unpackFailed(unpacker, task.failedRuns);
        task.lastRunNumber = unpacker.unpackInt();
        task.checkpoint = unpacker.unpackString();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            unpacker.unpackInt();
            runs.add(new RunLocation(unpacker.unpackString(), unpacker.unpackString()));
        }
    }

    /**
     * A worker on which a run was noted.
     */
    record RunLocation(String worker, String address) {}

    /**
     * A decoded job and the workers on which its runs were noted.
     */
    record DecodedJob(JobState job, List<RunLocation> runLocations) {}
}
