package org.trefoilpost.decision.configuration;

import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.model.configuration.ConfigurationPart;

/**
 * Which version of the configuration is accepted, and in which version each part belongs to it.
 *
 * <p>The head also names the last changes, so that a change whose answer was lost finds out whether it was accepted.
 */
public final class ConfigurationHead {
    /** The head before the first change. */
    public static final ConfigurationHead EMPTY = new ConfigurationHead(new TreeMap<>(), new TreeMap<>());

    /** How many changes the head remembers. */
    public static final int MAX_RECENT_CHANGES = 16;

    private final SortedMap<Long, ChangeId> changes;
    private final SortedMap<ConfigurationPart, ChangeVersion> parts;

    private ConfigurationHead(SortedMap<Long, ChangeId> changes, SortedMap<ConfigurationPart, ChangeVersion> parts) {
        this.changes = Collections.unmodifiableSortedMap(changes);
        this.parts = Collections.unmodifiableSortedMap(parts);
    }

    /**
     * Obtains a head.
     *
     * @param changes  the last changes by the version that each made, not null, not empty
     * @param parts  the version of each part, not null
     * @return the head, not null
     * @throws IllegalArgumentException if there are no changes
     */
    public static ConfigurationHead of(Map<Long, ChangeId> changes, Map<ConfigurationPart, ChangeVersion> parts) {
        if (changes.isEmpty()) {
            throw new IllegalArgumentException("a head names at least the change that made it");
        }
        return new ConfigurationHead(new TreeMap<>(changes), new TreeMap<>(parts));
    }

    /**
     * Returns the version.
     *
     * @return the version, not negative, 0 before the first change
     */
    public long version() {
        return changes.isEmpty() ? 0 : changes.lastKey();
    }

    /**
     * Returns the change that made this version.
     *
     * @return the change, not null, empty before the first change
     */
    public Optional<ChangeId> change() {
        return changes.isEmpty() ? Optional.empty() : Optional.of(changes.get(changes.lastKey()));
    }

    /**
     * Returns the last changes by the version that each made.
     *
     * @return the changes, not null, unmodifiable
     */
    public SortedMap<Long, ChangeId> changes() {
        return changes;
    }

    /**
     * Returns the version of each part.
     *
     * @return the versions, not null, unmodifiable
     */
    public SortedMap<ConfigurationPart, ChangeVersion> parts() {
        return parts;
    }

    /**
     * Returns whether this head and another stand for the same accepted configuration.
     *
     * @param other  the other head, not null
     * @return true if version and change are the same
     */
    public boolean isSameAs(ConfigurationHead other) {
        return version() == other.version() && change().equals(other.change());
    }

    /**
     * Finds the version that a change made.
     *
     * @param change  the change, not null
     * @return the version, not null, empty if the change is not among the remembered ones
     */
    public Optional<Long> versionOf(ChangeId change) {
        return changes.entrySet().stream()
                .filter(entry -> entry.getValue().equals(change))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /**
     * Returns whether a change that made a version would still be among the remembered ones.
     *
     * @param version  the version
     * @return true if the memory reaches back to the version
     */
    public boolean historyCovers(long version) {
        return changes.size() < MAX_RECENT_CHANGES || changes.firstKey() <= version;
    }

    /**
     * Returns the head that follows this one.
     *
     * @param version  the new version, higher than this one
     * @param change  the change that makes it, not null
     * @param written  the versions of the parts that the change wrote, not null
     * @param kept  the parts of the new configuration, not null
     * @return the head, not null
     * @throws IllegalArgumentException if the version is not higher
     */
    public ConfigurationHead next(
            long version,
            ChangeId change,
            Map<ConfigurationPart, ChangeVersion> written,
            Collection<ConfigurationPart> kept) {
        if (version <= version()) {
            throw new IllegalArgumentException("version " + version + " does not follow " + version());
        }
        SortedMap<Long, ChangeId> newChanges = new TreeMap<>(changes);
        newChanges.put(version, change);
        while (newChanges.size() > MAX_RECENT_CHANGES) {
            newChanges.remove(newChanges.firstKey());
        }
        SortedMap<ConfigurationPart, ChangeVersion> newParts = new TreeMap<>(parts);
        newParts.keySet().retainAll(kept);
        newParts.putAll(written);
        return new ConfigurationHead(newChanges, newParts);
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ConfigurationHead other && other.changes.equals(changes) && other.parts.equals(parts);
    }

    @Override
    public int hashCode() {
        return Objects.hash(changes, parts);
    }

    /**
     * Returns the version and the change.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return version() + change().map(change -> " by " + change).orElse("");
    }
}
