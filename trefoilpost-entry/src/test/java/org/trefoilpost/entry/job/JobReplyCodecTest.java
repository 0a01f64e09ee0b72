package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.trefoilpost.decision.job.PoolDemand;

/**
 * Guards against entries that do not understand each other's demand.
 */
class JobReplyCodecTest {
    private static final Map<String, PoolDemand.WorkerUsage> WORKERS =
            Map.of("w1", new PoolDemand.WorkerUsage(1_500, true, false, true));

    @Test
    void demandIsReadAsItWasWritten() {
        PoolDemand demand = new PoolDemand(2.5, WORKERS, Set.of("w1", "w2"));
        assertEquals(demand, JobReplyCodec.decodeDemand(JobReplyCodec.encode(demand)));
    }

    @Test
    void demandOfAnEarlierVersionIsRead() throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packDouble(2.5).packMapHeader(1).packString("w1");
            packer.packLong(1_500).packBoolean(true).packBoolean(false).packBoolean(true);
            assertEquals(new PoolDemand(2.5, WORKERS, Set.of()), JobReplyCodec.decodeDemand(packer.toByteArray()));
        }
    }
}
