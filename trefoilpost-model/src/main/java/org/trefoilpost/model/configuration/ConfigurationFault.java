package org.trefoilpost.model.configuration;

import java.util.Objects;

/**
 * One fault of a configuration document: where it is, what stands there and what is allowed.
 */
public final class ConfigurationFault {
    private final String path;
    private final String value;
    private final String allowed;

    private ConfigurationFault(String path, String value, String allowed) {
        this.path = path;
        this.value = value;
        this.allowed = allowed;
    }

    /**
     * Obtains a fault.
     *
     * @param path  the path of the field, such as {@code pools.pricing.budget.floor}, not null
     * @param value  the value that stands there, not null
     * @param allowed  what is allowed there, not null
     * @return the fault, not null
     */
    public static ConfigurationFault of(String path, String value, String allowed) {
        return new ConfigurationFault(
                Objects.requireNonNull(path, "path"),
                Objects.requireNonNull(value, "value"),
                Objects.requireNonNull(allowed, "allowed"));
    }

    /**
     * Returns the path of the field.
     *
     * @return the path, not null, empty for the whole document
     */
    public String path() {
        return path;
    }

    /**
     * Returns the value that stands there.
     *
     * @return the value, not null
     */
    public String value() {
        return value;
    }

    /**
     * Returns what is allowed there.
     *
     * @return the text, not null
     */
    public String allowed() {
        return allowed;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof ConfigurationFault other
                && other.path.equals(path)
                && other.value.equals(value)
                && other.allowed.equals(allowed);
    }

    @Override
    public int hashCode() {
        return Objects.hash(path, value, allowed);
    }

    /**
     * Returns the path, the value and what is allowed.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        String place = path.isEmpty() ? "document" : path;
        return place + ": " + value + ": " + allowed;
    }
}
