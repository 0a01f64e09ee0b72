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
    void viewsConvergeAfterLossFreezesAndStops(
            @ForAll long seed, @ForAll @IntRange(min = 3, max = 9) int size, @ForAll boolean ring) {
        Random random = new Random(seed);
        Mesh mesh = new Mesh(random, ring ? RingSurveillance.of(2) : new AllToAllSurveillance());
        for (int i = 0; i < size; i++) {
            mesh.start(i, 1, i, 0);
        }
        mesh.run(5_000);
        mesh.loss = 0.4;
        mesh.maxDelayMillis = 400;
        int frozen = random.nextInt(size);
        mesh.freeze(frozen, 1_000 + random.nextInt(9_000));
        mesh.run(12_000);
        int stopped = (frozen + 1) % size;
        mesh.stop(stopped);
        mesh.loss = 0;
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
    void oneSeedIsEnoughWithoutTheStore(@ForAll long seed, @ForAll @IntRange(min = 2, max = 9) int size) {
        Mesh mesh = new Mesh(new Random(seed), new AllToAllSurveillance());
        for (int i = 0; i < size; i++) {
            mesh.start(i, 1, i, Math.max(0, i - 1));
        }
        mesh.run(6_000);
        for (Membership membership : mesh.entries.values()) {
            assertEquals(size - 1, membership.live().size());
        }
    }

    @Property(seed = "93", tries = 50)
    void anEntryListensAfterItsOwnPauseBeforeItSuspects(
            @ForAll long seed, @ForAll @IntRange(min = 1_000, max = 60_000) int pauseMillis) {
        Mesh mesh = meshOf(seed, 4, new AllToAllSurveillance());
        mesh.log.clear();
        mesh.freeze(2, pauseMillis);
        mesh.run(pauseMillis + 3_000L);
        assertFalse(mesh.log.stream().anyMatch(line -> line.startsWith("2 SUSPECTED")), mesh.log.toString());
        assertTrue(pauseMillis < 5_600 || mesh.log.contains("0 REMOVED e2"), "the others remove it meanwhile");
        assertEquals(MemberState.ALIVE, mesh.state(0, 2), "the newer heartbeats refute the suspicion");
    }

    @Test
    void aReplacedEntryTakesItsNameToANewAddress() {
        Mesh mesh = meshOf(1, 3, new AllToAllSurveillance());
        mesh.freeze(2, 8_000);
        mesh.start(2, 7, 12, 0);
        mesh.run(2_000);
        assertEquals(List.of(Mesh.member(1, 1, 1), Mesh.member(2, 7, 12)), live(mesh, 0));
        assertTrue(mesh.log.contains("0 REPLACED e2"));
        mesh.run(8_000);
        assertTrue(mesh.log.contains("2 SUPERSEDED e2"), "the older incarnation learns of the newer one");
        assertEquals(
                List.of(Mesh.member(1, 1, 1), Mesh.member(2, 7, 12)), live(mesh, 0), "late heartbeats change nothing");
    }

    @Test
    void aNewEntryAtAnOldAddressEndsTheOldOne() {
        Mesh mesh = meshOf(2, 3, new AllToAllSurveillance());
        mesh.stop(2);
        mesh.start(5, 9, 2, 0, 1);
        mesh.run(400);
        assertEquals(MemberState.REMOVED, mesh.state(0, 2));
        assertEquals(MemberState.ALIVE, mesh.state(0, 5));
    }

    @Test
    void suspicionAndRemovalComeInTime() {
        Mesh mesh = meshOf(3, 3, new AllToAllSurveillance());
        mesh.stop(1);
        mesh.run(1_000);
        assertEquals(MemberState.ALIVE, mesh.state(0, 1));
        mesh.run(520);
        assertEquals(MemberState.SUSPECTED, mesh.state(0, 1));
        assertTrue(live(mesh, 0).contains(Mesh.member(1, 1, 1)));
        mesh.run(4_000);
        assertEquals(MemberState.REMOVED, mesh.state(0, 1));
        assertFalse(live(mesh, 0).contains(Mesh.member(1, 1, 1)));
        mesh.run(610_000);
        assertEquals(null, mesh.state(0, 1), "forgotten");
    }

    @Test
    void otherTrafficSparesHeartbeats() {
        Membership membership =
                Membership.of(Mesh.member(0, 1, 0), MembershipSettings.defaults(), new AllToAllSurveillance(), 0);
        for (int peer = 1; peer <= 2; peer++) {
            Heartbeat heartbeat =
                    Heartbeat.builder(Mesh.member(peer, 1, peer), 1).build();
            membership.step(MembershipEvent.heartbeat(heartbeat), 0);
        }
        membership.step(MembershipEvent.tick(), 250);
        membership.step(MembershipEvent.carried(EntryId.of("e1")), 300);
        List<MembershipAction> actions = membership.step(MembershipEvent.tick(), 500);
        assertEquals(1, actions.size());
        assertEquals("e2", actions.get(0).member().id().text());
        assertEquals(1, membership.step(MembershipEvent.tick(), 550).size());
        assertEquals(2, membership.step(MembershipEvent.urgent(), 551).size());
    }

    @Test
    void manySuspicionsAreRefutedOnceInAnInterval() {
        Member self = Mesh.member(0, 1, 0);
        Membership membership = Membership.of(self, MembershipSettings.defaults(), RingSurveillance.of(2), 0);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            Heartbeat heartbeat = Heartbeat.builder(Mesh.member(1 + i % 5, 1, 1 + i % 5), i)
                    .suspects(List.of(self))
                    .build();
            sent += (int) membership.step(MembershipEvent.heartbeat(heartbeat), 1 + i).stream()
                    .filter(action -> action.kind() == MembershipAction.Kind.SEND)
                    .count();
        }
        assertTrue(sent >= 1 && sent <= 5, "one heartbeat to each peer at most: " + sent);
    }

    private static List<Member> live(Mesh mesh, int port) {
        return mesh.entries.get(port).live();
    }

    private static Mesh meshOf(long seed, int size, Surveillance surveillance) {
        Mesh mesh = new Mesh(new Random(seed), surveillance);
        for (int i = 0; i < size; i++) {
            mesh.start(i, 1, i, 0);
        }
        mesh.run(5_000);
        return mesh;
    }
}
