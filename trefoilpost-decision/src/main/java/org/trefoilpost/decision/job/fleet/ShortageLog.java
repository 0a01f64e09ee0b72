package org.trefoilpost.decision.job.fleet;

import java.util.HashMap;
import java.util.Map;
import org.trefoilpost.decision.job.Decision;

/**
 * Logs that a pool is short of machines while no other pool can give one up, at most once per interval and pool.
 */
final class ShortageLog {
    private static final long INTERVAL_MILLIS = 500;

    private final FleetActions actions;
    private final Map<String, Long> loggedMillis = new HashMap<>();

    ShortageLog(FleetActions actions) {
        this.actions = actions;
    }

    /**
     * Logs a shortage, unless one of the same pool was logged within the interval.
     *
     * @param needs  the number of machines that each pool is expected to need
     * @param balance  the number of machines that each pool has beyond that, arriving ones included
     * @param peakBalance  the number that each pool has beyond the recent peak of its need
     */
    void log(
            String pool,
            Map<String, Double> needs,
            Map<String, Double> balance,
            Map<String, Double> peakBalance,
            long nowMillis) {
        if (nowMillis - loggedMillis.getOrDefault(pool, Long.MIN_VALUE / 2) < INTERVAL_MILLIS) {
            return;
        }
        loggedMillis.put(pool, nowMillis);
        actions.logDecision(Decision.of("machines-short")
                .with("pool", pool)
                .with("needed", needs.getOrDefault(pool, 0.0))
                .with("balances", String.valueOf(balance))
                .with("peakBalances", String.valueOf(peakBalance)));
    }
}
