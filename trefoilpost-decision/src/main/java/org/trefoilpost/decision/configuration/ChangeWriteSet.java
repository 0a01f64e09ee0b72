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
final class ChangeWriteSet {
    private final ConfigurationHead baseHead;
    private final long baseRevision;
    private final ChangeVersion version;
    private final Set<ConfigurationPart> kept;
    private final SortedMap<ConfigurationPart, String> changed;
    private final long versionInForce;

    private ChangeWriteSet(
            ConfigurationHead base,
            long baseRevision,
            ChangeVersion version,
            Set<ConfigurationPart> kept,
            SortedMap<ConfigurationPart, String> changed,
            long versionInForce) {
        this.baseHead = base;
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
    static ChangeWriteSet of(
            ConfigurationHead base,
            long baseRevision,
            ChangeId change,
            Configuration configuration,
            ConfigurationView view) {
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
        return new ChangeWriteSet(base, baseRevision, version, configuration.parts(), changed, versionInForce);
    }

    ConfigurationHead baseHead() {
        return baseHead;
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
        return changed.isEmpty() && baseHead.parts().keySet().equals(kept) && baseHead.version() == versionInForce;
    }

    ConfigurationHead newHead(Map<ConfigurationPart, Long> revisions) {
        return baseHead.next(version.number(), version.change(), writtenVersions(revisions), kept);
    }

    /** Returns the versions of parts that the new head no longer names. */
    SortedMap<ConfigurationPart, ChangeVersion> replacedVersions() {
        SortedMap<ConfigurationPart, ChangeVersion> replaced = new TreeMap<>(baseHead.parts());
        replaced.keySet().removeIf(part -> kept.contains(part) && !changed.containsKey(part));
        return replaced;
    }

    ConfigurationUpdate toUpdate(Map<ConfigurationPart, Long> revisions, long headRevision) {
        Optional<ChangeVersion> from =
                baseHead.change().map(change -> ChangeVersion.of(baseHead.version(), change, baseRevision));
        SortedMap<ConfigurationPart, PartDocument> documents = new TreeMap<>();
        writtenVersions(revisions)
                .forEach((part, partVersion) -> documents.put(part, PartDocument.of(partVersion, changed.get(part))));
        Set<ConfigurationPart> removed = new TreeSet<>(baseHead.parts().keySet());
        removed.removeAll(kept);
        return ConfigurationUpdate.of(
                from, ChangeVersion.of(version.number(), version.change(), headRevision), documents, removed);
    }

    private Map<ConfigurationPart, ChangeVersion> writtenVersions(Map<ConfigurationPart, Long> revisions) {
        Map<ConfigurationPart, ChangeVersion> written = new TreeMap<>();
        revisions.forEach(
                (part, revision) -> written.put(part, ChangeVersion.of(version.number(), version.change(), revision)));
        return written;
    }
}
