package org.trefoilpost.entry.job;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.Moment;
import org.trefoilpost.decision.job.fleet.FleetPlanner;

/**
 * The waves that operators request, as they last wrote them, with their deadlines. A deadline counts from the time at which
 * this entry learned of the content of the wave. Kept whether or not this entry owns the machines.
 */
final class RequestedWaves {
    private final Consumer<Decision> log;
    private final Map<Long, Request> requests = new TreeMap<>();

    /**
     * Constructs a set without waves.
     *
     * @param log  receives the changes, not null
     */
    RequestedWaves(Consumer<Decision> log) {
        this.log = log;
    }

    /**
     * Adds a wave, or replaces the one with its number. A wave that equals the known one has no effect, so that its deadline
     * stays.
     *
     * @param now  the current time, not null
     * @return true if the wave is new or has changed
     */
    boolean put(UpkeepWave wave, Moment now) {
        Request former = requests.get(wave.number());
        if (former != null && former.wave.equals(wave)) {
            return false;
        }
        requests.put(wave.number(), new Request(wave, now.plus(wave.withinMillis())));
        log.accept(Decision.of("wave-requested")
                .with("wave", wave.number())
                .with("machines", wave.machines().size())
                .with("atOnce", wave.maxConcurrent())
                .with("withinMillis", wave.withinMillis())
                .with("replaces", former != null)
                .withIfPresent(
                        "formerMachines",
                        Optional.ofNullable(former)
                                .map(request -> request.wave.machines().size())));
        return true;
    }

    /**
     * Returns the deadline of a wave, empty if it is not requested.
     */
    Optional<Moment> deadline(long number) {
        return Optional.ofNullable(requests.get(number)).map(Request::deadline);
    }

    /**
     * Passes all waves to a plan.
     */
    void passTo(FleetPlanner plan, Moment now) {
        requests.values()
                .forEach(request -> plan.addWave(
                        request.wave.number(),
                        request.wave.machines(),
                        request.deadline,
                        request.wave.maxConcurrent(),
                        now));
    }

    private record Request(UpkeepWave wave, Moment deadline) {}
}
