package org.trefoilpost.entry.platform;

import java.util.Objects;

/**
 * A key's value in the key-value service, with its revision.
 */
public final class StoredValue {
    private final String key;
    private final long revision;
    private final byte[] bytes;

    private StoredValue(String key, long revision, byte[] bytes) {
        this.key = key;
        this.revision = revision;
        this.bytes = bytes;
    }

    /**
     * Obtains a value; the bytes are not copied and must not change.
     *
     * @param key  the key, not null
     * @param revision  the revision, positive
     * @param bytes  the bytes, not null
     * @return the value, not null
     */
    public static StoredValue of(String key, long revision, byte[] bytes) {
        return new StoredValue(Objects.requireNonNull(key, "key"), revision, Objects.requireNonNull(bytes, "bytes"));
    }

    /**
     * Returns the key.
     *
     * @return the key, not null
     */
    public String key() {
        return key;
    }

    /**
     * Returns the revision.
     *
     * @return the revision, positive
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the bytes, which must not be changed.
     *
     * @return the bytes, not null
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the key and the revision.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return key + "@" + revision + " (" + bytes.length + " bytes)";
    }
}
