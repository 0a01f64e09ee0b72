package org.trefoilpost.decision.inventory;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.FailureDomain;

/**
 * The members of a pool as the inventory and the workers' health show them.
 */
public final class PoolView {
    private final PoolName pool;
    private final SortedMap<WorkerId, PoolMember> members;
    private final Map<RackName, Long> rackVersions;
    private final int usableCount;

    private PoolView(PoolName pool, SortedMap<WorkerId, PoolMember> members, Map<RackName, Long> rackVersions) {
        this.pool = pool;
        this.members = Collections.unmodifiableSortedMap(members);
        this.rackVersions = Collections.unmodifiableMap(rackVersions);
        this.usableCount =
                (int) members.values().stream().filter(PoolMember::usable).count();
    }

    /**
     * Obtains the view of a pool.
     *
     * @param pool  the pool, not null
     * @param members  the members, not null
     * @param rackVersions  the version of each rack's inventory that the view was derived from, not null; shared by the
     *        views of one inventory and not to be modified
     * @return the view, not null
     */
    public static PoolView of(PoolName pool, Collection<PoolMember> members, Map<RackName, Long> rackVersions) {
        Objects.requireNonNull(pool, "pool");
        SortedMap<WorkerId, PoolMember> sorted = new TreeMap<>();
        members.forEach(member -> sorted.put(member.worker(), member));
        return new PoolView(pool, sorted, rackVersions);
    }

    /**
     * Returns the pool.
     *
     * @return the pool, not null
     */
    public PoolName pool() {
        return pool;
    }

    /**
     * Returns the members, sorted by name.
     *
     * @return the members, unmodifiable, not null
     */
    public Collection<PoolMember> members() {
        return members.values();
    }

    /**
     * Returns a member.
     *
     * @param worker  the worker, not null
     * @return the member, not null, empty if the worker isn't in the pool
     */
    public Optional<PoolMember> member(WorkerId worker) {
        return Optional.ofNullable(members.get(worker));
    }

    /**
     * Returns how many members can take work.
     *
     * @return the count, not negative
     */
    public int usableCount() {
        return usableCount;
    }

    /**
     * Returns how many members can't take work.
     *
     * @return the count, not negative
     */
    public int failedCount() {
        return members.size() - usableCount;
    }

    /**
     * Returns the version of a rack's inventory that this view was derived from.
     *
     * @param rack  the rack, not null
     * @return the version, -1 if the rack isn't known
     */
    public long rackVersion(RackName rack) {
        return rackVersions.getOrDefault(rack, -1L);
    }

    /**
     * Returns the usable members that remain without some workers.
     *
     * @param excluded  the workers to leave out, not null
     * @return the members that remain, not null
     */
    public List<PoolMember> usableWithout(Set<WorkerId> excluded) {
        return members.values().stream()
                .filter(member -> member.usable() && !excluded.contains(member.worker()))
                .toList();
    }

    /**
     * Returns the most members that one failure of a domain takes.
     *
     * @param domain  the domain, not null
     * @param members  the members to count, not null
     * @return the count, not negative
     */
    public static int largestLoss(FailureDomain domain, Collection<PoolMember> members) {
        switch (domain) {
            case NONE:
                return 0;
            case WORKER:
                return Math.min(1, members.size());
            case RACK:
                return largestGroupSize(members, PoolMember::rack);
            case DATA_CENTRE:
                return largestGroupSize(members, PoolMember::dataCentre);
            default:
                throw new IllegalArgumentException("unknown domain " + domain);
        }
    }

    private static int largestGroupSize(Collection<PoolMember> members, Function<PoolMember, Object> group) {
        Map<Object, Integer> counts = new HashMap<>();
        int largest = 0;
        for (PoolMember member : members) {
            largest = Math.max(largest, counts.merge(group.apply(member), 1, Integer::sum));
        }
        return largest;
    }

    /**
     * Returns the pool and its counts.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return pool + ": " + usableCount + " usable of " + members.size();
    }
}
