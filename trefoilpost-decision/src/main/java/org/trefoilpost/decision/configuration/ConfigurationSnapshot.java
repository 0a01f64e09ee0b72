package org.trefoilpost.decision.configuration;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.ConfigurationCodec;
import org.trefoilpost.model.configuration.ConfigurationPart;

/**
 * Accepted configuration with the documents that it was parsed from.
 */
public final class ConfigurationSnapshot {
    private final ChangeVersion version;
    private final SortedMap<ConfigurationPart, PartDocument> documents;
    private final Configuration configuration;

    private ConfigurationSnapshot(
            ChangeVersion version, SortedMap<ConfigurationPart, PartDocument> documents, Configuration configuration) {
        this.version = version;
        this.documents = documents;
        this.configuration = configuration;
    }

    /**
     * Obtains a snapshot by parsing its documents.
     *
     * @param version  the version of the head, not null
     * @param documents  the document of each part, not null
     * @return the snapshot, not null
     * @throws org.trefoilpost.model.configuration.ConfigurationException if a document has faults
     * @throws org.trefoilpost.model.configuration.NewerFormatException if a document has a newer format
     */
    public static ConfigurationSnapshot of(ChangeVersion version, Map<ConfigurationPart, PartDocument> documents) {
        Objects.requireNonNull(version, "version");
        Configuration.Builder builder = Configuration.builder().version(version.number());
        documents.forEach((part, document) -> ConfigurationCodec.parsePart(part, document.text(), builder));
        return new ConfigurationSnapshot(
                version, Collections.unmodifiableSortedMap(new TreeMap<>(documents)), builder.build());
    }

    /**
     * Returns the version of the head.
     *
     * @return the version, not null
     */
    public ChangeVersion version() {
        return version;
    }

    /**
     * Returns the document of each part.
     *
     * @return the documents, not null, unmodifiable
     */
    public SortedMap<ConfigurationPart, PartDocument> documents() {
        return documents;
    }

    /**
     * Returns the configuration.
     *
     * @return the configuration, not null
     */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Finds the document of one version of a part.
     *
     * @param part  the part, not null
     * @param wanted  the version of the part, not null
     * @return the document, not null, empty if this snapshot has the part in another version or not at all
     */
    public Optional<PartDocument> document(ConfigurationPart part, ChangeVersion wanted) {
        return Optional.ofNullable(documents.get(part))
                .filter(document -> document.version().equals(wanted));
    }

    /**
     * Returns an update that holds all parts of this snapshot.
     *
     * @return the update, not null
     */
    public ConfigurationUpdate toUpdate() {
        return ConfigurationUpdate.of(Optional.empty(), version, documents, Set.of());
    }

    /**
     * Returns the version and the configuration.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return version + ": " + configuration;
    }
}
