package org.trefoilpost.standins.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests which ports are handed out.
 */
class FreePortsTest {
    private static final Path SYSTEM_RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");

    @TempDir
    private Path directory;

    @Test
    void eachPortIsHandedOutOnceAndBelowTheSystemsRange() throws IOException {
        int systemStart = FreePorts.systemStart(SYSTEM_RANGE);
        Set<Integer> ports = new HashSet<>();
        for (int i = 0; i < 500; i++) {
            int port = FreePorts.next();
            assertTrue(port < systemStart, () -> "port " + port);
            assertTrue(ports.add(port), () -> "port " + port + " twice");
        }
    }

    @Test
    void portInUseIsPassedOver() throws IOException {
        int first = new FreePorts(32_768, 1).take();
        try (ServerSocket taken = new ServerSocket(first, 1, InetAddress.getLoopbackAddress())) {
            int next = new FreePorts(32_768, 1).take();
            assertTrue(next > taken.getLocalPort(), () -> "port " + next);
        }
    }

    @Test
    void processesWithSuccessiveIdsStartFarApart() throws IOException {
        int first = new FreePorts(32_768, 100).take();
        int second = new FreePorts(32_768, 101).take();
        assertTrue(Math.abs(first - second) > 1_000, () -> first + " and " + second);
    }

    @Test
    void exhaustedRangeIsAnError() throws IOException {
        FreePorts single = new FreePorts(10_001, 1);
        try {
            single.take();
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("in use"), e::getMessage);
        }
        assertThrows(IOException.class, single::take);
    }

    @Test
    void startOfTheSystemsRangeIsReadOrElseTheDefault() throws IOException {
        assertEquals(20_000, FreePorts.systemStart(file("20000\t60999\n")));
        assertEquals(32_768, FreePorts.systemStart(file("1024\t65535\n")));
        assertEquals(32_768, FreePorts.systemStart(file("")));
        assertEquals(32_768, FreePorts.systemStart(directory.resolve("missing")));
    }

    @Test
    void startOfThisSystemsRangeIsReadWhole() throws IOException {
        assumeTrue(Files.exists(SYSTEM_RANGE));
        byte[] bytes = new byte[100];
        try (InputStream file = Files.newInputStream(SYSTEM_RANGE)) {
            int length = file.read(bytes);
            String copy = new String(bytes, 0, length, StandardCharsets.US_ASCII);
            assertEquals(FreePorts.systemStart(file(copy)), FreePorts.systemStart(SYSTEM_RANGE));
            assertEquals(copy.split("\\s+")[0], FreePorts.firstNumber(SYSTEM_RANGE));
        }
    }

    private Path file(String text) throws IOException {
        return Files.writeString(directory.resolve("range"), text);
    }
}
