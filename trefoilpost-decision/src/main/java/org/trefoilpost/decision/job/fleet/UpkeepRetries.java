package org.trefoilpost.decision.job.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * When upkeep orders that were not carried out are sent again, by machine. The delay doubles with each rejection, as a
 * rejection that lasts would have the machine emptied for nothing.
 */
final class UpkeepRetries {
    private static final long RETRY_MILLIS = 300;
    private static final long MAX_RETRY_MILLIS = 4_800;
    /** The longest delay for which a machine is kept empty. */
    private static final long MAX_KEPT_EMPTY_MILLIS = 1_200;

    private final Map<String, Retry> retries = new HashMap<>();

    /**
     * Handles an order that had no answer, or that was refused for the moment.
     */
    void failed(String machine, long nowMillis) {
        retries.put(machine, new Retry(nowMillis + RETRY_MILLIS, nextDelayMillis(machine)));
    }

    /**
     * Handles an order that is not valid for the machine.
     */
    void rejected(String machine, long nowMillis) {
        long delayMillis = nextDelayMillis(machine);
        retries.put(machine, new Retry(nowMillis + delayMillis, Math.min(MAX_RETRY_MILLIS, 2 * delayMillis)));
    }

    void succeeded(String machine) {
        retries.remove(machine);
    }

    boolean isDue(String machine, long nowMillis) {
        Retry retry = retries.get(machine);
        return retry == null || nowMillis >= retry.atMillis();
    }

    /**
     * Returns whether a machine is not worth emptying yet, as its next order is far off.
     */
    boolean isSetAside(String machine, long nowMillis) {
        return !isDue(machine, nowMillis) && retries.get(machine).nextDelayMillis() > 2 * MAX_KEPT_EMPTY_MILLIS;
    }

    private long nextDelayMillis(String machine) {
        Retry retry = retries.get(machine);
        return retry == null ? RETRY_MILLIS : retry.nextDelayMillis();
    }

    /**
     * A delay before an order is sent again, and the delay after the next rejection.
     */
    private record Retry(long atMillis, long nextDelayMillis) {}
}
