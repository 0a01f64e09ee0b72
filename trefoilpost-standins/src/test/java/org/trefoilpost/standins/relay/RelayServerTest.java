package org.trefoilpost.standins.relay;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.http.Probe;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RelayServerTest {
    private ServerSocket target;
    private RelayServer relay;
    private Probe control;

    @BeforeEach
    void start() throws IOException {
        target = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        relay = RelayServer.start(new RelaySettings().target(Endpoint.of("127.0.0.1", target.getLocalPort())));
        control = Probe.of(relay.control());
    }

    @AfterEach
    void close() throws IOException {
        relay.close();
        target.close();
    }

    private Socket connect() throws IOException {
        return new Socket(relay.endpoint().host(), relay.endpoint().port());
    }

    @Test
    void forwardsAllBytesInOrderAndTheEndOfEachDirection() throws IOException {
        byte[] sent = new byte[3_000_000];
        new Random(5).nextBytes(sent);
        control.faults("{'delayMillis':1}");
        try (Socket client = connect();
                Socket server = target.accept()) {
            CompletableFuture<Void> sending = CompletableFuture.runAsync(() -> send(client, sent));
            assertArrayEquals(sent, server.getInputStream().readAllBytes());
            sending.join();
            server.getOutputStream().write(7);
            server.shutdownOutput();
            assertArrayEquals(new byte[] {7}, client.getInputStream().readAllBytes());
        }
    }

    private static void send(Socket socket, byte[] bytes) {
        try {
            socket.getOutputStream().write(bytes);
            socket.shutdownOutput();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void cutClosesOpenConnectionsAndNewOnes() throws IOException {
        try (Socket client = connect();
                Socket server = target.accept()) {
            client.getOutputStream().write(1);
            assertEquals(1, server.getInputStream().read());
            control.faults("{'cut':true}");
            assertEquals(-1, server.getInputStream().read());
            assertEquals(-1, client.getInputStream().read());
        }
        try (Socket client = connect()) {
            assertEquals(-1, client.getInputStream().read());
        }
        control.faults("{'cut':false}");
        try (Socket client = connect();
                Socket server = target.accept()) {
            client.getOutputStream().write(2);
            assertEquals(2, server.getInputStream().read());
        }
    }

    @Test
    void dropClosesAfterTheExactNumberOfBytes() throws IOException {
        control.faults("{'dropAfterBytes':10}");
        try (Socket client = connect();
                Socket server = target.accept()) {
            client.getOutputStream().write(new byte[100]);
            assertEquals(10, server.getInputStream().readAllBytes().length);
        }
    }

    @Test
    void halfOpenForwardsNothing() throws IOException {
        control.faults("{'halfOpen':true}");
        try (Socket client = connect();
                Socket server = target.accept()) {
            client.getOutputStream().write(9);
            for (int i = 0; i < 20; i++) {
                control.faults("{'delayMillis':0}");
            }
            control.faults("{'cut':true}");
            assertEquals(-1, server.getInputStream().read());
        }
    }

    @Test
    void silencedConnectionsForwardNothingWhileNewOnesDo() throws IOException {
        try (Socket silentClient = connect();
                Socket silentServer = target.accept()) {
            silentClient.getOutputStream().write(1);
            assertEquals(1, silentServer.getInputStream().read());
            control.faults("{'silencedShare':1}");
            silentClient.getOutputStream().write(2);
            try (Socket client = connect();
                    Socket server = target.accept()) {
                client.getOutputStream().write(3);
                assertEquals(3, server.getInputStream().read());
            }
            control.faults("{'cut':true}");
            assertEquals(-1, silentServer.getInputStream().read());
        }
    }

    @Test
    void answersAreHeldWhileRequestsAreForwarded() throws IOException {
        try (Socket client = connect();
                Socket server = target.accept()) {
            control.faults("{'holdAnswers':true}");
            server.getOutputStream().write(5);
            client.getOutputStream().write(4);
            assertEquals(4, server.getInputStream().read());
            assertEquals(0, client.getInputStream().available());
            control.faults("{'holdAnswers':false}");
            assertEquals(5, client.getInputStream().read());
        }
    }

    @Test
    void heldBytesGoOnWhenHalfOpenIsTakenBack() throws IOException {
        control.faults("{'halfOpen':true}");
        try (Socket client = connect();
                Socket server = target.accept()) {
            client.getOutputStream().write(9);
            control.faults("{'halfOpen':false}");
            assertEquals(9, server.getInputStream().read());
        }
    }
}
