package org.trefoilpost.decision.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Resources;
import org.trefoilpost.model.worker.Worker;

class ConnectionLimitPolicyTest {
    private static final DataCentreName OWN_DATA_CENTRE = DataCentreName.of("dc-1");
    private static final int SLOTS = 100;
    private static final int MAX_CONNECTIONS = 7;

    @Test
    void limitsTheAttemptsAtAWorkerToTheConnections() {
        SelectionPolicy policy = ConnectionLimitPolicy.of(new TwoChoicesPolicy(), () -> MAX_CONNECTIONS);
        PoolRouter router = PoolRouter.of(RouterSettings.defaults(), policy, new Random(1));
        Worker worker = Worker.builder(WorkerId.of("w-1"))
                .rack(RackName.of("r-1"))
                .dataCentre(OWN_DATA_CENTRE)
                .region(RegionName.of("region"))
                .endpoint(Endpoint.of("127.0.0.1", 1))
                .resources(Resources.of(1, 1, 0, SLOTS))
                .maxConnections(64)
                .build();
        router.replaceWorkers(List.of(worker), 0);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            Optional<WorkerChoice> choice = router.choose(RouteRequest.of(OWN_DATA_CENTRE), 0);
            assertTrue(choice.isPresent());
            router.attemptStarted(choice.get());
        }
        assertEquals(Optional.empty(), router.choose(RouteRequest.of(OWN_DATA_CENTRE), 0));
    }

    @Test
    void returnsTheLowerOfTheTwoLimits() {
        assertEquals(
                1,
                ConnectionLimitPolicy.of(new TwoChoicesPolicy(), () -> MAX_CONNECTIONS)
                        .freeSlots(8, 2, 5));
        assertEquals(
                5,
                ConnectionLimitPolicy.of(new TwoChoicesPolicy(), () -> MAX_CONNECTIONS)
                        .freeSlots(8, 2, 0));
    }
}
