package org.trefoilpost.decision.membership;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.decision.routing.LeavingSignals;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;

/**
 * Reads the fields of a heartbeat that follow its format number.
 */
final class HeartbeatReader {
    private final MessageUnpacker unpacker;
    private final int maxItems;

    /** Constructs a reader; no list can have more items than the frame has bytes. */
    HeartbeatReader(MessageUnpacker unpacker, int maxItems) {
        this.unpacker = unpacker;
        this.maxItems = maxItems;
    }

    Heartbeat read(int fields) throws IOException {
        expect(HeartbeatWriter.FIELDS, fields);
        Heartbeat.Builder heartbeat = Heartbeat.builder(member(), unpacker.unpackLong());
        heartbeat.config(unpacker.unpackLong(), unpacker.unpackLong());
        heartbeat.members(members());
        heartbeat.suspects(members());
        heartbeat.loads(loads());
        heartbeat.teamRequests(teams());
        heartbeat.leaving(leaving());
        heartbeat.shardEpochs(shards());
        return heartbeat.build();
    }

    private Member member() throws IOException {
        expect(HeartbeatWriter.MEMBER_FIELDS, unpacker.unpackArrayHeader());
        EntryId id = EntryId.of(unpacker.unpackString());
        long incarnation = unpacker.unpackLong();
        return Member.of(id, incarnation, Endpoint.of(unpacker.unpackString(), unpacker.unpackInt()));
    }

    private List<Member> members() throws IOException {
        int size = size(unpacker.unpackArrayHeader());
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(member());
        }
        return members;
    }

    private List<PoolLoad> loads() throws IOException {
        int size = size(unpacker.unpackArrayHeader());
        List<PoolLoad> loads = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            expect(HeartbeatWriter.LOAD_FIELDS, unpacker.unpackArrayHeader());
            PoolName pool = PoolName.of(unpacker.unpackString());
            loads.add(PoolLoad.of(pool, unpacker.unpackInt(), inFlight()));
        }
        return loads;
    }

    private Map<WorkerId, Integer> inFlight() throws IOException {
        int size = size(unpacker.unpackMapHeader());
        Map<WorkerId, Integer> inFlight = new HashMap<>();
        for (int i = 0; i < size; i++) {
            inFlight.put(WorkerId.of(unpacker.unpackString()), unpacker.unpackInt());
        }
        return inFlight;
    }

    private Map<TeamName, Integer> teams() throws IOException {
        int size = size(unpacker.unpackMapHeader());
        Map<TeamName, Integer> teams = new HashMap<>();
        for (int i = 0; i < size; i++) {
            teams.put(TeamName.of(unpacker.unpackString()), size(unpacker.unpackInt(), Integer.MAX_VALUE));
        }
        return teams;
    }

    private LeavingRegister leaving() throws IOException {
        int size = size(unpacker.unpackMapHeader());
        Map<WorkerId, LeavingSignals> entries = new HashMap<>();
        for (int i = 0; i < size; i++) {
            WorkerId worker = WorkerId.of(unpacker.unpackString());
            expect(HeartbeatWriter.LEAVING_FIELDS, unpacker.unpackArrayHeader());
            long list = unpacker.unpackLong();
            long signalled = unpacker.unpackLong();
            entries.put(worker, LeavingSignals.of(list, signalled, unpacker.unpackLong(), unpacker.unpackBoolean()));
        }
        return LeavingRegister.of(entries);
    }

    private Map<Integer, Long> shards() throws IOException {
        int size = size(unpacker.unpackMapHeader());
        Map<Integer, Long> shards = new HashMap<>();
        for (int i = 0; i < size; i++) {
            shards.put(size(unpacker.unpackInt(), Integer.MAX_VALUE), unpacker.unpackLong());
        }
        return shards;
    }

    private int size(int size) {
        return size(size, maxItems);
    }

    private static int size(int size, int max) {
        if (size < 0 || size > max) {
            throw new IllegalArgumentException("a count of " + size + " is out of range");
        }
        return size;
    }

    private static void expect(int expected, int fields) {
        if (fields != expected) {
            throw new IllegalArgumentException(fields + " fields where " + expected + " are expected");
        }
    }
}
