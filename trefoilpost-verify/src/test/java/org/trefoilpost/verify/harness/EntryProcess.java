package org.trefoilpost.verify.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.trefoilpost.model.Endpoint;

/**
 * An entry that runs as a process of its own and can be killed, frozen and thawed.
 */
public final class EntryProcess implements AutoCloseable {
    private static final List<Process> STARTED = new CopyOnWriteArrayList<>();
    private static final long START_LIMIT_SECONDS = 60;
    private static final long END_LIMIT_SECONDS = 15;

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
    }

    private final String id;
    private final Process process;
    private final List<JsonNode> log = new CopyOnWriteArrayList<>();
    private final List<String> plainLines = new CopyOnWriteArrayList<>();
    private final CompletableFuture<String> running = new CompletableFuture<>();

    private EntryProcess(String id, Process process) {
        this.id = id;
        this.process = process;
    }

    /**
     * Starts an entry; its listeners take free ports.
     *
     * @param id  the entry's name, not null
     * @param platform  the address by which it reaches the platform, not null
     * @param flags  further flags, not null
     * @return the entry, perhaps not running yet
     */
    public static EntryProcess start(String id, Endpoint platform, String... flags) {
        List<String> command = new ArrayList<>(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx96m",
                "-Xshare:auto",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "org.trefoilpost.entry.Main"));
        command.addAll(List.of("--entry-id", id, "--data-centre", "dc1", "--platform", platform.toString()));
        for (String listener : List.of("caller", "peer", "operator")) {
            command.addAll(List.of("--" + listener + "-listen", "127.0.0.1:0"));
        }
        command.addAll(List.of(flags));
        try {
            Process process = new ProcessBuilder(command).start();
            STARTED.add(process);
            EntryProcess entry = new EntryProcess(id, process);
            entry.collect();
            return entry;
        } catch (IOException e) {
            throw new UncheckedIOException("the entry " + id + " could not be started", e);
        }
    }

    private void collect() {
        readLines(process.inputReader(StandardCharsets.UTF_8), running::complete);
        readLines(process.errorReader(StandardCharsets.UTF_8), this::logged);
        process.onExit()
                .thenRun(() -> running.completeExceptionally(
                        new AssertionError("the entry " + id + " ended: " + plainLines + lastLines())));
    }

    private void logged(String line) {
        JsonNode node = Http.json(line);
        if (node.isObject()) {
            log.add(node);
        } else {
            plainLines.add(line);
        }
    }

    private static void readLines(BufferedReader reader, java.util.function.Consumer<String> receiver) {
        Thread thread = new Thread(() -> {
            try (reader) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    receiver.accept(line);
                }
            } catch (IOException e) {
                // The process has ended, and its pipe with it.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Waits until the entry has printed its addresses.
     *
     * @return this entry
     */
    public EntryProcess awaitRunning() {
        addresses();
        return this;
    }

    private String[] addresses() {
        return running.orTimeout(START_LIMIT_SECONDS, TimeUnit.SECONDS).join().split(" ");
    }

    public String id() {
        return id;
    }

    public Endpoint callers() {
        return Endpoint.parse(addresses()[1]);
    }

    public Endpoint operators() {
        return Endpoint.parse(addresses()[3]);
    }

    /**
     * Returns the entry's peers' listener, from its log.
     *
     * @return the address, not null
     */
    public Endpoint peers() {
        addresses();
        Waits.until(
                "the entry has logged its start", () -> !events("entry-started").isEmpty());
        return Endpoint.parse(events("entry-started").get(0).path("peers").asText());
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns the lines of a kind from the entry's log.
     *
     * @param event  the event's name, not null
     * @return the lines in their order, not null
     */
    public List<JsonNode> events(String event) {
        return log.stream()
                .filter(line -> line.path("event").asText().equals(event))
                .toList();
    }

    /**
     * Returns the last lines of the log, for messages.
     *
     * @return the lines, not null
     */
    public List<JsonNode> lastLines() {
        List<JsonNode> all = List.copyOf(log);
        return all.subList(Math.max(0, all.size() - 12), all.size());
    }

    /** Kills the process without any notice to it. */
    public void kill() {
        process.destroyForcibly();
        process.onExit().orTimeout(END_LIMIT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** Asks the process to stop and waits for its end. */
    public void stopGracefully() {
        process.destroy();
        process.onExit().orTimeout(2 * END_LIMIT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** Freezes the process. */
    public void freeze() {
        signal("-STOP");
    }

    /** Lets a frozen process go on. */
    public void thaw() {
        signal("-CONT");
    }

    private void signal(String signal) {
        try {
            int status = new ProcessBuilder("kill", signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            if (status != 0) {
                throw new AssertionError("kill " + signal + " of " + id + " ended with " + status);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        STARTED.remove(process);
    }
}
