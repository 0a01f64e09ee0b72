package org.trefoilpost.decision.configuration;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.ConfigurationCodec;
import org.trefoilpost.model.configuration.ConfigurationPart;

/**
 * What one change writes on top of one head.
 */
final class ChangePlan {
    private final ConfigurationHead base;
    private final long baseRevision;
    private final ChangeVersion version;
    private final Set<ConfigurationPart> kept;
    private final SortedMap<ConfigurationPart, String> changed;
    private final long versionInForce;

    private ChangePlan(
            ConfigurationHead base,
            long baseRevision,
            ChangeVersion version,
            Set<ConfigurationPart> kept,
            SortedMap<ConfigurationPart, String> changed,
            long versionInForce) {
        this.base = base;
        this.baseRevision = baseRevision;
        this.version = version;
        this.kept = kept;
        this.changed = changed;
        this.versionInForce = versionInForce;
    }

    /**
     * Plans a change. A part is written unless this entry has it in the version that the head names, with the wanted
     * content. After a restore of the store every part is written, and the new version is higher than any that this entry
     * was told of.
     */
    static ChangePlan of(
            ConfigurationHead base, long baseRevision, ChangeId change, Configuration configuration, InForceView view) {
        long versionInForce = Math.max(base.version(), view.highestVersionSeen());
        SortedMap<ConfigurationPart, String> changed = new TreeMap<>();
        for (ConfigurationPart part : configuration.parts()) {
            String text = ConfigurationCodec.writePart(configuration, part);
            Optional<String> present = Optional.ofNullable(base.parts().get(part))
                    .flatMap(partVersion -> view.inForce().flatMap(snapshot -> snapshot.document(part, partVersion)))
                    .map(PartDocument::text);
            if (base.version() < versionInForce || !present.equals(Optional.of(text))) {
                changed.put(part, text);
            }
        }
        ChangeVersion version = ChangeVersion.of(versionInForce + 1, change, 0);
        return new ChangePlan(base, baseRevision, version, configuration.parts(), changed, versionInForce);
    }

    ConfigurationHead base() {
        return base;
    }

    long baseRevision() {
        return baseRevision;
    }

    ChangeVersion version() {
        return version;
    }

    long versionInForce() {
        return versionInForce;
    }

    SortedMap<ConfigurationPart, String> changed() {
        return changed;
    }

    boolean isUnchanged() {
        return changed.isEmpty() && base.parts().keySet().equals(kept) && base.version() == versionInForce;
    }

    ConfigurationHead head(Map<ConfigurationPart, Long> revisions) {
        return base.next(version.number(), version.change(), written(revisions), kept);
    }

    /** Returns the versions of parts that the new head no longer names. */
    SortedMap<ConfigurationPart, ChangeVersion> replaced() {
        SortedMap<ConfigurationPart, ChangeVersion> replaced = new TreeMap<>(base.parts());
        replaced.keySet().removeIf(part -> kept.contains(part) && !changed.containsKey(part));
        return replaced;
    }

    ConfigurationUpdate update(Map<ConfigurationPart, Long> revisions, long headRevision) {
        Optional<ChangeVersion> from =
                base.change().map(change -> ChangeVersion.of(base.version(), change, baseRevision));
        SortedMap<ConfigurationPart, PartDocument> documents = new TreeMap<>();
        written(revisions)
                .forEach((part, partVersion) -> documents.put(part, PartDocument.of(partVersion, changed.get(part))));
        Set<ConfigurationPart> removed = new TreeSet<>(base.parts().keySet());
        removed.removeAll(kept);
        return ConfigurationUpdate.of(
                from, ChangeVersion.of(version.number(), version.change(), headRevision), documents, removed);
    }

    private Map<ConfigurationPart, ChangeVersion> written(Map<ConfigurationPart, Long> revisions) {
        Map<ConfigurationPart, ChangeVersion> written = new TreeMap<>();
        revisions.forEach(
                (part, revision) -> written.put(part, ChangeVersion.of(version.number(), version.change(), revision)));
        return written;
    }
}
