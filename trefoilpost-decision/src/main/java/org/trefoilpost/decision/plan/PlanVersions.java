package org.trefoilpost.decision.plan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;

/**
 * The versions of the documents that a plan was computed from.
 */
public final class PlanVersions {
    private final long configuration;
    private final long index;
    private final SortedMap<RackName, Long> racks;
    private final SortedMap<PoolName, Long> ledgers;

    private PlanVersions(
            long configuration, long index, SortedMap<RackName, Long> racks, SortedMap<PoolName, Long> ledgers) {
        this.configuration = configuration;
        this.index = index;
        this.racks = Collections.unmodifiableSortedMap(racks);
        this.ledgers = Collections.unmodifiableSortedMap(ledgers);
    }

    /**
     * Obtains versions.
     *
     * @param configuration  the version of the configuration
     * @param index  the version of the index of confirmed plans
     * @param racks  the version of the inventory of each touched rack, not null
     * @param ledgers  the version of the ledger of each touched pool, not null
     * @return the versions, not null
     */
    public static PlanVersions of(
            long configuration, long index, Map<RackName, Long> racks, Map<PoolName, Long> ledgers) {
        return new PlanVersions(configuration, index, new TreeMap<>(racks), new TreeMap<>(ledgers));
    }

    /**
     * Returns the version of the configuration.
     *
     * @return the version
     */
    public long configuration() {
        return configuration;
    }

    /**
     * Returns the version of the index of confirmed plans.
     *
     * @return the version
     */
    public long index() {
        return index;
    }

    /**
     * Returns the version of the inventory of each touched rack.
     *
     * @return the versions, unmodifiable, not null
     */
    public SortedMap<RackName, Long> racks() {
        return racks;
    }

    /**
     * Returns the version of the ledger of each touched pool.
     *
     * @return the versions, unmodifiable, not null
     */
    public SortedMap<PoolName, Long> ledgers() {
        return ledgers;
    }

    /**
     * Returns what changed among the documents that the plan was computed from.
     *
     * <p>The index is left out: its changes matter only where the plans touch the same pools.
     *
     * @param present  the present versions of at least the same documents, not null
     * @return the changes, not null
     */
    public List<VersionChange> changes(PlanVersions present) {
        List<VersionChange> changes = new ArrayList<>();
        if (present.configuration != configuration) {
            changes.add(VersionChange.of("configuration", configuration, present.configuration));
        }
        addChanges("inventory ", racks, present.racks, changes);
        addChanges("ledger ", ledgers, present.ledgers, changes);
        return changes;
    }

    private static <K> void addChanges(
            String kind, Map<K, Long> planned, Map<K, Long> present, List<VersionChange> changes) {
        planned.forEach((key, version) -> {
            long now = present.getOrDefault(key, 0L);
            if (now != version) {
                changes.add(VersionChange.of(kind + key, version, now));
            }
        });
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof PlanVersions other
                && other.configuration == configuration
                && other.index == index
                && other.racks.equals(racks)
                && other.ledgers.equals(ledgers);
    }

    @Override
    public int hashCode() {
        return Objects.hash(configuration, index, racks, ledgers);
    }

    /**
     * Returns the versions.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "configuration " + configuration + ", index " + index + ", racks " + racks + ", ledgers " + ledgers;
    }
}
