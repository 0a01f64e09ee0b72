package org.trefoilpost.decision.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.Fleets;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.DocumentFault;
import org.trefoilpost.decision.inventory.PoolView;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;

class BudgetLedgerTest {
    private static final PoolName A = PoolName.of("a");
    private static final PlanDigest PLAN = PlanDigest.of("plan");
    private static final AvailabilityBudget BUDGET = AvailabilityBudget.of(3, FailureDomain.RACK);

    private static PlannedStop stop(String worker, int step, long epoch) {
        return PlannedStop.of(WorkerId.of(worker), PLAN, step, epoch, 0);
    }

    @Test
    void admitsWhileTheFloorAndTheReserveRemain() {
        PoolView view = Fleets.view(Fleets.racks("a a", "a a", "a a")).pool(A);
        LedgerDecision first = BudgetLedger.empty(A).tryAdmit(stop("r0-w0", 1, 1), view, BUDGET, 9);
        assertEquals(0, first.figures().headroom());
        assertEquals(9, first.ledger().orElseThrow().stops().iterator().next().admittedMillis());
        LedgerDecision second = first.ledger().orElseThrow().tryAdmit(stop("r1-w0", 2, 1), view, BUDGET, 9);
        assertEquals(Optional.of(LedgerRefusal.BUDGET), second.refusal());
        assertEquals(
                "6 members - 0 failed - 2 planned - 2 reserve - 3 floor = -1",
                second.figures().toString());
    }

    @Test
    void countsAFailedWorkerOnceAndRefusesBelowTheBudget() {
        PoolView view =
                Fleets.view(Fleets.racks("a a", "a a", "a a"), "r0-w0", "r0-w1").pool(A);
        LedgerDecision decision = BudgetLedger.empty(A).tryAdmit(stop("r0-w0", 1, 1), view, BUDGET, 9);
        assertEquals(0, decision.figures().plannedStops());
        assertEquals(Optional.of(LedgerRefusal.BUDGET), decision.refusal());
    }

    @Test
    void refusesAViewOlderThanADeparture() {
        List<RackInventory> before = Fleets.racks("a a", "a a", "a a", "a");
        PoolView stale = Fleets.view(before).pool(A);
        RackInventory moved = before.get(3).withPool(WorkerId.of("r3-w0"), PoolName.of("b"));
        PlannedStop move = stop("r3-w0", 1, 1);
        BudgetLedger ledger = BudgetLedger.empty(A)
                .tryAdmit(move, stale, BUDGET, 0)
                .ledger()
                .orElseThrow()
                .withDeparture(move, RackName.of("r3"), moved.version());
        assertEquals(0, ledger.stops().size());
        assertEquals(
                Optional.of(LedgerRefusal.STALE_VIEW),
                ledger.tryAdmit(stop("r0-w0", 2, 1), stale, BUDGET, 0).refusal());
        PoolView fresh = Fleets.view(List.of(before.get(0), before.get(1), before.get(2), moved))
                .pool(A);
        assertTrue(ledger.tryAdmit(stop("r0-w0", 2, 1), fresh, BUDGET, 0).admitted());
        assertEquals(
                Optional.of(LedgerRefusal.NOT_A_MEMBER),
                ledger.tryAdmit(stop("r3-w0", 2, 1), fresh, BUDGET, 0).refusal());
    }

    @Test
    void refusesEarlierAttemptsAndOtherSteps() {
        PoolView view = Fleets.view(Fleets.racks("a a", "a a", "a a")).pool(A);
        BudgetLedger ledger = BudgetLedger.empty(A)
                .tryAdmit(stop("r0-w0", 1, 2), view, BUDGET, 0)
                .ledger()
                .orElseThrow();
        assertSame(
                ledger,
                ledger.tryAdmit(stop("r0-w0", 1, 2), view, BUDGET, 5).ledger().orElseThrow());
        assertEquals(
                Optional.of(LedgerRefusal.OLD_EPOCH),
                ledger.tryAdmit(stop("r0-w0", 1, 1), view, BUDGET, 5).refusal());
        assertEquals(
                Optional.of(LedgerRefusal.HELD_BY_ANOTHER_PLAN),
                ledger.tryAdmit(stop("r0-w0", 7, 9), view, BUDGET, 5).refusal());
        assertEquals(1, ledger.withoutStop(stop("r0-w0", 1, 1)).stops().size(), "a late release of attempt 1");
        assertEquals(0, ledger.withoutStop(stop("r0-w0", 1, 2)).stops().size());
        assertEquals(
                ledger.version() + 1, ledger.withoutStop(stop("r1-w0", 3, 1)).version());
    }

    @Test
    void decodesWhatItEncodedAndRefusesNewerFormats() {
        PoolView view = Fleets.view(Fleets.racks("a a", "a a", "a a")).pool(A);
        BudgetLedger ledger = BudgetLedger.empty(A)
                .tryAdmit(stop("r0-w0", 1, 2), view, BUDGET, 7)
                .ledger()
                .orElseThrow()
                .withDeparture(stop("r1-w0", 2, 1), RackName.of("r1"), 4);
        assertEquals(ledger, BudgetLedgerCodec.decode(BudgetLedgerCodec.encode(ledger)));
        byte[] newer = "{\"format\":9}".getBytes(StandardCharsets.UTF_8);
        DocumentException e = assertThrows(DocumentException.class, () -> BudgetLedgerCodec.decode(newer));
        assertEquals(DocumentFault.NEWER_FORMAT, e.fault());
    }

    @Property(tries = 300, seed = "31")
    void neverAdmitsBelowTheBudget(
            @ForAll @Size(min = 1, max = 12) List<@IntRange(min = 0, max = 8) Integer> workers,
            @ForAll FailureDomain reserve,
            @ForAll @IntRange(min = 0, max = 9) int floor) {
        PoolView view =
                Fleets.view(Fleets.racks("a a a", "a a a", "a a a"), "r2-w2").pool(A);
        AvailabilityBudget budget = AvailabilityBudget.of(floor, reserve);
        BudgetLedger ledger = BudgetLedger.empty(A);
        for (int worker : workers) {
            PlannedStop stop = stop("r" + worker / 3 + "-w" + worker % 3, worker, 1);
            LedgerDecision decision = ledger.tryAdmit(stop, view, budget, 0);
            assertEquals(decision.figures().holds(), decision.admitted());
            ledger = decision.ledger().orElse(ledger);
        }
        assertTrue(ledger.stops().isEmpty() || ledger.figures(view, budget).holds());
    }
}
