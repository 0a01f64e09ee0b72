package org.trefoilpost.bench.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.trefoilpost.decision.routing.AttemptOutcome;
import org.trefoilpost.decision.routing.PoolRouter;
import org.trefoilpost.decision.routing.RouteRequest;
import org.trefoilpost.decision.routing.RouterSettings;
import org.trefoilpost.decision.routing.TwoChoicesPolicy;
import org.trefoilpost.decision.routing.WorkerChoice;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Resources;
import org.trefoilpost.model.worker.Worker;

/**
 * Measures the time of a choice, and of a choice with its start and end, in pools of different sizes, in turns within one run.
 */
final class ChoiceCost {
    private static final int ROUNDS = 15;
    private static final int CHOICES = 200_000;
    private static final int IN_FLIGHT = 20;
    private static final int DATA_CENTRES = 4;

    private ChoiceCost() {}

    /** Returns the least nanoseconds of all rounds for each size. */
    static double[] nanos(boolean startAndEnd, int... sizes) {
        double[] best = new double[sizes.length];
        List<PoolRouter> routers = new ArrayList<>();
        for (int size : sizes) {
            PoolRouter router =
                    PoolRouter.of(RouterSettings.defaults(), new TwoChoicesPolicy(), new SplittableRandom(size));
            router.replaceWorkers(workers(size), 0);
            routers.add(router);
        }
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < sizes.length; i++) {
                double nanos = startAndEnd ? attempts(routers.get(i)) : choices(routers.get(i));
                best[i] = best[i] == 0 ? nanos : Math.min(best[i], nanos);
            }
        }
        return best;
    }

    private static double choices(PoolRouter router) {
        RouteRequest request = RouteRequest.of(DataCentreName.of("dc0"));
        long start = System.nanoTime();
        int found = 0;
        for (int i = 0; i < CHOICES; i++) {
            found += router.choose(request, i).isPresent() ? 1 : 0;
        }
        long nanos = System.nanoTime() - start;
        if (found != CHOICES) {
            throw new IllegalStateException("a choice was empty");
        }
        return (double) nanos / CHOICES;
    }

    private static double attempts(PoolRouter router) {
        RouteRequest request = RouteRequest.of(DataCentreName.of("dc0"));
        WorkerChoice[] inFlight = new WorkerChoice[IN_FLIGHT];
        long start = System.nanoTime();
        for (int i = 0; i < CHOICES; i++) {
            int slot = i % IN_FLIGHT;
            if (inFlight[slot] != null) {
                router.attemptEnded(inFlight[slot], AttemptOutcome.ANSWERED, 1, i);
            }
            inFlight[slot] = router.choose(request, i).orElseThrow();
            router.attemptStarted(inFlight[slot]);
        }
        long nanos = System.nanoTime() - start;
        for (WorkerChoice choice : inFlight) {
            router.attemptEnded(choice, AttemptOutcome.ANSWERED, 1, CHOICES);
        }
        return (double) nanos / CHOICES;
    }

    private static List<Worker> workers(int size) {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            workers.add(Worker.builder(WorkerId.of("w" + i))
                    .rack(RackName.of("r" + i / 4))
                    .dataCentre(DataCentreName.of("dc" + i / 4 % DATA_CENTRES))
                    .region(RegionName.of("region"))
                    .endpoint(Endpoint.of("127.0.0.1", 1))
                    .resources(Resources.of(1, 1, 0, 8))
                    .maxConnections(64)
                    .build());
        }
        return workers;
    }
}
