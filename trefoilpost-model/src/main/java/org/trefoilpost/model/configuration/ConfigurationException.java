package org.trefoilpost.model.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when a configuration document has faults; carries all of them.
 */
public final class ConfigurationException extends RuntimeException {
    private final transient List<ConfigurationFault> faults;

    /**
     * Constructs an exception.
     *
     * @param faults  the faults, not null, not empty
     */
    public ConfigurationException(List<ConfigurationFault> faults) {
        super(faults.stream().map(ConfigurationFault::toString).collect(Collectors.joining("\n")));
        this.faults = List.copyOf(faults);
    }

    /**
     * Returns all faults of the document.
     *
     * @return the faults, not null, not empty, unmodifiable
     */
    public List<ConfigurationFault> faults() {
        return faults;
    }
}
