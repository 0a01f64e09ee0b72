package org.trefoilpost.entry.job;

import java.util.List;

/**
 * A wave of upkeep: a set of machines that operators want maintained.
 *
 * @param number  the number of the wave
 * @param machines  the names of the machines, not null
 * @param withinMillis  the time within which all machines are to be maintained, in milliseconds
 * @param maxConcurrent  the maximum number of machines that may be down for upkeep at the same time
 */
public record UpkeepWave(long number, List<String> machines, long withinMillis, int maxConcurrent) {
    /**
     * Constructs a wave with a copy of the list.
     */
    public UpkeepWave {
        machines = List.copyOf(machines);
    }
}
