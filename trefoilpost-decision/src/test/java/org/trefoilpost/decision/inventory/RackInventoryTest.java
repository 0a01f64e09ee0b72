package org.trefoilpost.decision.inventory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.Fleets;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.worker.WorkerState;

class RackInventoryTest {
    private static final PoolName A = PoolName.of("a");
    private static final PoolName B = PoolName.of("b");
    private static final WorkerId WORKER = WorkerId.of("r0-w0");

    @Test
    void keepsTheFirstLenderUntilTheLoanEnds() {
        RackInventory lent = Fleets.racks("a").get(0).withLoan(WORKER, B).withLoan(WORKER, PoolName.of("c"));
        assertEquals(Optional.of(Assignment.lent(PoolName.of("c"), A)), lent.assignment(WORKER));
        assertEquals(Optional.of(Assignment.of(A)), lent.withPool(WORKER, A).assignment(WORKER));
        assertEquals(
                Assignment.of(A), lent.withLoan(WORKER, A).assignment(WORKER).orElseThrow());
    }

    @Test
    void incrementsTheVersionOnlyOnAChange() {
        RackInventory inventory = Fleets.racks("a").get(0);
        assertEquals(
                inventory.version(),
                inventory.withPool(WORKER, A).withWorker(WORKER).version());
        assertEquals(inventory.version() + 1, inventory.withPool(WORKER, B).version());
    }

    @Test
    void decodesWhatItEncodes() {
        RackInventory inventory = Fleets.racks("a - b").get(0).withLoan(WORKER, B);
        assertEquals(inventory, RackInventoryCodec.decode(RackInventoryCodec.encode(inventory)));
    }

    @Test
    void distinguishesNewerFormatsFromDamagedDocuments() {
        assertEquals(DocumentFault.NEWER_FORMAT, fault("{\"format\":2,\"unknown\":true}"));
        String twice = "{\"format\":1,\"rack\":\"r0\",\"dataCentre\":\"d0\",\"region\":\"x\",\"version\":1,\"workers\":"
                + "[{\"id\":\"w\",\"pool\":\"a\"},{\"id\":\"w\",\"pool\":\"b\"}]}";
        for (String damaged : List.of("", "[]", "{", "{\"format\":1}", "{\"format\":\"1\"}", "{\"format\":0}", twice)) {
            assertEquals(DocumentFault.DAMAGED, fault(damaged), damaged);
        }
    }

    private static DocumentFault fault(String document) {
        byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
        return assertThrows(DocumentException.class, () -> RackInventoryCodec.decode(bytes))
                .fault();
    }

    @Test
    void countsAWorkerAsFailedIfAnySourceSaysSo() {
        assertTrue(WorkerHealth.of(WorkerState.LIVE, true, true).usable());
        assertEquals(false, WorkerHealth.of(WorkerState.LEAVING, true, true).usable());
        assertEquals(false, WorkerHealth.of(WorkerState.LIVE, false, true).usable());
        assertEquals(false, WorkerHealth.of(WorkerState.LIVE, true, false).usable());
    }

    @Test
    void countsAWorkerOfTwoRacksOnceAndAsFailed() {
        RackInventory first = Fleets.racks("a a").get(0);
        RackInventory second = RackInventory.empty(RackName.of("r9"), DataCentreName.of("d0"), RegionName.of("coast"))
                .withWorker(WORKER)
                .withPool(WORKER, B);
        InventoryView view = InventoryView.of(List.of(second, first), Map.of(WORKER, WorkerHealth.HEALTHY));
        assertEquals(Optional.of(A), view.poolOf(WORKER));
        assertEquals(List.of(WORKER), List.copyOf(view.conflictingWorkers()));
        assertEquals(0, view.pool(B).members().size());
        assertEquals(2, view.pool(A).failedCount());
    }

    @Test
    void findsTheLargestCorrelatedLoss() {
        PoolView view = Fleets.view(Fleets.racks("a a a", "a", "a a")).pool(A);
        assertEquals(0, PoolView.largestLoss(FailureDomain.NONE, view.members()));
        assertEquals(1, PoolView.largestLoss(FailureDomain.WORKER, view.members()));
        assertEquals(3, PoolView.largestLoss(FailureDomain.RACK, view.members()));
        assertEquals(5, PoolView.largestLoss(FailureDomain.DATA_CENTRE, view.members()));
    }
}
