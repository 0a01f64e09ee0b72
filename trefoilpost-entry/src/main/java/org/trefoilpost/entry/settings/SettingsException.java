package org.trefoilpost.entry.settings;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Settings that are wrong, with every fault.
 */
public final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /**
     * Constructs the failure of some settings.
     *
     * @param faults  every fault, at least one, not null
     */
    public SettingsException(List<SettingsFault> faults) {
        super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns every fault.
     *
     * @return the unmodifiable faults, not null
     */
    public List<SettingsFault> faults() {
        return faults;
    }
}
