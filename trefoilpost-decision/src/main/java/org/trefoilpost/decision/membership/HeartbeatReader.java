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
    private final int maxElements;

    /** Constructs a reader; no list can have more items than the frame has bytes. */
    HeartbeatReader(MessageUnpacker unpacker, int maxItems) {
        this.unpacker = unpacker;
        this.maxElements = maxItems;
    }

    Heartbeat read(int fields) throws IOException {
        checkFieldCount(HeartbeatWriter.HEARTBEAT_FIELD_COUNT, fields);
        Heartbeat.Builder heartbeat = Heartbeat.builder(readMember(), unpacker.unpackLong());
        heartbeat.config(unpacker.unpackLong(), unpacker.unpackLong());
        heartbeat.members(readMembers());
        heartbeat.suspects(readMembers());
        heartbeat.loads(readLoads());
        heartbeat.teamRequests(readTeamRequests());
        heartbeat.leaving(readLeaving());
        heartbeat.shardEpochs(readShardEpochs());
        return heartbeat.build();
    }

    private Member readMember() throws IOException {
        checkFieldCount(HeartbeatWriter.MEMBER_FIELD_COUNT, unpacker.unpackArrayHeader());
        EntryId id = EntryId.of(unpacker.unpackString());
        long incarnation = unpacker.unpackLong();
        return Member.of(id, incarnation, Endpoint.of(unpacker.unpackString(), unpacker.unpackInt()));
    }

    private List<Member> readMembers() throws IOException {
        int size = checkedCount(unpacker.unpackArrayHeader());
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(readMember());
        }
        return members;
    }

    private List<EntryPoolLoad> readLoads() throws IOException {
        int size = checkedCount(unpacker.unpackArrayHeader());
        List<EntryPoolLoad> loads = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            checkFieldCount(HeartbeatWriter.LOAD_FIELD_COUNT, unpacker.unpackArrayHeader());
            PoolName pool = PoolName.of(unpacker.unpackString());
            loads.add(EntryPoolLoad.of(pool, unpacker.unpackInt(), readInFlight()));
        }
        return loads;
    }

    private Map<WorkerId, Integer> readInFlight() throws IOException {
        int size = checkedCount(unpacker.unpackMapHeader());
        Map<WorkerId, Integer> inFlight = new HashMap<>();
        for (int i = 0; i < size; i++) {
            inFlight.put(WorkerId.of(unpacker.unpackString()), unpacker.unpackInt());
        }
        return inFlight;
    }

    private Map<TeamName, Integer> readTeamRequests() throws IOException {
        int size = checkedCount(unpacker.unpackMapHeader());
        Map<TeamName, Integer> teams = new HashMap<>();
        for (int i = 0; i < size; i++) {
            teams.put(TeamName.of(unpacker.unpackString()), checkedCount(unpacker.unpackInt(), Integer.MAX_VALUE));
        }
        return teams;
    }

    private LeavingRegister readLeaving() throws IOException {
        int size = checkedCount(unpacker.unpackMapHeader());
        Map<WorkerId, LeavingSignals> entries = new HashMap<>();
        for (int i = 0; i < size; i++) {
            WorkerId worker = WorkerId.of(unpacker.unpackString());
            checkFieldCount(HeartbeatWriter.LEAVING_FIELD_COUNT, unpacker.unpackArrayHeader());
            long list = unpacker.unpackLong();
            long signalled = unpacker.unpackLong();
            entries.put(worker, LeavingSignals.of(list, signalled, unpacker.unpackLong(), unpacker.unpackBoolean()));
        }
        return LeavingRegister.of(entries);
    }

    private Map<Integer, Long> readShardEpochs() throws IOException {
        int size = checkedCount(unpacker.unpackMapHeader());
        Map<Integer, Long> shards = new HashMap<>();
        for (int i = 0; i < size; i++) {
            shards.put(checkedCount(unpacker.unpackInt(), Integer.MAX_VALUE), unpacker.unpackLong());
        }
        return shards;
    }

    private int checkedCount(int size) {
        return checkedCount(size, maxElements);
    }

    private static int checkedCount(int size, int max) {
        if (size < 0 || size > max) {
            throw new IllegalArgumentException("a count of " + size + " is out of range");
        }
        return size;
    }

    private static void checkFieldCount(int expected, int fields) {
        if (fields != expected) {
            throw new IllegalArgumentException(fields + " fields where " + expected + " are expected");
        }
    }
}
