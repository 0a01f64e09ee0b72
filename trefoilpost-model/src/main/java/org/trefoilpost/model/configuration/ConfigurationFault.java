package org.trefoilpost.model.configuration;

import java.util.Objects;

/**
 * A fault of a configuration document: the field, the value found and what is expected.
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
     * @param path  the path of the field, such as {@code pools.pricing.budget.floor}, not null, empty for the document
     * @param value  the value found, not null
     * @param allowed  the description of the values expected, not null
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
     * @return the path, not null, empty if the fault concerns the whole document
     */
    public String path() {
        return path;
    }

    /**
     * Returns the value found.
     *
     * @return the value, not null
     */
    public String value() {
        return value;
    }

    /**
     * Returns the description of the values expected.
     *
     * @return the description, not null
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
     * Returns the path, the value found and the values expected, for messages.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        String location = path.isEmpty() ? "document" : path;
        return location + ": " + value + ": " + allowed;
    }
}
