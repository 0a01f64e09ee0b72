package org.trefoilpost.decision.job.emulator;

import java.util.Optional;
import java.util.Set;

/**
 * Emulates the platform's list of the workers on its machines.
 */
enum MachineService {
    /** Lists the workers that run. */
    CURRENT {
        @Override
        Optional<Set<String>> list(EmulatedPlatform platform) {
            return Optional.of(platform.livingWorkerIds());
        }
    },
    /** Still lists the workers that have ended. */
    STALE {
        @Override
        Optional<Set<String>> list(EmulatedPlatform platform) {
            return Optional.of(platform.workerIds());
        }
    },
    /** Does not answer. */
    SILENT {
        @Override
        Optional<Set<String>> list(EmulatedPlatform platform) {
            return Optional.empty();
        }
    };

    /**
     * Returns the identifiers of the workers that are listed, empty if there is no answer.
     */
    abstract Optional<Set<String>> list(EmulatedPlatform platform);
}
