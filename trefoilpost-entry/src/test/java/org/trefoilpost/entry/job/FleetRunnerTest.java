package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.team.Teams;

/**
 * Plays the owner of the machines against a store that loses answers and that gives the claim to another entry.
 */
class FleetRunnerTest {
    private static final String OWNER_KEY = LiveEntries.ownerKey(FleetRunner.MACHINES_CLAIM);
    private static final String WAVE_KEY = "trefoilpost/wave/1";
    private static final String SPARE = "spare";
    /** So short that as many machines as allowed are maintained at once. */
    private static final long WITHIN_MILLIS = 6_000;

    private final MemoryStore store = new MemoryStore();
    private final Machines machines = new Machines();
    private final TestService service = new TestService(store, machines, new UnusedFormats());
    private final List<Long> lost = new ArrayList<>();
    private JobContext context;
    private FleetRunner runner;

    @BeforeEach
    void open() {
        context = service.context();
        runner = new FleetRunner(
                context,
                new OwnerCalls(context, new LiveEntries(), null, pool -> Optional.empty(), () -> true),
                lost::add);
        store.put(OWNER_KEY, "entry-1");
        JobConfiguration configuration = new JobConfiguration(1, Map.of(), Set.of(), Set.of(SPARE), 1, Teams.NONE);
        service.run(() -> runner.open(store.revisionOf(OWNER_KEY), configuration));
    }

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void waveIsCarriedOutThoughTheAnswerToItsFirstChangeIsLost() throws InterruptedException {
        store.loseNextAnswer();
        request(1, "m1", "m2");
        tickUntil(() -> store.text(WAVE_KEY).endsWith("true"));
        assertEquals(List.of("m1", "m2"), machines.maintained);
        assertTrue(runner.token() != 0, "the owner keeps the machines");
    }

    @Test
    void waveIsCarriedOutThoughItsProgressChangedAfterAnUnansweredChange() throws InterruptedException {
        machines.secondState = MachinePort.State.MOVING;
        store.loseNextAnswerTo("m1");
        request(2, "m1", "m2");
        tickUntil(() -> store.text(WAVE_KEY).contains("m1"));
        store.refuseCalls(true);
        machines.secondState = MachinePort.State.UP;
        int calls = machines.listCalls;
        tickUntil(() -> machines.listCalls >= calls + 2);
        store.refuseCalls(false);
        tickUntil(() -> store.text(WAVE_KEY).endsWith("true"));
        assertEquals(List.of("m1", "m2"), machines.maintained);
        assertTrue(runner.token() != 0, "the owner keeps the machines");
    }

    @Test
    void ownerStopsWhenAnotherEntryHasClaimedTheMachines() throws InterruptedException {
        request(1, "m1");
        store.put(OWNER_KEY, "entry-2");
        long token = runner.token();
        tickUntil(() -> runner.token() == 0);
        assertEquals(List.of(token), lost);
        assertEquals(0, runner.token());
        assertEquals(List.of(), machines.maintained);
    }

    @Test
    void ownerWhoseClaimHasLapsedKeepsItsStateAndOrdersNothing() throws InterruptedException {
        request(1, "m1");
        store.remove(OWNER_KEY);
        tickUntil(runner::isLapsed);
        assertTrue(runner.isLapsed());
        assertEquals(List.of(), machines.maintained);
        store.put(OWNER_KEY, "entry-1");
        service.run(() -> runner.claimRenewed(store.revisionOf(OWNER_KEY), context.now()));
        tickUntil(() -> !machines.maintained.isEmpty());
        assertEquals(List.of("m1"), machines.maintained);
    }

    /** Guards against an owner that gives no orders as long as it owns the machines, since one stored wave is unreadable. */
    @Test
    void waveIsCarriedOutBesideProgressThatCannotBeRead() throws InterruptedException {
        runner.close();
        store.put("trefoilpost/wave/first", "m1\nm2\nfalse");
        store.put("trefoilpost/wave/99999999999999999999", "");
        store.put("trefoilpost/wave/2", "m1\nm2\nsoon\nfalse");
        store.put("trefoilpost/wave/3", "");
        JobConfiguration configuration = new JobConfiguration(1, Map.of(), Set.of(), Set.of(SPARE), 1, Teams.NONE);
        service.run(() -> runner.open(store.revisionOf(OWNER_KEY), configuration));
        request(1, "m1", "m2");
        tickUntil(() -> store.text(WAVE_KEY).endsWith("true"));
        assertEquals(List.of("m1", "m2"), machines.maintained);
    }

    private void request(int atOnce, String... names) {
        service.run(() -> runner.addWave(new UpkeepWave(1, List.of(names), WITHIN_MILLIS, atOnce)));
    }

    /** Ticks until a condition holds, for at most ten seconds. */
    private void tickUntil(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < 500 && !condition.getAsBoolean(); i++) {
            service.run(() -> runner.tick(context.now()));
            Thread.sleep(20);
        }
    }

    /** A machine service with two machines in the spare pool that are maintained in an instant. */
    private static final class Machines implements MachinePort {
        private final List<String> maintained = new ArrayList<>();
        private volatile State secondState = State.UP;
        private volatile int listCalls;

        @Override
        public CompletableFuture<List<Machine>> list() {
            List<Machine> listed = new ArrayList<>();
            listCalls++;
            listed.add(new Machine("m1", SPARE, State.UP, "", 1_000));
            listed.add(new Machine("m2", SPARE, secondState, "", 1_000));
            return CompletableFuture.completedFuture(listed);
        }

        @Override
        public CompletableFuture<Outcome> move(String machine, String pool, Authority authority) {
            throw new IllegalStateException("no move is needed here");
        }

        @Override
        public CompletableFuture<Outcome> beginUpkeep(String machine, long wave, Authority authority) {
            maintained.add(machine);
            return CompletableFuture.completedFuture(Outcome.DONE);
        }
    }

    /** Formats of which only those of a wave's status are used. */
}
