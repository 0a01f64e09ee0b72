package org.trefoilpost.entry.job;

import java.util.List;

/**
 * Machines that operators want maintained.
 *
 * @param number  the number of the wave
 * @param machines  the machines, not null
 * @param withinMillis  the time in which all are to be maintained, in milliseconds
 * @param atOnce  the most machines that may be down for it at the same time
 */
public record UpkeepWave(long number, List<String> machines, long withinMillis, int maxConcurrent) {
    /**
     * Constructs a wave.
     */
    public UpkeepWave {
        machines = List.copyOf(machines);
    }
}
