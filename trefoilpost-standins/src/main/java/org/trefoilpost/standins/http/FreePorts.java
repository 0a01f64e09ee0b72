package org.trefoilpost.standins.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.jboss.logging.Logger;

/**
 * Hands out ports for programs that bind them later, from below the range that the system takes ports from itself.
 *
 * <p>A port of the system's range can be taken by any connection or listener before the program binds it. Each port is
 * handed out once in a process, and processes start at different ports.
 */
public final class FreePorts {
    private static final Logger LOG = Logger.getLogger(FreePorts.class);
    private static final Path SYSTEM_RANGE = Path.of("/proc/sys/net/ipv4/ip_local_port_range");
    /** Where the system's range begins by default on Linux; it begins higher on other systems. */
    private static final int DEFAULT_SYSTEM_START = 32_768;

    private static final int START = 10_000;
    private static final int MIN_COUNT = 1_000;
    /** Spreads the starts of processes with successive ids over the range. */
    private static final long PROCESS_STEP = 7_919;

    private static final FreePorts SHARED =
            new FreePorts(systemStart(SYSTEM_RANGE), ProcessHandle.current().pid());

    private final int count;
    private final long offset;
    private int handedOut;

    FreePorts(int systemStart, long processId) {
        this.count = systemStart - START;
        this.offset = processId * PROCESS_STEP;
    }

    /**
     * Returns a port of the loopback address that is free.
     *
     * @return the port, never returned before in this process
     * @throws IOException if no port is left
     */
    public static int next() throws IOException {
        return SHARED.take();
    }

    synchronized int take() throws IOException {
        while (handedOut < count) {
            int port = START + (int) ((offset + handedOut) % count);
            handedOut++;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IOException("all " + count + " ports from " + START + " have been handed out or are in use");
    }

    /** Returns the first port that the system may take itself, the default if the file does not tell or leaves too few. */
    static int systemStart(Path range) {
        try {
            int start = Integer.parseInt(firstNumber(range));
            if (start >= START + MIN_COUNT) {
                return start;
            }
            LOG.warnf(
                    "the system takes ports from %d itself; ports below %d are handed out all the same",
                    start, DEFAULT_SYSTEM_START);
        } catch (IOException | NumberFormatException e) {
            LOG.debugf(e, "the range of the system's ports is not known");
        }
        return DEFAULT_SYSTEM_START;
    }

    /** Returns the first word of the file, empty if it has none. */
    static String firstNumber(Path range) throws IOException {
        // The kernel gives the whole file to the first read alone, and that of Files.readString asks for one byte.
        try (BufferedReader reader = Files.newBufferedReader(range)) {
            return Optional.ofNullable(reader.readLine()).orElse("").trim().split("\\s+")[0];
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            LOG.debugf(e, "port %d is in use", port);
            return false;
        }
    }
}
