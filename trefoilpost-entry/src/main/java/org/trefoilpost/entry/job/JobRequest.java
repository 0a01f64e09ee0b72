package org.trefoilpost.entry.job;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.job.JobSpec;
import org.trefoilpost.decision.job.JobSpecCodec;
import org.trefoilpost.decision.job.PoolInstructions;

/**
 * A request to the owner of a pool, in the form in which entries send it to each other.
 */
public sealed interface JobRequest {
    /**
     * Encodes the request to send it to another entry.
     *
     * @return the bytes, not null
     */
    default byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    private void pack(MessageBufferPacker packer) throws IOException {
        if (this instanceof Submit submit) {
            byte[] spec = JobSpecCodec.encode(submit.spec());
            packer.packInt(Submit.KIND).packBinaryHeader(spec.length).writePayload(spec);
        } else if (this instanceof Cancel cancel) {
            packer.packInt(Cancel.KIND).packString(cancel.job());
        } else if (this instanceof Phase phase) {
            packer.packInt(Phase.KIND).packString(phase.job());
        } else if (this instanceof QueuedJobs queuedJobs) {
            packer.packInt(QueuedJobs.KIND).packString(queuedJobs.queue());
        } else if (this instanceof Instruct instruct) {
            PoolInstructions instructions = instruct.instructions();
            packer.packInt(Instruct.KIND).packInt(instructions.arrivingMachines());
            packer.packArrayHeader(instructions.evacuating().size());
            for (String worker : instructions.evacuating()) {
                packer.packString(worker);
            }
        }
    }

    /**
     * Decodes a request.
     *
     * @param bytes  the bytes, not null
     * @return the request, empty if the kind is unknown or the bytes cannot be decoded, not null
     */
    static Optional<JobRequest> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return switch (unpacker.unpackInt()) {
                case Submit.KIND ->
                    Optional.of(new Submit(JobSpecCodec.decode(unpacker.readPayload(unpacker.unpackBinaryHeader()))));
                case Cancel.KIND -> Optional.of(new Cancel(unpacker.unpackString()));
                case Phase.KIND -> Optional.of(new Phase(unpacker.unpackString()));
                case QueuedJobs.KIND -> Optional.of(new QueuedJobs(unpacker.unpackString()));
                case Instruct.KIND -> {
                    int arrivingMachines = unpacker.unpackInt();
                    int count = unpacker.unpackArrayHeader();
                    Set<String> evacuating = new TreeSet<>();
                    for (int i = 0; i < count; i++) {
                        evacuating.add(unpacker.unpackString());
                    }
                    yield Optional.of(new Instruct(new PoolInstructions(evacuating, arrivingMachines)));
                }
                default -> Optional.empty();
            };
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Submits a job.
     *
     * @param spec  the job, not null
     */
    record Submit(JobSpec spec) implements JobRequest {
        static final int KIND = 1;
    }

    /**
     * Cancels a job.
     *
     * @param job  the identifier of the job, not null
     */
    record Cancel(String job) implements JobRequest {
        static final int KIND = 2;
    }

    /**
     * Reads the phase of a job.
     *
     * @param job  the identifier of the job, not null
     */
    record Phase(String job) implements JobRequest {
        static final int KIND = 3;
    }

    /**
     * Counts the jobs of a queue that wait.
     *
     * @param queue  the name of the queue, not null
     */
    record QueuedJobs(String queue) implements JobRequest {
        static final int KIND = 4;
    }

    /**
     * Passes on the instructions of the owner of the machines. The reply is the pool's demand.
     *
     * @param instructions  the instructions, not null
     */
    record Instruct(PoolInstructions instructions) implements JobRequest {
        static final int KIND = 5;
    }
}
