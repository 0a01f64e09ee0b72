package org.trefoilpost.decision.configuration;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilpost.model.configuration.ConfigurationPart;

/**
 * Accepted version of the configuration as entries send it to each other, whole or as a difference.
 *
 * <p>An update with a base holds only the parts that changed since the base; without a base it holds all parts.
 */
public final class ConfigurationUpdate {
    private final Optional<ChangeVersion> base;
    private final ChangeVersion version;
    private final SortedMap<ConfigurationPart, PartDocument> written;
    private final SortedSet<ConfigurationPart> removed;

    private ConfigurationUpdate(
            Optional<ChangeVersion> base,
            ChangeVersion version,
            SortedMap<ConfigurationPart, PartDocument> written,
            SortedSet<ConfigurationPart> removed) {
        this.base = Objects.requireNonNull(base, "base");
        this.version = Objects.requireNonNull(version, "version");
        this.written = Collections.unmodifiableSortedMap(written);
        this.removed = Collections.unmodifiableSortedSet(removed);
    }

    /**
     * Obtains an update.
     *
     * @param base  the version that the update starts from, not null, empty if it holds all parts
     * @param version  the resulting version, not null
     * @param written  the parts that changed since the base, or all parts, not null
     * @param removed  the parts that were removed since the base, not null
     * @return the update, not null
     */
    public static ConfigurationUpdate of(
            Optional<ChangeVersion> base,
            ChangeVersion version,
            Map<ConfigurationPart, PartDocument> written,
            Set<ConfigurationPart> removed) {
        return new ConfigurationUpdate(base, version, new TreeMap<>(written), new TreeSet<>(removed));
    }

    /**
     * Returns the version that the update starts from.
     *
     * @return the version, not null, empty if the update holds all parts
     */
    public Optional<ChangeVersion> base() {
        return base;
    }

    /**
     * Returns the resulting version.
     *
     * @return the version, not null
     */
    public ChangeVersion version() {
        return version;
    }

    /**
     * Returns the parts that changed since the base, or all parts if there is no base.
     *
     * @return the parts, not null, unmodifiable
     */
    public SortedMap<ConfigurationPart, PartDocument> written() {
        return written;
    }

    /**
     * Returns the parts that were removed since the base.
     *
     * @return the parts, not null, unmodifiable
     */
    public SortedSet<ConfigurationPart> removed() {
        return removed;
    }

    /**
     * Returns the base and the resulting version.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return base.map(ChangeVersion::toString).orElse("nothing") + " to " + version;
    }
}
