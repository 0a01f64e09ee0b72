package org.trefoilpost.verify.harness;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What the workers themselves logged: the truth that every check rests on.
 */
public final class RunLogs {
    private final List<RunEvent> events;

    private RunLogs(List<RunEvent> events) {
        this.events = events;
    }

    static RunLogs read(Path file) {
        try {
            return new RunLogs(
                    Files.readAllLines(file).stream().map(RunEvent::of).toList());
        } catch (IOException e) {
            throw new UncheckedIOException("the run log can't be read", e);
        }
    }

    /**
     * Returns the events of a kind.
     *
     * @param event  the kind, such as {@code request-start}, not null
     * @return the events in their order, not null
     */
    public List<RunEvent> events(String event) {
        return events.stream().filter(line -> line.event().equals(event)).toList();
    }

    /**
     * Returns how often each path ran.
     *
     * @return the counts by path, not null
     */
    public Map<String, Long> runsByPath() {
        return events("request-start").stream().collect(Collectors.groupingBy(RunEvent::path, Collectors.counting()));
    }

    /**
     * Returns how often each key ran.
     *
     * @return the counts by key, not null
     */
    public Map<String, Long> runsByKey() {
        return events("request-start").stream()
                .filter(line -> !line.key().isEmpty())
                .collect(Collectors.groupingBy(RunEvent::key, Collectors.counting()));
    }

    /**
     * Returns the stops that came while a request was running.
     *
     * @return the stops, not null
     */
    public List<RunEvent> stopsWithWorkInFlight() {
        Map<String, Integer> inFlight = new HashMap<>();
        List<RunEvent> found = new ArrayList<>();
        for (RunEvent line : events) {
            if (line.event().equals("request-start")) {
                inFlight.merge(line.worker(), 1, Integer::sum);
            } else if (line.event().equals("request-end")) {
                inFlight.merge(line.worker(), -1, Integer::sum);
            } else if (line.event().equals("stop") && inFlight.getOrDefault(line.worker(), 0) > 0) {
                found.add(line);
            }
        }
        return found;
    }

    /**
     * Returns the most workers that were down at the same time, from their stops to their next starts.
     *
     * @return the count
     */
    public int mostDown() {
        Set<String> down = new HashSet<>();
        int most = 0;
        for (RunEvent line : events) {
            if (line.event().equals("stop")) {
                down.add(line.worker());
            } else if (line.event().equals("start")) {
                down.remove(line.worker());
            }
            most = Math.max(most, down.size());
        }
        return most;
    }

    /**
     * Returns the requests that a worker started too long after its cordon, up to its next start.
     *
     * @param worker  the worker, not null
     * @param cordonMillis  when the worker was cordoned
     * @param graceMillis  how long it may still start requests
     * @return the requests, not null
     */
    public List<RunEvent> startedAfterCordon(String worker, long cordonMillis, long graceMillis) {
        long untilMillis = events("start").stream()
                .filter(line -> line.worker().equals(worker) && line.timeMillis() > cordonMillis)
                .mapToLong(RunEvent::timeMillis)
                .min()
                .orElse(Long.MAX_VALUE);
        return events("request-start").stream()
                .filter(line -> line.worker().equals(worker))
                .filter(line -> line.timeMillis() > cordonMillis + graceMillis && line.timeMillis() < untilMillis)
                .toList();
    }
}
