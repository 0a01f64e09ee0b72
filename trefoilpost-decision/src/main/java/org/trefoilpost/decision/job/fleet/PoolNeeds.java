package org.trefoilpost.decision.job.fleet;

import java.util.HashMap;
import java.util.Map;
import org.trefoilpost.decision.job.PoolDemand;

/**
 * The number of machines that each pool is expected to need, and the recent peak of that number.
 */
final class PoolNeeds {
    /** Minimum decay of the recent peak of a pool's need; a larger peak decays by its own value per second. */
    private static final double MIN_PEAK_DECAY_MACHINES_PER_SECOND = 12.0;

    private final FleetView view;
    private final Map<String, Double> expectedNeeds = new HashMap<>();
    private final Map<String, DemandForecast> forecasts = new HashMap<>();
    private final Map<String, Double> recentPeaks = new HashMap<>();
    private long observedMillis;

    PoolNeeds(FleetView view) {
        this.view = view;
    }

    /**
     * Updates the expected need of each pool and its recent peak.
     */
    void update(long nowMillis) {
        double seconds = Math.min(1, (nowMillis - observedMillis) / 1_000.0);
        observedMillis = nowMillis;
        for (String pool : view.runningPools()) {
            view.demand(pool, nowMillis).ifPresent(demand -> {
                double need = forecast(pool, demand);
                expectedNeeds.put(pool, need);
                recentPeaks.merge(
                        pool,
                        need,
                        (peak, current) ->
                                Math.max(current, peak - seconds * Math.max(MIN_PEAK_DECAY_MACHINES_PER_SECOND, peak)));
            });
        }
    }

    /**
     * Returns the need that a pool is expected to have when a machine that is moved now would arrive.
     */
    private double forecast(String pool, PoolDemand demand) {
        DemandForecast forecast = forecasts.computeIfAbsent(pool, name -> new DemandForecast());
        forecast.add(demand);
        return forecast.expectedMachines();
    }

    /**
     * Returns the expected need of each pool that has reported its demand.
     */
    Map<String, Double> expected() {
        return Map.copyOf(expectedNeeds);
    }

    /**
     * Returns the expected need of a pool, 0 if it is not known.
     */
    double expected(String pool) {
        return expectedNeeds.getOrDefault(pool, 0.0);
    }

    /**
     * Returns the recent peak of the expected need of a pool, 0 if it is not known.
     */
    double recentPeak(String pool) {
        return recentPeaks.getOrDefault(pool, 0.0);
    }
}
