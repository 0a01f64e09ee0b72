package org.trefoilpost.decision.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.trefoilpost.model.configuration.ConfigurationPart;

/**
 * Gathers the documents of one version of the head, reading only those that are not at hand.
 */
final class PartFetch {
    private final ChangeVersion target;
    private final long asOfMillis;
    private final SortedMap<ConfigurationPart, ChangeVersion> missing = new TreeMap<>();
    private final SortedMap<ConfigurationPart, PartDocument> documents = new TreeMap<>();
    private final Map<Long, ConfigurationPart> partsByCallId = new HashMap<>();
    private long retryAtMillis = Long.MIN_VALUE;

    /**
     * Constructs a fetch.
     *
     * @param head  the head, not null, not empty
     * @param revision  the revision of the head
     * @param asOfMillis  the time at which the store surely had this head, in milliseconds
     */
    PartFetch(ConfigurationHead head, long revision, long asOfMillis) {
        this.target = ChangeVersion.of(head.version(), head.change().orElseThrow(), revision);
        this.asOfMillis = asOfMillis;
        this.missing.putAll(head.parts());
    }

    ChangeVersion target() {
        return target;
    }

    long asOfMillis() {
        return asOfMillis;
    }

    /** Takes over the documents that another version has in common with this one. */
    void reuse(Map<ConfigurationPart, PartDocument> others) {
        others.forEach((part, document) -> {
            if (document.version().equals(missing.get(part))) {
                missing.remove(part);
                documents.put(part, document);
            }
        });
    }

    SortedMap<ConfigurationPart, PartDocument> documents() {
        return documents;
    }

    boolean isComplete() {
        return missing.isEmpty();
    }

    boolean owns(long callId) {
        return partsByCallId.containsKey(callId);
    }

    /** Reads each missing document that is not being read yet, unless a failed read has to wait. */
    void readMissing(long nowMillis, LongSupplier callIds, List<ConfigurationAction> actions) {
        if (nowMillis < retryAtMillis) {
            return;
        }
        missing.forEach((part, version) -> {
            if (!partsByCallId.containsValue(part)) {
                long callId = callIds.getAsLong();
                partsByCallId.put(callId, part);
                actions.add(ConfigurationAction.ReadKey.of(callId, ConfigurationKeys.part(part, version)));
            }
        });
    }

    void readFound(long callId, String text) {
        ConfigurationPart part = partsByCallId.remove(callId);
        Optional.ofNullable(missing.remove(part))
                .ifPresent(version -> documents.put(part, PartDocument.of(version, text)));
    }

    void readFailed(long callId, long newRetryMillis) {
        partsByCallId.remove(callId);
        retryAtMillis = newRetryMillis;
    }
}
