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
 * Stored record of the accepted version of the configuration and of the version of each of its parts.
 *
 * <p>The head also lists recent changes, so that a change whose answer was lost can be found to be accepted or not.
 */
public final class ConfigurationHead {
    /** The head before the first change. */
    public static final ConfigurationHead EMPTY = new ConfigurationHead(new TreeMap<>(), new TreeMap<>());

    /** The maximum number of recent changes that the head lists. */
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
     * @param changes  the recent changes by the version that each made, not null, not empty
     * @param parts  the version of each part, not null
     * @return the head, not null
     * @throws IllegalArgumentException if there are no changes
     */
    public static ConfigurationHead of(Map<Long, ChangeId> changes, Map<ConfigurationPart, ChangeVersion> parts) {
        if (changes.isEmpty()) {
            throw new IllegalArgumentException(
                    "changes must hold at least the change that made the head, but is empty");
        }
        return new ConfigurationHead(new TreeMap<>(changes), new TreeMap<>(parts));
    }

    /**
     * Returns the accepted version.
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
     * Returns the recent changes by the version that each made.
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
     * Returns whether this head and another have the same version made by the same change.
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
     * @return the version, not null, empty if the change is not among the recent ones
     */
    public Optional<Long> versionOf(ChangeId change) {
        return changes.entrySet().stream()
                .filter(entry -> entry.getValue().equals(change))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /**
     * Returns whether the recent changes reach back to a version, so that a change that made it would be listed.
     *
     * @param version  the version
     * @return true if the history reaches back to the version
     */
    public boolean historyCovers(long version) {
        return changes.size() < MAX_RECENT_CHANGES || changes.firstKey() <= version;
    }

    /**
     * Returns the head that follows this one.
     *
     * @param version  the new version, higher than this one
     * @param change  the id of the change that makes it, not null
     * @param written  the versions of the parts that the change wrote, not null
     * @param kept  all parts of the new configuration, not null
     * @return the head, not null
     * @throws IllegalArgumentException if the version is not higher
     */
    public ConfigurationHead next(
            long version,
            ChangeId change,
            Map<ConfigurationPart, ChangeVersion> written,
            Collection<ConfigurationPart> kept) {
        if (version <= version()) {
            throw new IllegalArgumentException(
                    "version " + version + " is not higher than the current version " + version());
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
     * Returns the version and the change that made it.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return version() + change().map(change -> " by " + change).orElse("");
    }
}
