package org.trefoilpost.decision.job.advice;

import java.util.ArrayList;
import java.util.List;

/**
 * The requests that were sent to a service which handles them one after the other, and finishes those that were given up. Tells
 * when to send the next one, so that the service has one to go on with while few wait. Not thread-safe.
 *
 * @param <T>  the type of the requests, which are told apart by identity
 */
public final class RequestQueue<T> {
    /**
     * Time before the service is expected to be idle at which the next request is sent, in milliseconds. It covers the way of an
     * answer, a round of placements and the way of the request.
     */
    public static final long LEAD_MILLIS = 200;

    /** The maximum number of requests that are awaited, well below the number at which the service refuses them. */
    private static final int MAX_AWAITED = 16;

    /** The maximum number of requests that are awaited while the first one takes longer than expected. */
    private static final int MAX_AWAITED_WHILE_LATE = 2;

    private final List<Entry<T>> entries = new ArrayList<>();
    private long busyUntilMillis = Long.MIN_VALUE / 2;
    /** Since when the service has handled the first request. */
    private long firstSinceMillis;

    /**
     * Returns whether the next request is to be sent now.
     *
     * @param nowMillis  the present time on the steady clock, in milliseconds
     * @return true if nothing is awaited, or the service is soon to be idle
     */
    public boolean mayAdd(long nowMillis) {
        int awaited = awaited();
        if (isLate(nowMillis)) {
            return awaited < MAX_AWAITED_WHILE_LATE;
        }
        return awaited == 0 || awaited < MAX_AWAITED && waitMillis(nowMillis) < LEAD_MILLIS;
    }

    /**
     * Returns whether the service takes longer for the first request than it takes by itself, so that it is not known when the
     * others will be handled.
     */
    private boolean isLate(long nowMillis) {
        return !entries.isEmpty() && nowMillis > firstSinceMillis + entries.get(0).durationMillis + LEAD_MILLIS;
    }

    /**
     * Returns how long the service is expected to be busy with the requests that it has, those that were given up included.
     *
     * @param nowMillis  the present time on the steady clock, in milliseconds
     * @return the time in milliseconds, not negative
     */
    public long waitMillis(long nowMillis) {
        return Math.max(0, busyUntilMillis - nowMillis);
    }

    /**
     * Adds a request that is sent now.
     *
     * @param request  the request, not null
     * @param durationMillis  how long the service takes for it by itself, in milliseconds
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void add(T request, long durationMillis, long nowMillis) {
        if (nowMillis > busyUntilMillis) {
            entries.removeIf(entry -> entry.givenUp);
        }
        if (entries.isEmpty()) {
            firstSinceMillis = nowMillis;
        }
        entries.add(new Entry<>(request, durationMillis));
        busyUntilMillis = Math.max(busyUntilMillis, nowMillis) + durationMillis;
    }

    /**
     * Records that a request was answered, so that the service has also done with those given up that were sent before it.
     *
     * @param request  the request, not null; has no effect if it is not known
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void answered(T request, long nowMillis) {
        int index = indexOf(request);
        if (index >= 0) {
            entries.subList(0, index).removeIf(entry -> entry.givenUp);
            remove(request);
            firstSinceMillis = nowMillis;
            busyUntilMillis = nowMillis
                    + entries.stream().mapToLong(Entry::durationMillis).sum();
        }
    }

    /**
     * Records that a request is not awaited any more, though the service may still handle it.
     *
     * @param request  the request, not null; has no effect if it is not known
     */
    public void givenUp(T request) {
        int index = indexOf(request);
        if (index >= 0) {
            entries.set(index, entries.get(index).withGivenUp());
        }
    }

    /**
     * Records that a request was not accepted by the service.
     *
     * @param request  the request, not null; has no effect if it is not known
     */
    public void rejected(T request) {
        int index = indexOf(request);
        if (index >= 0) {
            busyUntilMillis -= entries.remove(index).durationMillis;
        }
    }

    private int awaited() {
        return (int) entries.stream().filter(entry -> !entry.givenUp).count();
    }

    private void remove(T request) {
        entries.remove(indexOf(request));
    }

    private int indexOf(T request) {
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).request == request) {
                return i;
            }
        }
        return -1;
    }

    /**
     * A request that the service may still have.
     */
    private record Entry<T>(T request, long durationMillis, boolean givenUp) {
        private Entry(T request, long durationMillis) {
            this(request, durationMillis, false);
        }

        private Entry<T> withGivenUp() {
            return new Entry<>(request, durationMillis, true);
        }
    }
}
