package org.trefoilpost.decision.job.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

public class MissingMachinesTest {
    private static final long END_MILLIS = 1_000 + MissingMachines.MAX_OUT_OF_SERVICE_MILLIS;

    private final MissingMachines missing = new MissingMachines();

    @Test
    void machineIsMissingAfterThreeListsInARow() {
        missing.notListed("m0");
        missing.notListed("m0");
        assertFalse(missing.isMissing("m0"));
        missing.listed("m0");
        missing.notListed("m0");
        assertFalse(missing.isMissing("m0"));
        missing.notListed("m0");
        missing.notListed("m0");
        assertTrue(missing.isMissing("m0"));
    }

    @Test
    void machineHasGoneWhenAListAfterALongSeriesOfRefusalsLacksIt() {
        miss("m0");
        missing.refused("m0", 1_000);
        missing.refused("m0", END_MILLIS - 1);
        assertFalse(missing.hasGone("m0", END_MILLIS + 100));
        missing.refused("m0", END_MILLIS);
        assertFalse(missing.hasGone("m0", END_MILLIS));
        assertTrue(missing.hasGone("m0", END_MILLIS + 1));
    }

    @Test
    void refusalsOfAListedMachineAreNoEvidence() {
        missing.refused("m0", 1_000);
        miss("m0");
        missing.refused("m0", END_MILLIS);
        assertFalse(missing.hasGone("m0", END_MILLIS + 1));
    }

    @Test
    void machineWithARegisteredWorkerHasNotGone() {
        miss("m0");
        missing.refused("m0", 1_000);
        missing.refused("m0", END_MILLIS);
        missing.setMachinesWithWorkers(Set.of("m0"));
        assertFalse(missing.hasGone("m0", END_MILLIS + 1));
        missing.notListed("m0");
        missing.setMachinesWithWorkers(Set.of());
        assertFalse(missing.hasGone("m0", END_MILLIS + 1));
    }

    private void miss(String machine) {
        for (int i = 0; i < 3; i++) {
            missing.notListed(machine);
        }
    }
}
