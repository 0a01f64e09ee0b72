package org.trefoilpost.standins.platform;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A key's value with its revision and the lease it hangs on.
 */
final class StoredValue {
    private final byte[] bytes;
    private final long revision;
    private final OptionalLong lease;

    private StoredValue(byte[] bytes, long revision, OptionalLong lease) {
        this.bytes = Objects.requireNonNull(bytes, "bytes");
        this.revision = revision;
        this.lease = Objects.requireNonNull(lease, "lease");
    }

    static StoredValue of(byte[] bytes, long revision, OptionalLong lease) {
        return new StoredValue(bytes, revision, lease);
    }

    byte[] bytes() {
        return bytes;
    }

    long revision() {
        return revision;
    }

    OptionalLong lease() {
        return lease;
    }
}
