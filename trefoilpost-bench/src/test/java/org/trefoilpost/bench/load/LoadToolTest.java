package org.trefoilpost.bench.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilpost.standins.worker.WorkerServer;
import org.trefoilpost.standins.worker.WorkerSettings;

class LoadToolTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private int run(String... flags) {
        List<String> arguments = new ArrayList<>(List.of(flags));
        return LoadTool.run(
                arguments.toArray(String[]::new),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    @Test
    void run_countsEveryRequestOnce() throws IOException {
        try (WorkerServer worker = WorkerServer.start(new WorkerSettings().times(0, 0))) {
            int status = run(
                    "--entry",
                    worker.endpoint().toString(),
                    "--rate",
                    "500",
                    "--seconds",
                    "0.1",
                    "--keyed",
                    "1",
                    "--json");
            assertEquals(0, status);
            String report = out.toString(StandardCharsets.UTF_8);
            assertTrue(report.contains("\"requests\":50"), report);
            assertTrue(report.contains("\"keyed\":50"), report);
            assertTrue(report.contains("\"no-verdict\":50"), report);
        }
    }

    @Test
    void run_targetThatRefusesConnections_countsAsNoAnswer() {
        assertEquals(0, run("--entry", "127.0.0.1:1", "--rate", "100", "--seconds", "0.05"));
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("no-answer: 5"), out::toString);
    }

    @Test
    void run_wrongFlags_areRefusedBeforeAnythingIsSent() {
        assertEquals(2, run());
        assertEquals(2, run("--entry", "nowhere"));
        assertEquals(2, run("--entry", "127.0.0.1:1", "--keyed", "1.5"));
        assertEquals(2, run("--entry", "127.0.0.1:1", "--rate", "0"));
        assertEquals("", out.toString(StandardCharsets.UTF_8));
        assertTrue(err.toString(StandardCharsets.UTF_8).contains("--keyed must be from 0 to 1"), err::toString);
    }
}
