package org.trefoilpost.decision.job.team;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.ResourceAmount;

/** Guards against starts that the stored grants do not cover, and against grants that are kept or taken wrongly. */
class PoolTeamLimitsTest {
    private static final long TOKEN = 50;
    private static final ResourceAmount TASK = cpu(1_000);
    private static final ResourceAmount FREE = new ResourceAmount(100_000, 100_000, 10);

    private final List<TeamGrants> writes = new ArrayList<>();
    private final List<String> reads = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final PoolTeamLimits limits = new PoolTeamLimits("p1", () -> TOKEN, new Recorder());
    private ResourceAmount used = ResourceAmount.NONE;
    private ResourceAmount adopted = ResourceAmount.NONE;
    private ResourceAmount unanswered = ResourceAmount.NONE;
    private long nowMillis = 1_000_000;

    private static ResourceAmount cpu(long millis) {
        return new ResourceAmount(millis, 0, 0);
    }

    private void configure(long capCpuMillis) {
        limits.configure(
                Teams.builder().team(new TeamConfig("a", 1, cpu(capCpuMillis))).build(), 2, nowMillis);
    }

    private void load(Map<String, PoolGrant> rows, long revision) {
        configure(8_000);
        limits.loaded(rows.isEmpty() ? Map.of() : Map.of("a", stored(rows, revision)), nowMillis);
    }

    private static StoredGrants stored(Map<String, PoolGrant> rows, long revision) {
        return new StoredGrants(TeamGrantsCodec.encode(new TeamGrants(revision, rows)), revision);
    }

    private static PoolGrant row(long token, long granted, long wish) {
        return new PoolGrant(token, cpu(granted), cpu(wish), false);
    }

    /** Makes a round of placements in which up to a number of tasks could start, and returns how many did. */
    private int round(int tasks) {
        return round(tasks, TASK);
    }

    private int round(int tasks, ResourceAmount task) {
        nowMillis += 250;
        limits.observe(new PoolUse(Map.of("a", new TeamUse(used, adopted)), FREE, unanswered), nowMillis);
        limits.beginRound();
        int started = 0;
        while (started < tasks && limits.tryStart("a", task, task, tasks - started, nowMillis)) {
            used = used.plus(task);
            started++;
        }
        limits.observe(new PoolUse(Map.of("a", new TeamUse(used, adopted)), FREE, unanswered), nowMillis);
        limits.decide(nowMillis);
        return started;
    }

    private TeamGrants lastWrite() {
        return writes.get(writes.size() - 1);
    }

    private long granted(TeamGrants grants) {
        return grants.row("p1").granted().cpuMillis();
    }

    @Test
    void nothingStartsBeforeTheGrantsAreLoaded() {
        configure(8_000);
        assertEquals(0, round(1));
        assertEquals(0, writes.size());
        load(Map.of("p1", row(10, 4_000, 0)), 7);
        assertEquals(4, round(6));
    }

    @Test
    void teamsWithoutACapAndUnknownTeamsAreNotLimited() {
        configure(8_000);
        assertTrue(limits.tryStart("unknown", TASK, TASK, 1, nowMillis));
    }

    @Test
    void raisedGrantAppliesOnlyOnceItIsConfirmed() {
        load(Map.of(), 0);
        assertEquals(0, round(3));
        assertEquals(0, lastWrite().revision());
        assertTrue(granted(lastWrite()) >= 4_000, "a first request is for an equal part: " + lastWrite());
        assertEquals(0, round(3));
        limits.writeStored("a", 8, nowMillis);
        assertEquals(3, round(3));
        assertEquals(1, writes.size());
    }

    @Test
    void loweredGrantAppliesFromTheSendingOfItsWrite() {
        load(Map.of("p1", row(10, 8_000, 0)), 7);
        round(2);
        limits.changed(
                "a", Optional.of(stored(Map.of("p1", row(10, 8_000, 0), "p2", row(20, 0, 8_000)), 8)), nowMillis);
        round(0);
        long lowered = granted(lastWrite());
        assertTrue(lowered >= 2_000 && lowered < 8_000, "returned at once: " + lastWrite());
        assertEquals((lowered - 2_000) / 1_000, round(8));
    }

    @Test
    void unansweredWriteCountsWithTheLowerOfBothGrantsUntilTheKeyChanges() {
        load(Map.of("p1", row(10, 2_000, 0)), 7);
        round(4);
        assertEquals(2_000, used.cpuMillis());
        limits.writeUnanswered("a");
        assertEquals(List.of("a"), reads);
        limits.read("a", Optional.of(stored(Map.of("p1", row(10, 2_000, 0)), 7)), nowMillis);
        assertEquals(0, round(4), "the write may have no effect");
        assertEquals(2, writes.size(), "a write with the same condition settles which one takes effect");
        limits.writeRefused(
                "a", "conflict", Optional.of(stored(Map.of("p1", row(TOKEN, 5_000, 0)), 9)), true, nowMillis);
        assertEquals(3, round(3), "the first write has taken effect late");
    }

    @Test
    void refusedWriteHasNoEffect() {
        load(Map.of("p1", row(10, 6_000, 0)), 7);
        round(2);
        limits.changed(
                "a", Optional.of(stored(Map.of("p1", row(10, 6_000, 0), "p2", row(20, 0, 8_000)), 8)), nowMillis);
        round(0);
        limits.writeRefused("a", "store-refused", Optional.empty(), false, nowMillis);
        assertTrue(round(2) > 0);
        assertTrue(events.contains("grant-refused"));
    }

    @Test
    void rowOfALaterOwnerRaisesNothing() {
        load(Map.of("p1", row(10, 1_000, 0)), 7);
        assertEquals(1, round(1));
        limits.changed("a", Optional.of(stored(Map.of("p1", row(TOKEN + 1, 8_000, 0)), 8)), nowMillis);
        assertEquals(0, round(1));
    }

    @Test
    void ownerThatReadsTheRowOfALaterOneStartsNothing() {
        load(Map.of("p1", row(TOKEN + 1, 8_000, 0)), 7);
        assertEquals(0, round(1));
    }

    @Test
    void unseenRunsCountUntilTheWorkersHaveAnswered() {
        unanswered = cpu(3_000);
        adopted = cpu(2_000);
        load(Map.of("p1", row(10, 6_000, 0)), 7);
        assertEquals(1, round(4), "2 reported, up to 3 unseen");
        unanswered = PoolUse.UNKNOWN_CAPACITY;
        assertEquals(0, round(4));
        unanswered = ResourceAmount.NONE;
        limits.writeStored("a", 8, nowMillis);
        assertTrue(round(3) >= 3);
    }

    @Test
    void grantThatIsNotUsedForTwoSecondsIsReturned() {
        load(Map.of("p1", row(10, 8_000, 0)), 7);
        round(8);
        used = ResourceAmount.NONE;
        round(0);
        assertEquals(0, writes.size());
        for (int i = 0; i < 9; i++) {
            round(0);
        }
        assertTrue(lastWrite().row("p1").isEmpty());
    }

    @Test
    void nothingStartsUntilTheUseIsBelowALoweredCap() {
        load(Map.of("p1", row(10, 8_000, 0)), 7);
        round(6);
        configure(3_000);
        assertEquals(0, round(1));
        assertEquals(6_000, granted(lastWrite()), "returned down to the use");
        limits.writeStored("a", 8, nowMillis);
        used = cpu(3_000);
        assertEquals(0, round(1));
        limits.writeStored("a", 9, nowMillis);
        used = cpu(1_000);
        round(2);
        limits.writeStored("a", 10, nowMillis);
        used = cpu(1_000);
        round(2);
        limits.writeStored("a", 11, nowMillis);
        assertEquals(3_000, used.cpuMillis() + 1_000L * round(2));
    }

    @Test
    void taskLargerThanTheCapRunsAlone() {
        load(Map.of("p2", row(20, 1_000, 0)), 7);
        assertEquals(0, round(1, cpu(9_000)));
        assertTrue(lastWrite().row("p1").exclusive());
        limits.writeStored("a", 8, nowMillis);
        TeamGrants alone = new TeamGrants(9, Map.of("p1", lastWrite().row("p1")));
        limits.changed("a", Optional.of(stored(alone.pools(), 9)), nowMillis);
        assertEquals(0, round(1, cpu(9_000)));
        assertEquals(9_000, granted(lastWrite()));
        limits.writeStored("a", 10, nowMillis);
        assertEquals(1, round(1, cpu(9_000)));
        assertEquals(0, round(1), "nothing starts beside it");
    }

    @Test
    void poolWaitsForTheUnitOfAnother() {
        PoolGrant claim = new PoolGrant(20, ResourceAmount.NONE, cpu(9_000), true);
        load(Map.of("p1", row(10, 4_000, 0), "p2", claim), 7);
        assertEquals(0, round(2));
        assertTrue(lastWrite().row("p1").granted().equals(ResourceAmount.NONE));
    }

    @Test
    void unreadableKeyIsNeitherWrittenNorRaisesAGrant() {
        load(Map.of("p1", row(10, 2_000, 0)), 7);
        round(1);
        limits.changed("a", Optional.of(new StoredGrants(new byte[] {99}, 8)), nowMillis);
        assertEquals(1, round(4), "the grant stays usable");
        round(4);
        assertEquals(0, writes.size());
        assertTrue(events.contains("team-key-unreadable"));
    }

    @Test
    void grantOfARepairedKeyIsThatOfTheFormerOwner() {
        configure(8_000);
        limits.loaded(Map.of("a", new StoredGrants(new byte[] {99}, 7)), nowMillis);
        unanswered = cpu(3_000);
        assertEquals(0, round(4));
        limits.changed("a", Optional.of(stored(Map.of("p1", row(10, 4_000, 0)), 8)), nowMillis);
        assertEquals(1, round(4), "up to 3 are unseen");
    }

    @Test
    void removedUnreadableKeyIsWrittenAgain() {
        configure(8_000);
        limits.loaded(Map.of("a", new StoredGrants(new byte[] {99}, 7)), nowMillis);
        limits.changed("a", Optional.empty(), nowMillis);
        limits.read("a", Optional.empty(), nowMillis);
        used = cpu(2_000);
        round(4);
        assertEquals(2_000, granted(lastWrite()));
    }

    @Test
    void removedKeyIsWrittenAgainWithTheUseBeforeAnyGrantRises() {
        load(Map.of("p1", row(10, 4_000, 0)), 7);
        round(2);
        limits.changed("a", Optional.empty(), nowMillis);
        assertEquals(List.of("a"), reads);
        limits.read("a", Optional.empty(), nowMillis);
        assertEquals(0, round(4));
        assertEquals(2_000, granted(lastWrite()));
        assertEquals(0, lastWrite().revision());
    }

    @Test
    void newLimitIsNotUsedBeforeAllPoolsHaveStoredTheirUse() {
        limits.configure(
                Teams.builder()
                        .team(new TeamConfig("a", 1, new ResourceAmount(0, 500_000, 0)))
                        .build(),
                2,
                nowMillis);
        limits.loaded(Map.of(), nowMillis);
        configure(8_000);
        used = cpu(2_000);
        assertEquals(0, round(4));
        assertEquals(2_000, granted(lastWrite()));
        limits.writeStored("a", 8, nowMillis);
        assertEquals(0, round(4));
        nowMillis += 4_000;
        round(4);
        assertTrue(granted(lastWrite()) > 2_000);
    }

    @Test
    void gangThatExceedsTheCapByMoreThanATaskNeverStarts() {
        load(Map.of(), 0);
        limits.observe(new PoolUse(Map.of(), FREE, unanswered), nowMillis);
        limits.beginRound();
        assertFalse(limits.tryStart("a", cpu(20_000), cpu(1_000), 1, nowMillis));
        limits.decide(nowMillis);
        assertEquals(0, writes.size());
        assertTrue(events.contains("team-limit-reached"));
    }

    /** Records what the limits decide. */
    private final class Recorder implements TeamGrantWriter {
        @Override
        public void write(String team, TeamGrants grants) {
            writes.add(grants);
        }

        @Override
        public void read(String team) {
            reads.add(team);
        }

        @Override
        public void logDecision(Decision decision) {
            events.add(decision.name());
        }
    }
}
