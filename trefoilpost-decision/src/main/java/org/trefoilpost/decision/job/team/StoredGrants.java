package org.trefoilpost.decision.job.team;

import java.util.Objects;

/**
 * The stored grants of a team as they were read.
 *
 * @param value  the bytes, not null
 * @param revision  the revision of the key, greater than 0
 */
public record StoredGrants(byte[] value, long revision) {
    /**
     * Constructs stored grants.
     */
    public StoredGrants {
        Objects.requireNonNull(value, "value");
    }
}
