package org.trefoilpost.decision.job;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an entry tells another one about the configuration that it has in force.
 *
 * @param version  the version, 0 if it has none
 * @param confirmedAgeMillis  the age of its confirmation when it answered, in milliseconds, empty if it has none, not null
 */
public record ConfigurationReport(long version, OptionalLong confirmedAgeMillis) {
    /**
     * Returns whether the asking entry takes the configuration.
     *
     * @param knownVersion  the version that the asking entry has in force, 0 if it has none
     * @return true if the reported configuration is newer
     */
    public boolean isNewerThan(long knownVersion) {
        return version > knownVersion;
    }

    /**
     * Returns the moment for which the asking entry's configuration is confirmed by this report. The answering entry
     * determined the age after the request was sent, so the moment of the request is a safe origin.
     *
     * @param sent  when the request was sent, not null
     * @param knownVersion  the version that the asking entry has in force after it took what is newer, 0 if it has none
     * @return the moment, empty if the report confirms nothing for a configuration of that version, not null
     */
    public Optional<Moment> confirms(Moment sent, long knownVersion) {
        return confirmedAgeMillis.isPresent() && knownVersion > 0 && knownVersion >= version
                ? Optional.of(sent.plus(-confirmedAgeMillis.getAsLong()))
                : Optional.empty();
    }
}
