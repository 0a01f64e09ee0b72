package org.trefoilpost.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.worker.Worker;
import org.trefoilpost.model.worker.WorkerState;

class LeavingRegisterTest {
    private final Worker worker = Fleet.workers(1, 1).get(0);

    @Property(seed = "11", tries = 500)
    void anyOrderAndRepetitionOfSignalsGivesTheSameRegister(
            @ForAll @Size(min = 1, max = 12) List<Integer> codes, @ForAll long shuffleSeed) {
        List<LeavingRegister> signals = new ArrayList<>();
        codes.forEach(code -> signals.add(signal(code)));
        LeavingRegister inOrder = LeavingRegister.empty();
        for (LeavingRegister signal : signals) {
            inOrder = inOrder.merge(signal);
        }
        Random random = new Random(shuffleSeed);
        List<LeavingRegister> repeated = new ArrayList<>(signals);
        repeated.addAll(signals);
        Collections.shuffle(repeated, random);
        LeavingRegister left = LeavingRegister.empty();
        LeavingRegister right = LeavingRegister.empty();
        for (LeavingRegister signal : repeated) {
            if (random.nextBoolean()) {
                left = left.merge(signal);
            } else {
                right = right.merge(signal);
            }
        }
        assertEquals(inOrder, left.merge(right));
        assertEquals(inOrder, right.merge(left));
    }

    @Property(seed = "12", tries = 500)
    void onlyANewerIncarnationOrUncordonMakesAWorkerAvailableAgain(
            @ForAll @Size(max = 12) List<Integer> codes, @ForAll @Size(max = 12) List<Integer> lateCodes) {
        LeavingRegister register = LeavingRegister.empty();
        for (int code : codes) {
            register = register.merge(signal(code));
        }
        LeavingRegister later = register;
        for (int code : lateCodes) {
            later = later.merge(signal(code));
        }
        for (long incarnation = 0; incarnation < 8; incarnation++) {
            Worker present = Fleet.restarted(worker, incarnation);
            LeavingSignals before = signals(register);
            boolean uncordoned = signals(later).cordonVersion() > before.cordonVersion();
            if (register.leaving(present) && !(uncordoned && before.cordoned())) {
                assertTrue(later.leaving(present), register + " then " + later);
            }
        }
    }

    @Test
    void aReorderedUncordonDoesNotUndoALaterCordon() {
        LeavingRegister register = LeavingRegister.empty()
                .withCordon(worker.id(), 3, true)
                .withCordon(worker.id(), 2, false)
                .withCordon(worker.id(), 3, false);
        assertTrue(register.leaving(worker));
        assertFalse(register.withCordon(worker.id(), 4, false).leaving(worker));
    }

    @Test
    void aStaleListDoesNotOverrideTheWorkersOwnSignal() {
        LeavingRegister register = LeavingRegister.empty().withWorkerSignal(worker.id(), 1);
        assertTrue(register.withListed(worker).leaving(worker));
        assertFalse(register.leaving(Fleet.restarted(worker, 2)));
        assertTrue(register.leaving(Fleet.restarted(worker, 2).withState(WorkerState.GONE)));
    }

    @Test
    void aCordonPersistsAcrossARestart() {
        LeavingRegister register = LeavingRegister.empty().withCordon(worker.id(), 1, true);
        assertTrue(register.leaving(Fleet.restarted(worker, 9)));
    }

    private LeavingSignals signals(LeavingRegister register) {
        return register.signals().getOrDefault(worker.id(), LeavingSignals.NONE);
    }

    private LeavingRegister signal(int code) {
        int number = Math.floorMod(code / 4, 6);
        switch (Math.floorMod(code, 4)) {
            case 0:
                return LeavingRegister.empty().withWorkerSignal(worker.id(), number);
            case 1:
                return LeavingRegister.empty()
                        .withListed(Fleet.restarted(worker, number).withState(WorkerState.LEAVING));
            case 2:
                return LeavingRegister.empty().withCordon(worker.id(), number, true);
            default:
                return LeavingRegister.empty().withCordon(worker.id(), number, false);
        }
    }
}
