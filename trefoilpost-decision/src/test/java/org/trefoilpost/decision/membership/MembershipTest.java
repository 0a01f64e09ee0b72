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
        SimulatedNetwork network = new SimulatedNetwork(random, ring ? RingTopology.of(2) : new AllToAllTopology());
        for (int i = 0; i < size; i++) {
            network.start(i, 1, i, 0);
        }
        network.run(5_000);
        network.lossProbability = 0.4;
        network.maxDelayMillis = 400;
        int paused = random.nextInt(size);
        network.pause(paused, 1_000 + random.nextInt(9_000));
        network.run(12_000);
        int stopped = (paused + 1) % size;
        network.stop(stopped);
        network.lossProbability = 0;
        network.maxDelayMillis = 5;
        network.run(12_000);
        for (int port : network.entries.keySet()) {
            for (int peer = 0; peer < size; peer++) {
                if (peer != port) {
                    MemberState expected = peer == stopped ? MemberState.REMOVED : MemberState.ALIVE;
                    assertEquals(expected, network.state(port, peer), port + " of " + peer);
                }
            }
        }
    }

    @Property(seed = "92", tries = 50)
    void entriesDiscoverEachOtherFromOneKnownPeerEach(@ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int size) {
        SimulatedNetwork network = new SimulatedNetwork(new Random(seed), new AllToAllTopology());
        for (int i = 0; i < size; i++) {
            network.start(i, 1, i, Math.max(0, i - 1));
        }
        network.run(6_000);
        for (Membership membership : network.entries.values()) {
            assertEquals(size - 1, membership.live().size());
        }
    }

    @Property(seed = "93", tries = 50)
    void aPausedEntrySuspectsNobodyWhenItResumes(
            @ForAll long seed, @ForAll @IntRange(min = 1_000, max = 60_000) int pauseMillis) {
        SimulatedNetwork network = networkOf(seed, 4, new AllToAllTopology());
        network.log.clear();
        network.pause(2, pauseMillis);
        network.run(pauseMillis + 3_000L);
        assertFalse(network.log.stream().anyMatch(line -> line.startsWith("2 SUSPECTED")), network.log.toString());
        assertTrue(pauseMillis < 5_600 || network.log.contains("0 REMOVED e2"), "the others remove it meanwhile");
        assertEquals(MemberState.ALIVE, network.state(0, 2), "the newer heartbeats refute the suspicion");
    }

    @Test
    void aNewerIncarnationAtANewAddressReplacesTheOlderOne() {
        SimulatedNetwork network = networkOf(1, 3, new AllToAllTopology());
        network.pause(2, 8_000);
        network.start(2, 7, 12, 0);
        network.run(2_000);
        assertEquals(List.of(SimulatedNetwork.member(1, 1, 1), SimulatedNetwork.member(2, 7, 12)), live(network, 0));
        assertTrue(network.log.contains("0 REPLACED e2"));
        network.run(8_000);
        assertTrue(network.log.contains("2 SUPERSEDED e2"), "the older incarnation learns of the newer one");
        assertEquals(
                List.of(SimulatedNetwork.member(1, 1, 1), SimulatedNetwork.member(2, 7, 12)),
                live(network, 0),
                "late heartbeats change nothing");
    }

    @Test
    void aNewEntryAtTheSameAddressRemovesTheFormerOne() {
        SimulatedNetwork network = networkOf(2, 3, new AllToAllTopology());
        network.stop(2);
        network.start(5, 9, 2, 0, 1);
        network.run(400);
        assertEquals(MemberState.REMOVED, network.state(0, 2));
        assertEquals(MemberState.ALIVE, network.state(0, 5));
    }

    @Test
    void aStoppedPeerIsSuspectedThenRemovedThenForgotten() {
        SimulatedNetwork network = networkOf(3, 3, new AllToAllTopology());
        network.stop(1);
        network.run(1_000);
        assertEquals(MemberState.ALIVE, network.state(0, 1));
        network.run(520);
        assertEquals(MemberState.SUSPECTED, network.state(0, 1));
        assertTrue(live(network, 0).contains(SimulatedNetwork.member(1, 1, 1)));
        network.run(4_000);
        assertEquals(MemberState.REMOVED, network.state(0, 1));
        assertFalse(live(network, 0).contains(SimulatedNetwork.member(1, 1, 1)));
        network.run(610_000);
        assertEquals(null, network.state(0, 1), "forgotten");
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

    private static List<Member> live(SimulatedNetwork network, int port) {
        return network.entries.get(port).live();
    }

    private static SimulatedNetwork networkOf(long seed, int size, HeartbeatTopology topology) {
        SimulatedNetwork network = new SimulatedNetwork(new Random(seed), topology);
        for (int i = 0; i < size; i++) {
            network.start(i, 1, i, 0);
        }
        network.run(5_000);
        return network;
    }
}
