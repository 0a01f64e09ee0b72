package org.trefoilpost.model.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when a configuration document is invalid; lists all faults of the document.
 */
public final class ConfigurationException extends RuntimeException {
    private final transient List<ConfigurationFault> faults;

    /**
     * Constructs an exception whose message has one line for each fault.
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
