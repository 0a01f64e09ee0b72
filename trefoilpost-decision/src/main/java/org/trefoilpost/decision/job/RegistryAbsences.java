package org.trefoilpost.decision.job;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tells which workers the registry is certain to have ceased to list: those that it has not listed for a while in which it was
 * followed without a gap. A worker whose entry has lapsed is back within that time if it is alive and reaches the registry.
 */
public final class RegistryAbsences {
    /** Time within which a live worker whose entry has lapsed registers again, in milliseconds. */
    public static final long REGISTRATION_MILLIS = 2_300;

    private final Set<String> listed = new HashSet<>();
    /** When workers ceased to be listed, by worker; those whose absence is confirmed are left out. */
    private final Map<String, Long> absentSinceMillis = new HashMap<>();
    /** From when on no change of the registry is missing. */
    private long followedSinceMillis;
    /** Up to when no change of the registry is missing. */
    private long confirmedMillis = Long.MIN_VALUE / 2;

    /**
     * Constructs the state of an entry that begins to follow the registry.
     *
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public RegistryAbsences(long nowMillis) {
        this.followedSinceMillis = nowMillis;
    }

    /**
     * Applies that the registry lists a worker.
     *
     * @param worker  the identifier of the worker, not null
     */
    public void listed(String worker) {
        listed.add(worker);
        absentSinceMillis.remove(worker);
    }

    /**
     * Applies that the registry has ceased to list a worker.
     *
     * @param worker  the identifier of the worker, not null
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void removed(String worker, long nowMillis) {
        if (listed.remove(worker)) {
            absentSinceMillis.put(worker, nowMillis);
        }
    }

    /**
     * Applies that changes may have been missed, or that workers may have failed to register, up to now.
     *
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void interrupted(long nowMillis) {
        followedSinceMillis = nowMillis;
    }

    /**
     * Applies that all workers that are listed are read again, which {@link #listed} names from now on.
     *
     * @param nowMillis  the present time on the steady clock, in milliseconds
     */
    public void readAgain(long nowMillis) {
        listed.clear();
        absentSinceMillis.clear();
        interrupted(nowMillis);
    }

    /**
     * Applies a confirmation that no change before a moment is missing.
     *
     * @param millis  the moment on the steady clock, in milliseconds
     */
    public void confirmed(long millis) {
        confirmedMillis = Math.max(confirmedMillis, millis);
        absentSinceMillis.values().removeIf(since -> confirmedMillis - since >= REGISTRATION_MILLIS);
    }

    /**
     * Returns whether the registry has not listed a worker for {@link #REGISTRATION_MILLIS} in which it was followed without
     * a gap.
     *
     * @param worker  the identifier of the worker, not null
     * @return false if the worker is listed, or may be without this entry knowing it
     */
    public boolean isAbsent(String worker) {
        long sinceMillis = Math.max(followedSinceMillis, absentSinceMillis.getOrDefault(worker, followedSinceMillis));
        return !listed.contains(worker) && confirmedMillis - sinceMillis >= REGISTRATION_MILLIS;
    }
}
