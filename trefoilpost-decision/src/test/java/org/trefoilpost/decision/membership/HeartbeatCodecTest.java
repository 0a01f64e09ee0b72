package org.trefoilpost.decision.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;

class HeartbeatCodecTest {
    @Property(seed = "81", tries = 300)
    void decodesWhatItEncodes(@ForAll long seed) throws HeartbeatException {
        Heartbeat heartbeat = heartbeat(new Random(seed));
        byte[] bytes = HeartbeatCodec.encode(heartbeat);
        Heartbeat decoded = HeartbeatCodec.decode(bytes);
        assertEquals(heartbeat, decoded);
        assertEquals(heartbeat, decoded.toBuilder().build());
    }

    @Property(seed = "82", tries = 300)
    void decodingADamagedFrameYieldsATypedErrorOrAnotherHeartbeat(@ForAll long seed) throws HeartbeatException {
        Random random = new Random(seed);
        byte[] bytes = HeartbeatCodec.encode(heartbeat(random));
        byte[] cut = Arrays.copyOf(bytes, random.nextInt(bytes.length));
        assertThrows(HeartbeatException.class, () -> HeartbeatCodec.decode(cut));
        byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
        assertEquals(HeartbeatFault.TRAILING_BYTES, fault(longer));
        for (int i = 0; i < 50; i++) {
            byte[] damaged = bytes.clone();
            damaged[random.nextInt(bytes.length)] = (byte) random.nextInt();
            try {
                HeartbeatCodec.encode(HeartbeatCodec.decode(damaged));
            } catch (HeartbeatException expected) {
                assertEquals(expected.fault(), fault(damaged));
            }
        }
    }

    @Test
    void rejectsUnknownFormatsAndOversizedHeartbeats() throws HeartbeatException {
        byte[] bytes = HeartbeatCodec.encode(heartbeat(new Random(1)));
        byte[] newer = bytes.clone();
        newer[1] = HeartbeatCodec.FORMAT + 1;
        assertEquals(HeartbeatFault.UNKNOWN_FORMAT, fault(newer));
        assertEquals(HeartbeatFault.TOO_LARGE, fault(new byte[HeartbeatCodec.MAX_BYTES + 1]));
        byte[] hugeMap = {(byte) 0xdf, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        assertEquals(HeartbeatFault.MALFORMED, fault(hugeMap));
        Map<WorkerId, Integer> inFlight = new HashMap<>();
        for (int i = 0; i < 10_000; i++) {
            inFlight.put(WorkerId.of("worker-" + i), 1);
        }
        Heartbeat large = Heartbeat.builder(member("e0", 1), 1)
                .loads(List.of(EntryPoolLoad.of(PoolName.of("p"), 0, inFlight)))
                .build();
        assertEquals(
                HeartbeatFault.TOO_LARGE,
                assertThrows(HeartbeatException.class, () -> HeartbeatCodec.encode(large))
                        .fault());
    }

    @Test
    void encodesInTheFixedFormat() throws HeartbeatException {
        byte[] bytes = HeartbeatCodec.encode(
                Heartbeat.builder(member("e", 1), 2).config(3, 4).build());
        byte[] expected = {
            (byte) 0x9b,
            1,
            (byte) 0x94,
            (byte) 0xa1,
            'e',
            1,
            (byte) 0xa9,
            '1',
            '2',
            '7',
            '.',
            '0',
            '.',
            '0',
            '.',
            '1',
            7,
            2,
            3,
            4,
            (byte) 0x90,
            (byte) 0x90,
            (byte) 0x90,
            (byte) 0x80,
            (byte) 0x80,
            (byte) 0x80
        };
        assertArrayEquals(expected, bytes);
    }

    private static HeartbeatFault fault(byte[] bytes) {
        return assertThrows(HeartbeatException.class, () -> HeartbeatCodec.decode(bytes))
                .fault();
    }

    private static Heartbeat heartbeat(Random random) {
        List<Member> members = new ArrayList<>();
        List<EntryPoolLoad> loads = new ArrayList<>();
        Map<Integer, Long> shards = new HashMap<>();
        Map<TeamName, Integer> teams = new HashMap<>();
        LeavingRegister leaving = LeavingRegister.empty();
        for (int i = random.nextInt(5); i > 0; i--) {
            members.add(member("e" + i, random.nextLong()));
            loads.add(EntryPoolLoad.of(
                    PoolName.of("p" + i), random.nextInt(1_000), Map.of(WorkerId.of("w" + i), random.nextInt(9))));
            shards.put(random.nextInt(64), random.nextLong());
            teams.put(TeamName.of("t" + i), random.nextInt(100));
            leaving = leaving.withCordon(WorkerId.of("w" + i), random.nextLong(), random.nextBoolean());
        }
        return Heartbeat.builder(member("e0", random.nextLong()), random.nextLong())
                .config(random.nextLong(), random.nextInt(10_000))
                .members(members)
                .suspects(members)
                .loads(loads)
                .teamRequests(teams)
                .leaving(leaving)
                .shardEpochs(shards)
                .build();
    }

    private static Member member(String id, long incarnation) {
        return Member.of(EntryId.of(id), incarnation, Endpoint.of("127.0.0.1", 7));
    }
}
