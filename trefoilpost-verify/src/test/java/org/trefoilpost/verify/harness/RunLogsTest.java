package org.trefoilpost.verify.harness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RunLogsTest {
    @TempDir
    private Path directory;

    private RunLogs logs(String... lines) throws IOException {
        Path file = directory.resolve("log");
        List<String> json = List.of(lines).stream()
                .map(line -> line.split(" "))
                .map(words -> "{\"time\":" + words[0] + ",\"worker\":\"" + words[1] + "\",\"event\":\"" + words[2]
                        + "\",\"key\":\"" + (words.length > 3 ? words[3] : "") + "\"}")
                .toList();
        Files.write(file, json);
        return RunLogs.read(file);
    }

    @Test
    void mostDown_overlappingStops_areCountedUntilTheNextStart() throws IOException {
        RunLogs logs = logs("1 a stop", "2 b stop", "3 a start", "4 c stop", "5 d stop", "6 b start");
        assertEquals(3, logs.mostDown());
    }

    @Test
    void stopsWithWorkInFlight_onlyOfTheBusyWorker() throws IOException {
        RunLogs logs = logs("1 a request-start", "2 b request-start", "3 b request-end", "4 b stop", "5 a stop");
        assertEquals(
                List.of("a"),
                logs.stopsWithWorkInFlight().stream().map(RunEvent::worker).toList());
    }

    @Test
    void startedAfterCordon_betweenTheGraceAndTheNextStart() throws IOException {
        RunLogs logs = logs(
                "10 a request-start",
                "12 a request-start",
                "14 a request-start",
                "14 b request-start",
                "20 a start",
                "21 a request-start");
        assertEquals(
                List.of(14L),
                logs.startedAfterCordon("a", 10, 3).stream()
                        .map(RunEvent::timeMillis)
                        .toList());
    }

    @Test
    void runsByKey_countsEachStart() throws IOException {
        RunLogs logs = logs("1 a request-start k", "2 b request-start k", "3 b request-start m", "4 b request-start");
        assertEquals(Map.of("k", 2L, "m", 1L), logs.runsByKey());
    }
}
