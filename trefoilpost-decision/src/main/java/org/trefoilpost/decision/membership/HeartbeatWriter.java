package org.trefoilpost.decision.membership;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.decision.routing.LeavingSignals;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;

/**
 * Writes the fields of a heartbeat.
 */
final class HeartbeatWriter {
    /** The fields of a heartbeat, with the format number. */
    static final int HEARTBEAT_FIELD_COUNT = 11;
    /** The fields of a member. */
    static final int MEMBER_FIELD_COUNT = 4;
    /** The fields of a pool's load. */
    static final int LOAD_FIELD_COUNT = 3;
    /** The fields of a leaving worker. */
    static final int LEAVING_FIELD_COUNT = 4;

    private final MessagePacker packer;

    HeartbeatWriter(MessagePacker packer) {
        this.packer = packer;
    }

    void write(Heartbeat heartbeat) throws IOException {
        packer.packArrayHeader(HEARTBEAT_FIELD_COUNT);
        packer.packInt(HeartbeatCodec.FORMAT);
        writeMember(heartbeat.sender());
        packer.packLong(heartbeat.sequence());
        packer.packLong(heartbeat.configVersion());
        packer.packLong(heartbeat.configAgeMillis());
        writeMembers(heartbeat.members());
        writeMembers(heartbeat.suspects());
        writeLoads(heartbeat.loads());
        writeTeamRequests(heartbeat.teamRequests());
        writeLeaving(heartbeat.leaving());
        writeShardEpochs(heartbeat.shardEpochs());
    }

    private void writeMember(Member member) throws IOException {
        packer.packArrayHeader(MEMBER_FIELD_COUNT);
        packer.packString(member.id().text());
        packer.packLong(member.incarnation());
        packer.packString(member.endpoint().host());
        packer.packInt(member.endpoint().port());
    }

    private void writeMembers(List<Member> members) throws IOException {
        packer.packArrayHeader(members.size());
        for (Member member : members) {
            writeMember(member);
        }
    }

    private void writeLoads(List<EntryPoolLoad> loads) throws IOException {
        packer.packArrayHeader(loads.size());
        for (EntryPoolLoad load : loads) {
            packer.packArrayHeader(LOAD_FIELD_COUNT);
            packer.packString(load.pool().text());
            packer.packInt(load.queued());
            packer.packMapHeader(load.inFlight().size());
            for (Map.Entry<WorkerId, Integer> item : load.inFlight().entrySet()) {
                packer.packString(item.getKey().text());
                packer.packInt(item.getValue());
            }
        }
    }

    private void writeTeamRequests(Map<TeamName, Integer> teams) throws IOException {
        packer.packMapHeader(teams.size());
        for (Map.Entry<TeamName, Integer> item : teams.entrySet()) {
            packer.packString(item.getKey().text());
            packer.packInt(item.getValue());
        }
    }

    private void writeLeaving(LeavingRegister register) throws IOException {
        packer.packMapHeader(register.signals().size());
        for (Map.Entry<WorkerId, LeavingSignals> item : register.signals().entrySet()) {
            packer.packString(item.getKey().text());
            packer.packArrayHeader(LEAVING_FIELD_COUNT);
            packer.packLong(item.getValue().listIncarnation());
            packer.packLong(item.getValue().workerIncarnation());
            packer.packLong(item.getValue().cordonVersion());
            packer.packBoolean(item.getValue().cordoned());
        }
    }

    private void writeShardEpochs(Map<Integer, Long> shards) throws IOException {
        packer.packMapHeader(shards.size());
        for (Map.Entry<Integer, Long> item : shards.entrySet()) {
            packer.packInt(item.getKey());
            packer.packLong(item.getValue());
        }
    }
}
