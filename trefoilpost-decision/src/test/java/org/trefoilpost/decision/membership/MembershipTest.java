package org.trefoilpost.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.EntryId;

class MembershipTest {
    @Property(seed = "91", tries = 30)
    void viewsConvergeAfterMessageLossAPauseAndAStop(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 9) int size, @ForAll boolean ring) {
        Random random = new Random(seed);
        SimulatedNetwork mesh = new SimulatedNetwork(random, ring ? RingTopology.of(2) : new AllToAllTopology());
        for (int i = 0; i < size; i++) {
            mesh.start(i, 1, i, 0);
        }
        mesh.run(5_000);
        mesh.lossProbability = 0.4;
        mesh.maxDelayMillis = 400;
        int frozen = random.nextInt(size);
        mesh.pause(frozen, 1_000 + random.nextInt(9_000));
        mesh.run(12_000);
        int stopped = (frozen + 1) % size;
        mesh.stop(stopped);
        mesh.lossProbability = 0;
        mesh.maxDelayMillis = 5;
        mesh.run(12_000);
        for (int port : mesh.entries.keySet()) {
            for (int peer = 0; peer < size; peer++) {
                if (peer != port) {
                    MemberState expected = peer == stopped ? MemberState.REMOVED : MemberState.ALIVE;
                    assertEquals(expected, mesh.state(port, peer), port + " of " + peer);
                }
            }
        }
    }

    @Property(seed = "92", tries = 50)
    void entriesDiscoverEachOtherFromOneKnownPeerEach(@ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int size) {
        SimulatedNetwork mesh = new SimulatedNetwork(new Random(seed), new AllToAllTopology());
        for (int i = 0; i < size; i++) {
            mesh.start(i, 1, i, Math.max(0, i - 1));
        }
        mesh.run(6_000);
        for (Membership membership : mesh.entries.values()) {
            assertEquals(size - 1, membership.live().size());
        }
    }

    @Property(seed = "93", tries = 50)
    void aPausedEntrySuspectsNobodyWhenItResumes(
            @ForAll long seed, @ForAll @IntRange(min = 1_000, max = 60_000) int pauseMillis) {
        SimulatedNetwork mesh = networkOf(seed, 4, new AllToAllTopology());
        mesh.log.clear();
        mesh.pause(2, pauseMillis);
        mesh.run(pauseMillis + 3_000L);
        assertFalse(mesh.log.stream().anyMatch(line -> line.startsWith("2 SUSPECTED")), mesh.log.toString());
        assertTrue(pauseMillis < 5_600 || mesh.log.contains("0 REMOVED e2"), "the others remove it meanwhile");
        assertEquals(MemberState.ALIVE, mesh.state(0, 2), "the newer heartbeats refute the suspicion");
    }

    @Test
    void aNewerIncarnationAtANewAddressReplacesTheOlderOne() {
        SimulatedNetwork mesh = networkOf(1, 3, new AllToAllTopology());
        mesh.pause(2, 8_000);
        mesh.start(2, 7, 12, 0);
        mesh.run(2_000);
        assertEquals(List.of(SimulatedNetwork.member(1, 1, 1), SimulatedNetwork.member(2, 7, 12)), live(mesh, 0));
        assertTrue(mesh.log.contains("0 REPLACED e2"));
        mesh.run(8_000);
        assertTrue(mesh.log.contains("2 SUPERSEDED e2"), "the older incarnation learns of the newer one");
        assertEquals(
                List.of(SimulatedNetwork.member(1, 1, 1), SimulatedNetwork.member(2, 7, 12)),
                live(mesh, 0),
                "late heartbeats change nothing");
    }

    @Test
    void aNewEntryAtTheSameAddressRemovesTheFormerOne() {
        SimulatedNetwork mesh = networkOf(2, 3, new AllToAllTopology());
        mesh.stop(2);
        mesh.start(5, 9, 2, 0, 1);
        mesh.run(400);
        assertEquals(MemberState.REMOVED, mesh.state(0, 2));
        assertEquals(MemberState.ALIVE, mesh.state(0, 5));
    }

    @Test
    void aStoppedPeerIsSuspectedThenRemovedThenForgotten() {
        SimulatedNetwork mesh = networkOf(3, 3, new AllToAllTopology());
        mesh.stop(1);
        mesh.run(1_000);
        assertEquals(MemberState.ALIVE, mesh.state(0, 1));
        mesh.run(520);
        assertEquals(MemberState.SUSPECTED, mesh.state(0, 1));
        assertTrue(live(mesh, 0).contains(SimulatedNetwork.member(1, 1, 1)));
        mesh.run(4_000);
        assertEquals(MemberState.REMOVED, mesh.state(0, 1));
        assertFalse(live(mesh, 0).contains(SimulatedNetwork.member(1, 1, 1)));
        mesh.run(610_000);
        assertEquals(null, mesh.state(0, 1), "forgotten");
    }

    @Test
    void aPiggybackedHeartbeatPostponesTheNextOne() {
        Membership membership = Membership.of(
                SimulatedNetwork.member(0, 1, 0), MembershipSettings.defaults(), new AllToAllTopology(), 0);
        for (int peer = 1; peer <= 2; peer++) {
            Heartbeat heartbeat =
                    Heartbeat.builder(SimulatedNetwork.member(peer, 1, peer), 1).build();
            membership.step(MembershipEvent.heartbeat(heartbeat), 0);
        }
        membership.step(MembershipEvent.tick(), 250);
        membership.step(MembershipEvent.piggybacked(EntryId.of("e1")), 300);
        List<MembershipAction> actions = membership.step(MembershipEvent.tick(), 500);
        assertEquals(1, actions.size());
        assertEquals("e2", actions.get(0).member().id().text());
        assertEquals(1, membership.step(MembershipEvent.tick(), 550).size());
        assertEquals(2, membership.step(MembershipEvent.broadcast(), 551).size());
    }

    @Test
    void suspicionsAreRefutedAtMostOnceInEachInterval() {
        Member self = SimulatedNetwork.member(0, 1, 0);
        Membership membership = Membership.of(self, MembershipSettings.defaults(), RingTopology.of(2), 0);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            Heartbeat heartbeat = Heartbeat.builder(SimulatedNetwork.member(1 + i % 5, 1, 1 + i % 5), i)
                    .suspects(List.of(self))
                    .build();
            sent += (int) membership.step(MembershipEvent.heartbeat(heartbeat), 1 + i).stream()
                    .filter(action -> action.kind() == MembershipAction.Kind.SEND)
                    .count();
        }
        assertTrue(sent >= 1 && sent <= 5, "one heartbeat to each peer at most: " + sent);
    }

    private static List<Member> live(SimulatedNetwork mesh, int port) {
        return mesh.entries.get(port).live();
    }

    private static SimulatedNetwork networkOf(long seed, int size, HeartbeatTopology surveillance) {
        SimulatedNetwork mesh = new SimulatedNetwork(new Random(seed), surveillance);
        for (int i = 0; i < size; i++) {
            mesh.start(i, 1, i, 0);
        }
        mesh.run(5_000);
        return mesh;
    }
}
