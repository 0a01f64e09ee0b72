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
 * What an entry asks of the owner of a pool.
 */
public sealed interface JobRequest {
    /**
     * Encodes the request for the way between entries.
     *
     * @return the bytes, not null
     */
    default byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a buffer in memory cannot fail", e);
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
        } else if (this instanceof QueuedJobs waiting) {
            packer.packInt(QueuedJobs.KIND).packString(waiting.queue());
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
     * @return the request, empty if the bytes are none, not null
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
                    int arriving = unpacker.unpackInt();
                    int count = unpacker.unpackArrayHeader();
                    Set<String> workers = new TreeSet<>();
                    for (int i = 0; i < count; i++) {
                        workers.add(unpacker.unpackString());
                    }
                    yield Optional.of(new Instruct(new PoolInstructions(workers, arriving)));
                }
                default -> Optional.empty();
            };
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Hands in a job.
     *
     * @param spec  the job, not null
     */
    record Submit(JobSpec spec) implements JobRequest {
        static final int KIND = 1;
    }

    /**
     * Cancels a job.
     *
     * @param job  the job, not null
     */
    record Cancel(String job) implements JobRequest {
        static final int KIND = 2;
    }

    /**
     * Asks for the phase of a job.
     *
     * @param job  the job, not null
     */
    record Phase(String job) implements JobRequest {
        static final int KIND = 3;
    }

    /**
     * Asks how many jobs of a queue wait.
     *
     * @param queue  the queue, not null
     */
    record QueuedJobs(String queue) implements JobRequest {
        static final int KIND = 4;
    }

    /**
     * Passes on what the owner of the machines decided, and asks for the pool's load.
     *
     * @param instructions  what was decided, not null
     */
    record Instruct(PoolInstructions instructions) implements JobRequest {
        static final int KIND = 5;
    }
}
