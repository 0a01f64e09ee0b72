package org.trefoilpost.bench.slope;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilpost.decision.membership.EntryPoolLoad;
import org.trefoilpost.decision.membership.Heartbeat;
import org.trefoilpost.decision.membership.HeartbeatCodec;
import org.trefoilpost.decision.membership.HeartbeatException;
import org.trefoilpost.decision.membership.Member;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.TeamName;
import org.trefoilpost.model.WorkerId;

/**
 * Bytes and processor time of a heartbeat against the members told, the workers and pools with requests, and the teams.
 */
final class HeartbeatSlopes {
    private static final int REPEATS = 2_000;
    private static final int SHARDS = 16;

    private HeartbeatSlopes() {}

    static void print(PrintStream out) {
        Series members =
                new Series("Heartbeat against members told", "members", "bytes", "CPU µs to encode and decode");
        for (int count : new int[] {3, 6, 9, 32, 128}) {
            measure(members, count, heartbeat(count, 5, 40, 0));
        }
        members.print(out);
        Series workers = new Series(
                "Heartbeat against workers in flight, 313 pools", "workers", "bytes", "CPU µs to encode and decode");
        for (int count : new int[] {40, 313, 1_000, 2_000, 3_000}) {
            measure(workers, count, heartbeat(9, Math.min(count, 313), count, 0));
        }
        workers.print(out);
        Series pools = new Series(
                "Heartbeat against pools, a worker in each", "pools", "bytes", "CPU µs to encode and decode");
        for (int count : new int[] {5, 20, 80, 160, 313}) {
            measure(pools, count, heartbeat(9, count, count, 0));
        }
        pools.print(out);
        Series teams = new Series("Heartbeat against teams, 5 pools", "teams", "bytes", "CPU µs to encode and decode");
        for (int count : new int[] {0, 20, 60, 120, 230}) {
            measure(teams, count, heartbeat(9, 5, 40, count));
        }
        teams.print(out);
        out.println();
        out.println("most workers in flight in a heartbeat of " + HeartbeatCodec.MAX_BYTES + " bytes, 313 pools: "
                + most());
    }

    private static void measure(Series series, int size, Heartbeat heartbeat) {
        byte[] bytes = encode(heartbeat);
        double micros = Usage.cpuMicros(REPEATS, () -> decode(encode(heartbeat)));
        series.add(size, bytes.length, micros);
    }

    private static int most() {
        int fits = 0;
        int fails = 25_000;
        while (fails - fits > 1) {
            int middle = (fits + fails) / 2;
            try {
                HeartbeatCodec.encode(heartbeat(9, Math.min(313, middle), middle, 230));
                fits = middle;
            } catch (HeartbeatException e) {
                fails = middle;
            }
        }
        return fits;
    }

    private static byte[] encode(Heartbeat heartbeat) {
        try {
            return HeartbeatCodec.encode(heartbeat);
        } catch (HeartbeatException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void decode(byte[] bytes) {
        try {
            HeartbeatCodec.decode(bytes);
        } catch (HeartbeatException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Heartbeat heartbeat(int members, int pools, int workers, int teams) {
        List<Member> told = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            told.add(Member.of(EntryId.of("entry-" + i), 1_800_000_000_000L + i, Endpoint.of("10.0.0.1", 8_081)));
        }
        List<EntryPoolLoad> loads = new ArrayList<>();
        for (int pool = 0; pool < pools; pool++) {
            Map<WorkerId, Integer> inFlight = new HashMap<>();
            for (int worker = pool; worker < workers; worker += pools) {
                inFlight.put(WorkerId.of("pool-" + pool + "-" + worker), 1);
            }
            loads.add(EntryPoolLoad.of(PoolName.of("pool-" + pool), 0, inFlight));
        }
        Map<TeamName, Integer> requests = new HashMap<>();
        for (int team = 0; team < teams; team++) {
            requests.put(TeamName.of("team-" + team), 1);
        }
        Map<Integer, Long> epochs = new HashMap<>();
        for (int shard = 0; shard < SHARDS; shard++) {
            epochs.put(shard, 1_000L);
        }
        return Heartbeat.builder(told.get(0), 1_000_000)
                .config(100_000, 1_000)
                .members(told)
                .loads(loads)
                .teamRequests(requests)
                .shardEpochs(epochs)
                .build();
    }
}
