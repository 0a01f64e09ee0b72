package org.trefoilpost.entry.job;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
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
            packOrigin(packer, submit);
        } else if (this instanceof Cancel cancel) {
            packer.packInt(Cancel.KIND).packString(cancel.job());
            packOrigin(packer, cancel);
        } else if (this instanceof Phase phase) {
            packer.packInt(Phase.KIND).packString(phase.job());
            packOrigin(packer, phase);
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
                    yield Optional.of(withOrigin(unpacker, caller -> new Submit(spec, caller)));
                }
                case Cancel.KIND -> {
                    String job = unpacker.unpackString();
                    yield Optional.of(withOrigin(unpacker, caller -> new Cancel(job, caller)));
                }
                case Phase.KIND -> {
                    String job = unpacker.unpackString();
                    yield Optional.of(withOrigin(unpacker, caller -> new Phase(job, caller)));
                }
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
     * Appends the team of an identified caller, where the empty text stands for no team, and the route if there is one. Earlier
     * versions of the program ignore the route, and the bytes for an unidentified caller without a route are those that they
     * write. With a route they take an unidentified caller for one without a team, which is the same to them where no keys are
     * required.
     */
    private static void packOrigin(MessageBufferPacker packer, AboutJob request) throws IOException {
        Caller caller = request.caller();
        if (caller.identified() || request.route().isPresent()) {
            packer.packString(caller.team().orElse(""));
        }
        if (request.route().isPresent()) {
            QueueRoute route = request.route().get();
            packer.packString(route.queue()).packLong(route.version()).packBoolean(caller.identified());
        }
    }

    private static JobRequest withOrigin(MessageUnpacker unpacker, Function<Caller, AboutJob> request)
            throws IOException {
        if (!unpacker.hasNext()) {
            return request.apply(Caller.UNIDENTIFIED);
        }
        Caller caller = Caller.of(Optional.of(unpacker.unpackString()).filter(team -> !team.isEmpty()));
        if (!unpacker.hasNext()) {
            return request.apply(caller);
        }
        QueueRoute route = new QueueRoute(unpacker.unpackString(), unpacker.unpackLong());
        boolean identified = unpacker.unpackBoolean();
        return request.apply(identified ? caller : Caller.UNIDENTIFIED).withRoute(route);
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

        /**
         * Returns the queue and the configuration by which the request was sent.
         *
         * @return the route, empty if an earlier version of the program sent the request, not null
         */
        Optional<QueueRoute> route();

        /**
         * Returns a copy of this request with another route.
         *
         * @param route  the route, not null
         * @return the copy, not null
         */
        AboutJob withRoute(QueueRoute route);
    }

    /**
     * Submits a job.
     *
     * @param spec  the job, not null
     * @param caller  the caller, not null
     * @param route  the queue and the configuration by which the request was sent, empty if not known, not null
     */
    record Submit(JobSpec spec, Caller caller, Optional<QueueRoute> route) implements AboutJob {
        static final int KIND = 1;

        /**
         * Constructs a request whose route is not known.
         *
         * @param spec  the job, not null
         * @param caller  the caller, not null
         */
        public Submit(JobSpec spec, Caller caller) {
            this(spec, caller, Optional.empty());
        }

        @Override
        public Submit withRoute(QueueRoute newRoute) {
            return new Submit(spec, caller, Optional.of(newRoute));
        }

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
     * @param route  the queue and the configuration by which the request was sent, empty if not known, not null
     */
    record Cancel(String job, Caller caller, Optional<QueueRoute> route) implements AboutJob {
        static final int KIND = 2;

        /**
         * Constructs a request whose route is not known.
         *
         * @param job  the identifier of the job, not null
         * @param caller  the caller, not null
         */
        public Cancel(String job, Caller caller) {
            this(job, caller, Optional.empty());
        }

        @Override
        public Cancel withRoute(QueueRoute newRoute) {
            return new Cancel(job, caller, Optional.of(newRoute));
        }
    }

    /**
     * Reads the phase of a job.
     *
     * @param job  the identifier of the job, not null
     * @param caller  the caller, not null
     * @param route  the queue and the configuration by which the request was sent, empty if not known, not null
     */
    record Phase(String job, Caller caller, Optional<QueueRoute> route) implements AboutJob {
        static final int KIND = 3;

        /**
         * Constructs a request whose route is not known.
         *
         * @param job  the identifier of the job, not null
         * @param caller  the caller, not null
         */
        public Phase(String job, Caller caller) {
            this(job, caller, Optional.empty());
        }

        @Override
        public Phase withRoute(QueueRoute newRoute) {
            return new Phase(job, caller, Optional.of(newRoute));
        }
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
