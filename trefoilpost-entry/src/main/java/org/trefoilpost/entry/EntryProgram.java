package org.trefoilpost.entry;

import java.util.Optional;
import org.trefoilpost.entry.settings.EntrySettings;

/**
 * An entry that may be told to stop at any time, also while it starts.
 */
final class EntryProgram {
    private final EntrySettings settings;
    private Optional<EntryInstance> entry = Optional.empty();
    private boolean stopped;

    /**
     * Constructs a program that has not started its entry.
     */
    EntryProgram(EntrySettings settings) {
        this.settings = settings;
    }

    /**
     * Starts the entry, unless the program was told to stop before.
     *
     * @return the entry, empty if the program was told to stop
     * @throws Exception if a listener cannot be started
     */
    synchronized Optional<EntryInstance> start() throws Exception {
        if (!stopped) {
            entry = Optional.of(EntryInstance.start(settings));
        }
        return entry;
    }

    /**
     * Stops the entry gracefully. A start in progress is completed first.
     *
     * @return whether there was an entry to stop
     */
    synchronized boolean stop() {
        stopped = true;
        entry.ifPresent(EntryInstance::close);
        return entry.isPresent();
    }
}
