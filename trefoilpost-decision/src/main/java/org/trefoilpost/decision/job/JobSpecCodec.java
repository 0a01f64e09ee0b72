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
 * Encodes and decodes job specifications for the store and for messages between entries.
 */
public final class JobSpecCodec {
    private static final int CHECKPOINTING = 1;
    private static final int GANG = 1 << 1;
    private static final int SAME_RACK = 1 << 2;
    private static final int SPECULATIVE = 1 << 3;
    private static final int LONG_RUNNING = 1 << 4;
    private static final int BEST_EFFORT = 1 << 5;

    private JobSpecCodec() {}

    /**
     * Encodes a job specification.
     *
     * @param spec  the specification, not null
     * @return the bytes, not null
     */
    public static byte[] encode(JobSpec spec) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            pack(packer, spec);
            packTeam(packer, spec);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /**
     * Decodes a job specification.
     *
     * @param bytes  the bytes, not null
     * @return the specification, not null
     * @throws IllegalArgumentException if the bytes are not a job specification
     */
    public static JobSpec decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            JobSpec spec = unpack(unpacker);
            return spec.withTeam(unpackTeam(unpacker));
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("malformed job specification: " + e.getMessage(), e);
        }
    }

    /**
     * Appends the team of a job, if it has one, as the last element. Earlier versions of the program ignore it, and the
     * bytes of a job without a team are those that they write.
     */
    static void packTeam(MessageBufferPacker packer, JobSpec spec) throws IOException {
        if (spec.team().isPresent()) {
            packer.packString(spec.team().get());
        }
    }

    /**
     * Reads the team that may follow as the last element.
     */
    static Optional<String> unpackTeam(MessageUnpacker unpacker) throws IOException {
        return unpacker.hasNext() ? Optional.of(unpacker.unpackString()) : Optional.empty();
    }

    /**
     * Writes a specification without its team, see {@link #packTeam}.
     */
    static void pack(MessageBufferPacker packer, JobSpec spec) throws IOException {
        packer.packString(spec.id()).packString(spec.queue()).packString(spec.text());
        JobSpec.Schedule schedule = spec.schedule();
        packer.packLong(schedule.firstMillis()).packLong(schedule.intervalMillis());
        packer.packInt(schedule.occurrences());
        packer.packArrayHeader(spec.steps().size());
        for (StepSpec step : spec.steps()) {
            packStep(packer, step);
        }
    }

    /**
     * Reads a specification without its team.
     *
     * @throws IllegalArgumentException if the steps cannot be those of a job
     */
    static JobSpec unpack(MessageUnpacker unpacker) throws IOException {
        String id = unpacker.unpackString();
        String queue = unpacker.unpackString();
        String text = unpacker.unpackString();
        JobSpec.Schedule schedule =
                new JobSpec.Schedule(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackInt());
        int count = unpacker.unpackArrayHeader();
        List<StepSpec> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            steps.add(unpackStep(unpacker));
        }
        JobSpec spec = new JobSpec(id, queue, text, steps, schedule);
        Optional<String> fault = spec.structuralFault();
        if (fault.isPresent()) {
            throw new IllegalArgumentException("malformed job specification: " + fault.get());
        }
        return spec;
    }

    private static void packStep(MessageBufferPacker packer, StepSpec step) throws IOException {
        ResourceAmount demand = step.demand();
        packer.packInt(step.count());
        packer.packLong(demand.cpuMillis()).packLong(demand.memoryMb()).packLong(demand.accelerators());
        packer.packLong(step.estimateMillis());
        packer.packArrayHeader(step.after().size());
        for (int earlier : step.after()) {
            packer.packInt(earlier);
        }
        packer.packString(step.requiredLabel()).packString(step.preferredRack());
        packer.packInt(step.maxPerWorker()).packInt(step.maxUnavailable());
        packer.packString(step.image()).packLong(step.targetMillis());
        packer.packInt(flags(step));
    }

    private static int flags(StepSpec step) {
        return (step.checkpointing() ? CHECKPOINTING : 0)
                | (step.gang() ? GANG : 0)
                | (step.sameRack() ? SAME_RACK : 0)
                | (step.speculative() ? SPECULATIVE : 0)
                | (step.longRunning() ? LONG_RUNNING : 0)
                | (step.bestEffort() ? BEST_EFFORT : 0);
    }

    private static StepSpec unpackStep(MessageUnpacker unpacker) throws IOException {
        StepSpec.Builder builder = StepSpec.builder();
        int count = unpacker.unpackInt();
        ResourceAmount demand = new ResourceAmount(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
        builder.tasks(count, demand).estimateMillis(unpacker.unpackLong());
        int size = unpacker.unpackArrayHeader();
        List<Integer> after = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            after.add(unpacker.unpackInt());
        }
        builder.after(after);
        String label = unpacker.unpackString();
        String rack = unpacker.unpackString();
        builder.placement(label, rack, unpacker.unpackInt());
        int mayMiss = unpacker.unpackInt();
        String image = unpacker.unpackString();
        builder.service(image, unpacker.unpackLong(), mayMiss);
        int flags = unpacker.unpackInt();
        return builder.checkpointing((flags & CHECKPOINTING) != 0)
                .gang((flags & GANG) != 0, (flags & SAME_RACK) != 0)
                .speculative((flags & SPECULATIVE) != 0)
                .longRunning((flags & LONG_RUNNING) != 0)
                .bestEffort((flags & BEST_EFFORT) != 0)
                .build();
    }
}
