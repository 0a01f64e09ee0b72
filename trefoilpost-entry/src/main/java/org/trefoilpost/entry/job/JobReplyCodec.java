package org.trefoilpost.entry.job;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.job.JobPhase;
import org.trefoilpost.decision.job.PoolDemand;

/**
 * Encodes and decodes the replies that entries send each other.
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
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /**
     * Decodes a reply.
     *
     * @throws IllegalArgumentException if the bytes cannot be decoded
     */
    static JobReply decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            JobReplyStatus status = JobReplyStatus.valueOf(unpacker.unpackString());
            String reason = unpacker.unpackString();
            long retryAfterMillis = unpacker.unpackLong();
            String phaseName = unpacker.unpackString();
            Optional<JobPhase> phase =
                    phaseName.isEmpty() ? Optional.empty() : Optional.of(JobPhase.valueOf(phaseName));
            return new JobReply(status, reason, retryAfterMillis, phase, unpacker.unpackInt());
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("job reply cannot be decoded", e);
        }
    }

    static byte[] encode(PoolDemand demand) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packDouble(demand.neededMachines());
            packer.packMapHeader(demand.workers().size());
            for (Map.Entry<String, PoolDemand.WorkerUsage> entry :
                    demand.workers().entrySet()) {
                PoolDemand.WorkerUsage worker = entry.getValue();
                packer.packString(entry.getKey());
                packer.packLong(worker.usedCpuMillis());
                packer.packBoolean(worker.hasLongRunning())
                        .packBoolean(worker.empty())
                        .packBoolean(worker.acceptsWork());
            }
            packer.packArrayHeader(demand.awaitedWorkers().size());
            for (String worker : demand.awaitedWorkers()) {
                packer.packString(worker);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /**
     * Decodes a pool's demand.
     *
     * @throws IllegalArgumentException if the bytes cannot be decoded
     */
    static PoolDemand decodeDemand(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            double neededMachines = unpacker.unpackDouble();
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
            return new PoolDemand(neededMachines, workers, decodeAwaitedWorkers(unpacker));
        } catch (IOException | MessagePackException e) {
            throw new IllegalArgumentException("pool demand cannot be decoded", e);
        }
    }

    /** Entries of earlier versions send none. */
    private static Set<String> decodeAwaitedWorkers(MessageUnpacker unpacker) throws IOException {
        Set<String> awaited = new HashSet<>();
        int count = unpacker.hasNext() ? unpacker.unpackArrayHeader() : 0;
        for (int i = 0; i < count; i++) {
            awaited.add(unpacker.unpackString());
        }
        return awaited;
    }
}
