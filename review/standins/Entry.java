package review;

import java.io.IOException;
import java.net.BindException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** An entry as a process of its own, started with the command of the deploy file. */
final class Entry {
    private static final Set<Integer> USED = new HashSet<>();
    private static final Path ROOT = Path.of("").toAbsolutePath();

    final String name;
    final String front;
    private final String ready;
    private final World world;
    private final Path settings;
    private final Path log;
    private Process process;

    Entry(World world, String name) throws Exception {
        this.world = world;
        this.name = name;
        int[] ports = freePorts(4);
        this.front = "127.0.0.1:" + ports[0];
        this.ready = "127.0.0.1:" + ports[1];
        this.settings = world.directory.resolve(name + ".yaml");
        this.log = world.directory.resolve(name + ".log");
        Files.writeString(settings, String.join(
                "\n",
                "nodeName: \"" + name + "\"",
                "role: \"entry\"",
                "machineClass: \"front\"",
                "serves: [\"front\"]",
                "ip: \"127.0.0.1\"",
                "zone: \"hall-ain\"",
                "region: \"casa\"",
                "zones: {hall-ain: \"casa\"}",
                "listenAddrs: {front: \"" + front + "\", ready: \"" + ready + "\"}",
                "internalPorts: [" + ports[2] + ", " + ports[3] + "]",
                "bootstrap: true",
                "limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}",
                "dataDir: null",
                "discovery: \"platform\"",
                "entry: \"vip\"",
                "heartbeatMs: 1500",
                "contracts: [base, drain, config, cost, recover, sched, platform, advice, upkeep, sharing]",
                "bounds: {stableWindowMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, configApplyMs: 2000,"
                        + " rollbackSlackMs: 250, maxStretchMs: 5000, recoveryS: 12, holdMaxMs: 10000, stopMs: 200,"
                        + " gangWaitMs: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14,"
                        + " status_s: 120, noticeMs: 4500, moveS: 1.5, upkeepS: 2, fencingEnforced: true,"
                        + " leaseMs: 3000}",
                "orders: \"call\"",
                "platform: {address: \"" + world.store.open(name) + "\", form: \"kv\", writesPerS: 400,"
                        + " readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}",
                "cloudApi: {address: \"" + world.machines.open() + "\", ratePerS: 64.0, duties: [], dutyPerS: 64.0}",
                ""));
    }

    /** Returns free ports from below the range that the system gives to connections. */
    private static int[] freePorts(int count) throws IOException {
        int[] ports = new int[count];
        for (int found = 0; found < count; ) {
            int port = 20_000 + (int) (Math.random() * 10_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                if (USED.add(port)) {
                    ports[found++] = socket.getLocalPort();
                }
            } catch (BindException e) {
                // Taken; another one is tried.
            }
        }
        return ports;
    }

    void start() throws IOException {
        String line = Files.readAllLines(ROOT.resolve("deploy/system.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        List<String> words = new ArrayList<>(command);
        int metrics = words.indexOf("--metrics-port");
        if (metrics >= 0) {
            // The entries share one machine here, so each needs a port of its own.
            words.set(metrics + 1, Integer.toString(freePorts(1)[0]));
        }
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.directory(ROOT.toFile());
        // As on the platform, a program gets none but these of its caller's variables.
        builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("TREFOILPOST_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        world.record("entry " + name + " started");
    }

    boolean isReady() {
        try {
            HttpURLConnection probe = (HttpURLConnection) new URL("http://" + ready + "/ready").openConnection();
            probe.setConnectTimeout(500);
            probe.setReadTimeout(500);
            return probe.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** SIGKILL. Does not wait for the end. */
    void kill() {
        world.record("entry " + name + " killed");
        process.destroyForcibly();
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    List<String> logLines() throws IOException {
        return Files.readAllLines(log);
    }

    void end() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
