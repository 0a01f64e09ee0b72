package org.trefoilpost.bench.load;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.trefoilpost.model.Endpoint;

/**
 * A running entry process, with the options that its program has by default.
 */
final class MeasuredEntry implements AutoCloseable {
    private static final String JAVA_HOME = System.getProperty("java.home");
    private static final long END_WAIT_SECONDS = 15;
    private static final int CALLERS_WORD = 1;
    private static final int OPERATORS_WORD = 3;
    private static final double KIB_PER_MIB = 1_024;
    private static final double BYTES_PER_MIB = 1_048_576;

    private final Process process;
    private final Endpoint callers;
    private final Endpoint operators;

    private MeasuredEntry(Process process, Endpoint callers, Endpoint operators) {
        this.process = process;
        this.callers = callers;
        this.operators = operators;
    }

    /**
     * Starts an entry on free ports of 127.0.0.1 and waits until it listens.
     *
     * @param id  the entry's name, not null
     * @param platform  the platform's address, not null
     * @param maxHeapMib  the largest heap in MiB
     * @return the entry, not null
     * @throws IOException if it doesn't start
     */
    static MeasuredEntry start(String id, Endpoint platform, int maxHeapMib) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                JAVA_HOME + "/bin/java",
                "-XX:+UseSerialGC",
                "-Xshare:auto",
                "-XX:TieredStopAtLevel=1",
                "-Xmx" + maxHeapMib + "m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.trefoilpost.entry.Main"));
        command.addAll(List.of("--entry-id", id, "--data-centre", "dc1", "--platform", platform.toString()));
        for (String listener : List.of("caller", "peer", "operator")) {
            command.addAll(List.of("--" + listener + "-listen", "127.0.0.1:0"));
        }
        Process process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        BufferedReader out = process.inputReader(StandardCharsets.UTF_8);
        String line = out.readLine();
        if (line == null) {
            throw new IOException("the entry " + id + " ended before it listened");
        }
        String[] words = line.split(" ", -1);
        return new MeasuredEntry(process, Endpoint.parse(words[CALLERS_WORD]), Endpoint.parse(words[OPERATORS_WORD]));
    }

    Endpoint callers() {
        return callers;
    }

    Endpoint operators() {
        return operators;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    EntryUsage usage() {
        long cpuNanos = process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
        String metrics = Http.get("http://" + operators + "/metrics");
        return new EntryUsage(
                cpuNanos,
                metric(metrics, "trefoilpost_peer_bytes", "sent"),
                metric(metrics, "trefoilpost_peer_bytes", "received"));
    }

    private static double metric(String metrics, String name, String label) {
        return metrics.lines()
                .filter(line -> line.startsWith(name) && line.contains("\"" + label + "\""))
                .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                .sum();
    }

    /** Returns the resident memory in MiB. */
    double residentMib() throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) / KIB_PER_MIB;
            }
        }
        throw new IOException("the process shows no resident memory");
    }

    /** Returns the live heap after a collection in MiB: all classes, and those of this project alone. */
    double[] liveHeapMib() throws IOException {
        Process tool =
                new ProcessBuilder(JAVA_HOME + "/bin/jcmd", Long.toString(process.pid()), "GC.class_histogram").start();
        double total = 0;
        double own = 0;
        try (BufferedReader out = tool.inputReader(StandardCharsets.UTF_8)) {
            for (String line = out.readLine(); line != null; line = out.readLine()) {
                String[] words = line.trim().split("\\s+", -1);
                if (words[0].equals("Total")) {
                    total = Double.parseDouble(words[2]) / BYTES_PER_MIB;
                } else if (words.length > 3 && words[3].startsWith("org.trefoilpost.")) {
                    own += Double.parseDouble(words[2]) / BYTES_PER_MIB;
                }
            }
        }
        return new double[] {total, own};
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(END_WAIT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
