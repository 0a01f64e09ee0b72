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
    private static final String REQUEST_KEY = "op/wave/1";
    private static final String STATUS_KEY = "status/wave/1";
    private static final String SPARE = "spare";
    /** So short that as many machines as allowed are maintained at once. */
    private static final long WITHIN_MILLIS = 6_000;

    private final HeldAnswersStore store = new HeldAnswersStore();
    private final Machines machines = new Machines();
    private final TestService service = new TestService(store, machines, new UnusedFormats());
    private final List<Long> lost = new ArrayList<>();
    private volatile Optional<Set<String>> machinesWithWorkers = Optional.of(Set.of());
    private JobContext context;
    private FleetRunner runner;

    @BeforeEach
    void start() {
        context = service.context();
        runner = new FleetRunner(
                context,
                new OwnerCalls(context, new LiveEntries(), null, pool -> Optional.empty(), () -> true),
                () -> machinesWithWorkers,
                lost::add);
        store.put(OWNER_KEY, "entry-1");
        open();
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
        request(new UpkeepWave(1, List.of(names), WITHIN_MILLIS, atOnce));
    }

    private void request(UpkeepWave wave) {
        String key = "op/wave/" + wave.number();
        store.put(key, wave.machines().toString());
        service.run(() -> runner.addWave(wave, store.revisionOf(key)));
    }

    /** Guards against callers who read that a wave is completed though machines that were added to it are not maintained. */
    @Test
    void waveIsNotStoredAsCompletedOnceOperatorsHaveReplacedItsRequest() throws InterruptedException {
        request(1, "m1");
        store.put(REQUEST_KEY, "[m1, m2]");
        tickUntil(() -> !machines.maintained.isEmpty());
        tickLists(2);
        assertEquals("false", store.text(STATUS_KEY));
        assertTrue(store.text(WAVE_KEY).startsWith(";m1;"), store.text(WAVE_KEY));
        assertTrue(runner.token() != 0, "the owner keeps the machines");
        request(1, "m1", "m2");
        tickUntil(() -> store.text(STATUS_KEY).equals("true"));
        assertEquals("true", store.text(STATUS_KEY));
        assertEquals(List.of("m1", "m2"), machines.maintained);
    }

    @Test
    void waveWhoseRequestIsRewrittenWithTheSameContentIsCompleted() throws InterruptedException {
        request(1, "m1");
        request(1, "m1");
        tickUntil(() -> store.text(STATUS_KEY).equals("true"));
        assertEquals("true", store.text(STATUS_KEY));
    }

    @Test
    void waveIsNotStoredAsCompletedOnceItsRequestIsRemoved() throws InterruptedException {
        request(1, "m1");
        store.remove(REQUEST_KEY);
        tickUntil(() -> !machines.maintained.isEmpty());
        tickLists(2);
        assertEquals("false", store.text(STATUS_KEY));
        assertTrue(runner.token() != 0, "the owner keeps the machines");
    }

    /** Guards against orders for a wave that operators have removed. */
    @Test
    void withdrawnWaveIsNotCarriedOutUntilItIsRequestedAgain() throws InterruptedException {
        store.holdAnswers(true);
        request(1, "m1");
        tickUntil(() -> store.text(WAVE_KEY).contains("m1"));
        store.remove(REQUEST_KEY);
        service.run(() -> runner.withdrawWave(1));
        releaseAnswers();
        tickLists(2);
        assertEquals(List.of(), machines.maintained);
        request(1, "m1");
        tickUntil(() -> store.text(STATUS_KEY).equals("true"));
        assertEquals(List.of("m1"), machines.maintained);
        assertEquals("true", store.text(STATUS_KEY));
    }

    private void tickLists(int count) throws InterruptedException {
        int calls = machines.listCalls;
        tickUntil(() -> machines.listCalls >= calls + count);
    }

    /** Guards against a wave that keeps the machines and the limit with which it was first requested. */
    @Test
    void machinesThatAreAddedToACompletedWaveAreMaintained() throws InterruptedException {
        request(1, "m1");
        tickUntil(() -> store.text(STATUS_KEY).equals("true"));
        request(1, "m1", "m2");
        tickUntil(
                () -> machines.maintained.size() >= 2 && store.text(STATUS_KEY).equals("true"));
        assertEquals(List.of("m1", "m2"), machines.maintained);
        assertEquals("true", store.text(STATUS_KEY));
    }

    /** Guards against orders for a wave whose stored progress is on a later page, as if it had not begun. */
    @Test
    void progressOnLaterPagesIsReadBeforeOrdersAreGiven() throws InterruptedException {
        runner.close();
        store.pageSize(2);
        store.put("trefoilpost/wave/2", ";;0;false");
        store.put("trefoilpost/wave/3", ";;0;false");
        store.put("trefoilpost/wave/4", ";;0;false");
        store.put("trefoilpost/wave/5", "m1;;0;true");
        open();
        request(new UpkeepWave(5, List.of("m1"), WITHIN_MILLIS, 1));
        int calls = machines.listCalls;
        tickUntil(() -> machines.listCalls >= calls + 2);
        assertEquals(List.of(), machines.maintained);
    }

    @Test
    void lateFormerOwnerStoresNeitherProgressNorStatus() throws InterruptedException {
        store.put(OWNER_KEY, "entry-2");
        store.put(WAVE_KEY, ";m1;0;false");
        store.put(STATUS_KEY, "of entry-2");
        request(1, "m1");
        tickUntil(() -> runner.token() == 0);
        assertEquals(";m1;0;false", store.text(WAVE_KEY));
        assertEquals("of entry-2", store.text(STATUS_KEY));
        assertEquals(List.of(), machines.maintained);
    }

    @Test
    void pausedFormerOwnerStoresNothingAfterAnAnswerToItsOrder() throws InterruptedException {
        CompletableFuture<MachinePort.Outcome> answer = new CompletableFuture<>();
        machines.upkeepAnswer = answer;
        request(1, "m1");
        tickUntil(() -> !machines.maintained.isEmpty());
        store.put(OWNER_KEY, "entry-2");
        store.put(STATUS_KEY, "of entry-2");
        String progress = store.text(WAVE_KEY);
        service.run(() -> answer.complete(MachinePort.Outcome.DONE));
        tickUntil(() -> runner.token() == 0);
        assertEquals(progress, store.text(WAVE_KEY));
        assertEquals("of entry-2", store.text(STATUS_KEY));
    }

    @Test
    void listOfAnEarlierOwnershipIsNotCounted() throws InterruptedException {
        CompletableFuture<List<MachinePort.Machine>> answer = new CompletableFuture<>();
        machines.listAnswer = answer;
        request(1, "m1");
        int calls = machines.listCalls;
        tickUntil(() -> machines.listCalls > calls);
        service.run(runner::close);
        machines.listAnswer = new CompletableFuture<>();
        open();
        service.run(() -> answer.complete(List.of()));
        tickUntil(() -> machines.listCalls > calls + 1);
        assertEquals("", store.text(WAVE_KEY).split(";", -1)[0]);
        assertTrue(!store.text(STATUS_KEY).equals("true"));
    }

    @Test
    void answerToAnOrderOfAnEarlierOwnershipIsNotCounted() throws InterruptedException {
        CompletableFuture<MachinePort.Outcome> answer = new CompletableFuture<>();
        machines.upkeepAnswer = answer;
        request(1, "m1");
        tickUntil(() -> !machines.maintained.isEmpty());
        service.run(runner::close);
        machines.upkeepAnswer = new CompletableFuture<>();
        open();
        service.run(() -> answer.complete(MachinePort.Outcome.DONE));
        tickUntil(() -> machines.maintained.size() >= 2);
        assertEquals(List.of("m1", "m1"), machines.maintained, "the order is sent again");
        assertTrue(store.text(WAVE_KEY).startsWith(";m1;"), store.text(WAVE_KEY));
        assertEquals("false", store.text(STATUS_KEY));
    }

    /** Guards against a wave that stays completed since it was changed just before another entry took the machines over. */
    @Test
    void waveThatChangedBeforeATakeOverIsOpenAgain() throws InterruptedException {
        service.run(runner::close);
        store.put(WAVE_KEY, "m1;;0;true");
        store.put(STATUS_KEY, "true");
        CompletableFuture<MachinePort.Outcome> answer = new CompletableFuture<>();
        machines.upkeepAnswer = answer;
        request(1, "m1", "m2");
        open();
        tickUntil(() -> !machines.maintained.isEmpty());
        assertEquals(List.of("m2"), machines.maintained);
        assertEquals("false", store.text(STATUS_KEY));
        service.run(() -> answer.complete(MachinePort.Outcome.DONE));
        tickUntil(() -> store.text(STATUS_KEY).equals("true"));
        assertEquals("true", store.text(STATUS_KEY));
    }

    /** Guards against machines that are given up as the answer to a change arrives before that to the claim's renewal. */
    @Test
    void changeThatIsRefusedBeforeTheRenewalIsAnsweredIsStoredUnderTheRenewedClaim() throws InterruptedException {
        store.put(OWNER_KEY, "entry-1");
        store.holdAnswers(true);
        request(1, "m1");
        tickUntil(() -> store.heldAnswers() > 0);
        service.run(runner::claimLapsed);
        releaseAnswers();
        service.run(() -> runner.claimRenewed(store.revisionOf(OWNER_KEY), context.now()));
        tickUntil(() -> store.text(STATUS_KEY).equals("true"));
        assertEquals(List.of(), lost);
        assertEquals(List.of("m1"), machines.maintained);
    }

    /** Guards against a claim that is taken for lapsed as a change from before its renewal is answered after it. */
    @Test
    void changeThatIsRefusedBeforeTheRenewalAndAnsweredAfterItIsStoredUnderTheRenewedClaim()
            throws InterruptedException {
        store.remove(OWNER_KEY);
        store.holdAnswers(true);
        request(1, "m1");
        tickUntil(() -> store.heldAnswers() > 0);
        renewClaim();
        releaseAnswers();
        assertTrue(!runner.isLapsed(), "the renewed claim stands");
        tickUntil(() -> store.text(STATUS_KEY).equals("true"));
        assertEquals(List.of("m1"), machines.maintained);
    }

    private void renewClaim() {
        store.put(OWNER_KEY, "entry-1");
        service.run(() -> {
            runner.claimLapsed();
            runner.claimRenewed(store.revisionOf(OWNER_KEY), context.now());
        });
    }

    private void releaseAnswers() {
        store.holdAnswers(false);
        service.run(store::releaseAnswers);
    }

    private void open() {
        JobConfiguration configuration = new JobConfiguration(1, Map.of(), Set.of(), Set.of(SPARE), 1, Teams.NONE);
        service.run(() -> runner.open(store.revisionOf(OWNER_KEY), configuration));
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
        /** The answer to lists, null for the machines. */
        private volatile CompletableFuture<List<Machine>> listAnswer;
        /** The answer to orders of upkeep. */
        private volatile CompletableFuture<Outcome> upkeepAnswer = CompletableFuture.completedFuture(Outcome.DONE);

        @Override
        public CompletableFuture<List<Machine>> list() {
            List<Machine> listed = new ArrayList<>();
            listCalls++;
            if (listAnswer != null) {
                return listAnswer;
            }
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
            return upkeepAnswer;
        }
    }
}
