package org.trefoilpost.entry.job;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.PoolDemand;

/**
 * Encodes replies for the way between entries.
 */
final class JobReplyCodec {
    private JobReplyCodec() {}

    static byte[] encode(JobReply reply) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packString(reply.status().name()).packString(reply.reason());
            packer.packLong(reply.retryAfterMillis());
            packer.packString(reply.phase().map(JobPhase::name).orElse(""));
            packer.packInt(reply.queuedJobs());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a buffer in memory cannot fail", e);
        }
    }

    /**
     * Decodes a reply.
     *
     * @throws IllegalArgumentException if the bytes are no reply
     */
    static JobReply decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            JobReplyStatus status = JobReplyStatus.valueOf(unpacker.unpackString());
            String reason = unpacker.unpackString();
            long retryAfter = unpacker.unpackLong();
            String phase = unpacker.unpackString();
            Optional<JobPhase> known = phase.isEmpty() ? Optional.empty() : Optional.of(JobPhase.valueOf(phase));
            return new JobReply(status, reason, retryAfter, known, unpacker.unpackInt());
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("the bytes are no reply", e);
        }
    }

    static byte[] encode(PoolDemand load) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packDouble(load.neededMachines());
            packer.packMapHeader(load.workers().size());
            for (Map.Entry<String, PoolDemand.WorkerUsage> entry :
                    load.workers().entrySet()) {
                PoolDemand.WorkerUsage worker = entry.getValue();
                packer.packString(entry.getKey());
                packer.packLong(worker.usedCpuMillis());
                packer.packBoolean(worker.hasLongRunning())
                        .packBoolean(worker.empty())
                        .packBoolean(worker.acceptsWork());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("a buffer in memory cannot fail", e);
        }
    }

    /**
     * Decodes a load.
     *
     * @throws IllegalArgumentException if the bytes are no load
     */
    static PoolDemand decodeDemand(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            double needed = unpacker.unpackDouble();
            int count = unpacker.unpackMapHeader();
            Map<String, PoolDemand.WorkerUsage> workers = new HashMap<>();
            for (int i = 0; i < count; i++) {
                workers.put(
                        unpacker.unpackString(),
                        new PoolDemand.WorkerUsage(
                                unpacker.unpackLong(),
                                unpacker.unpackBoolean(),
                                unpacker.unpackBoolean(),
                                unpacker.unpackBoolean()));
            }
            return new PoolDemand(needed, workers);
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("the bytes are no load", e);
        }
    }
}
