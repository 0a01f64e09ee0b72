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
import org.trefoilpost.decision.job.team.Caller;

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
            packCaller(packer, submit.caller());
        } else if (this instanceof Cancel cancel) {
            packer.packInt(Cancel.KIND).packString(cancel.job());
            packCaller(packer, cancel.caller());
        } else if (this instanceof Phase phase) {
            packer.packInt(Phase.KIND).packString(phase.job());
            packCaller(packer, phase.caller());
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
                case Submit.KIND -> {
                    JobSpec spec = JobSpecCodec.decode(unpacker.readPayload(unpacker.unpackBinaryHeader()));
                    yield Optional.of(new Submit(spec, unpackCaller(unpacker)));
                }
                case Cancel.KIND -> Optional.of(new Cancel(unpacker.unpackString(), unpackCaller(unpacker)));
                case Phase.KIND -> Optional.of(new Phase(unpacker.unpackString(), unpackCaller(unpacker)));
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
     * Appends the team of an identified caller as the last element; the empty text stands for no team. Earlier versions
     * of the program ignore it, and the bytes for an unidentified caller are those that they write.
     */
    private static void packCaller(MessageBufferPacker packer, Caller caller) throws IOException {
        if (caller.identified()) {
            packer.packString(caller.team().orElse(""));
        }
    }

    private static Caller unpackCaller(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext()
                ? Caller.of(Optional.of(unpacker.unpackString()).filter(team -> !team.isEmpty()))
                : Caller.UNIDENTIFIED;
    }

    /**
     * A caller's request about one job.
     */
    sealed interface AboutJob extends JobRequest {
        /**
         * Returns the job's identifier.
         *
         * @return the identifier, not null
         */
        String job();

        /**
         * Returns who sent the request.
         *
         * @return the caller, not null
         */
        Caller caller();
    }

    /**
     * Submits a job.
     *
     * @param spec  the job, not null
     * @param caller  the caller, not null
     */
    record Submit(JobSpec spec, Caller caller) implements AboutJob {
        static final int KIND = 1;

        @Override
        public String job() {
            return spec.id();
        }
    }

    /**
     * Cancels a job.
     *
     * @param job  the identifier of the job, not null
     * @param caller  the caller, not null
     */
    record Cancel(String job, Caller caller) implements AboutJob {
        static final int KIND = 2;
    }

    /**
     * Reads the phase of a job.
     *
     * @param job  the identifier of the job, not null
     * @param caller  the caller, not null
     */
    record Phase(String job, Caller caller) implements AboutJob {
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
