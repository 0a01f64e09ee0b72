package org.trefoilpost.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.trefoilpost.standins.http.FreePorts;
import org.trefoilpost.standins.platform.PlatformServer;
import org.trefoilpost.standins.platform.PlatformSettings;

class MainTest {
    private static final long WAIT_SECONDS = 30;

    @TempDir
    private Path directory;

    /** Guards against a process that ends at once, with no answer to anybody, if it is told to stop while it starts. */
    @Test
    void entryThatIsStoppedWhileItStartsStopsGracefully() throws Exception {
        Path log = directory.resolve("log");
        int peerPort = FreePorts.next();
        try (PlatformServer platform = PlatformServer.start(new PlatformSettings().listLagMillis(0))) {
            Process process = startProcess(platform, peerPort, log);
            try {
                // The listener for peers is the first one to open.
                awaitListener(peerPort);
                process.destroy();
                assertTrue(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS), "the entry ends by itself");
            } finally {
                process.destroyForcibly().waitFor();
            }
            String lines = Files.readString(log);
            assertEquals(Main.EXIT_OK, process.exitValue(), lines);
            assertTrue(lines.contains("entry-stopped"), lines);
        }
    }

    /** Guards against the exit code of a graceful stop after a start that failed. */
    @Test
    void entryThatCannotStartSaysSo() throws Exception {
        Path log = directory.resolve("log");
        try (PlatformServer platform = PlatformServer.start(new PlatformSettings().listLagMillis(0));
                ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Process process = startProcess(platform, taken.getLocalPort(), log);
            try {
                assertTrue(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS), "the entry ends by itself");
            } finally {
                process.destroyForcibly().waitFor();
            }
            String lines = Files.readString(log);
            assertEquals(Main.EXIT_FAILED, process.exitValue(), lines);
            assertTrue(lines.contains("the entry could not start"), lines);
        }
    }

    private static Process startProcess(PlatformServer platform, int peerPort, Path log) throws IOException {
        return new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Main.class.getName(),
                        "--entry-id",
                        "e1",
                        "--data-centre",
                        "dc1",
                        "--platform",
                        platform.endpoint().toString(),
                        "--caller-listen",
                        "127.0.0.1:0",
                        "--peer-listen",
                        "127.0.0.1:" + peerPort,
                        "--operator-listen",
                        "127.0.0.1:0"))
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
    }

    private static void awaitListener(int port) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (true) {
            try {
                new Socket(InetAddress.getLoopbackAddress(), port).close();
                return;
            } catch (ConnectException e) {
                if (System.nanoTime() > endNanos) {
                    throw e;
                }
                Thread.sleep(1);
            }
        }
    }
}
