package org.trefoilpost.entry.settings;

import java.util.Objects;

/**
 * A wrong setting: its name, its value and what is allowed.
 */
public final class SettingsFault {
    private final String name;
    private final String value;
    private final String allowed;

    private SettingsFault(String name, String value, String allowed) {
        this.name = name;
        this.value = value;
        this.allowed = allowed;
    }

    /**
     * Obtains a fault.
     *
     * @param name  the setting's flag, not null
     * @param value  the value found, not null
     * @param allowed  what is allowed, not null
     * @return the fault, not null
     */
    public static SettingsFault of(String name, String value, String allowed) {
        return new SettingsFault(
                Objects.requireNonNull(name, "name"),
                Objects.requireNonNull(value, "value"),
                Objects.requireNonNull(allowed, "allowed"));
    }

    /**
     * Returns the setting's flag.
     *
     * @return the flag, not null
     */
    public String name() {
        return name;
    }

    /**
     * Returns the fault as one line.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return name + " is '" + value + "': " + allowed;
    }
}
