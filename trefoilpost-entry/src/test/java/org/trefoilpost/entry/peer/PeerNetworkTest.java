package org.trefoilpost.entry.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.WorkerId;

class PeerNetworkTest {
    private static final Endpoint ANY_PORT = Endpoint.of("127.0.0.1", 0);
    private static final EntryId ONE = EntryId.of("e-1");
    private static final EntryId TWO = EntryId.of("e-2");
    private static final String REJECTED = "trefoilpost.peer.frames.rejected";
    private static final long WAIT_SECONDS = 20;

    private final EntryMetrics metrics = EntryMetrics.create();
    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    private PeerNetwork server;
    private PeerNetwork client;

    @BeforeEach
    void start() throws Exception {
        server = PeerNetwork.start(ONE, ANY_PORT, "secret", this::received, metrics);
        client = PeerNetwork.start(TWO, ANY_PORT, "secret", (from, message, reply) -> {}, EntryMetrics.create());
    }

    @AfterEach
    void close() {
        client.close();
        server.close();
    }

    @Test
    void carriesMessagesAndReplies() throws Exception {
        client.connect(ONE, server.endpoint());
        await(() -> client.connectedPeers().contains(ONE));
        client.send(ONE, ConfigurationWanted.of(4));
        assertEquals("ConfigurationWanted(4)", take().toString());
        DrainAnswer answer = (DrainAnswer) client.call(
                        ONE,
                        id -> DrainQuery.of(id, CordonChange.of(PlanDigest.of("p"), 1, 1, WorkerId.of("w"), true)),
                        10_000)
                .get(WAIT_SECONDS, TimeUnit.SECONDS);
        assertEquals(6, answer.inFlight());
    }

    @Test
    void tellsAnEndedProcessFromALivingOne() throws Exception {
        client.connect(ONE, server.endpoint());
        await(() -> client.connectedPeers().contains(ONE));
        assertFalse(client.isRefused(ONE));
        server.close();
        await(() -> client.isRefused(ONE));
        assertFalse(client.isRefused(EntryId.of("e-9")), "a peer that is not known");
    }

    /** Guards against waiting for ever for a peer whose connection went silent before the peer sent its challenge. */
    @Test
    void connectsAgainIfAConnectionStaysSilent() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            silent.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            client.connect(ONE, Endpoint.of("127.0.0.1", silent.getLocalPort()));
            Socket first = silent.accept();
            silent.accept().close();
            assertEquals(-1, first.getInputStream().read(), "the silent connection is closed");
            first.close();
        }
    }

    /** Guards against a connection that remains for ever because its link was closed before the peer sent its challenge. */
    @Test
    void closesAConnectionThatIsEstablishedAfterItsLinkWasClosed() throws Exception {
        try (ServerSocket peer = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            peer.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            client.connect(ONE, Endpoint.of("127.0.0.1", peer.getLocalPort()));
            try (Socket accepted = peer.accept()) {
                client.disconnect(ONE);
                writeFrame(accepted, PeerCodec.encode(Challenge.of(new byte[16])));
                readUntilClosed(accepted);
            }
        }
    }

    @Test
    void rejectsAWrongSecret() throws Exception {
        PeerNetwork intruder = PeerNetwork.start(
                EntryId.of("e-3"), ANY_PORT, "guess", (from, message, reply) -> {}, EntryMetrics.create());
        intruder.connect(ONE, server.endpoint());
        await(() -> metrics.counterValue(REJECTED, "unauthenticated") > 0);
        assertTrue(received.isEmpty());
        intruder.close();
    }

    @Test
    void rejectsBadFramesWithoutClosingOtherConnections() throws Exception {
        client.connect(ONE, server.endpoint());
        await(() -> client.connectedPeers().contains(ONE));
        sendRaw(Integer.MAX_VALUE, new byte[8]);
        await(() -> metrics.counterValue(REJECTED, "oversized") > 0);
        sendRaw(3, new byte[] {99, 1, 2});
        await(() -> metrics.counterValue(REJECTED, "malformed") > 0);
        client.send(ONE, ConfigurationWanted.of(5));
        assertEquals("ConfigurationWanted(5)", take().toString());
    }

    @Test
    void reportsACallWithoutALinkAsNotSent() {
        ExecutionException e = assertThrows(
                ExecutionException.class,
                () -> client.call(
                                ONE,
                                id -> DrainQuery.of(
                                        id, CordonChange.of(PlanDigest.of("p"), 1, 1, WorkerId.of("w"), true)),
                                1_000)
                        .get(WAIT_SECONDS, TimeUnit.SECONDS));
        assertFalse(((PeerCallException) e.getCause()).possiblySent());
    }

    @Test
    void failsAnOpenCallAsPossiblySentWhenThePeerCloses() throws Exception {
        client.connect(ONE, server.endpoint());
        await(() -> client.connectedPeers().contains(ONE));
        var call = client.call(
                ONE,
                id -> DrainQuery.of(id, CordonChange.of(PlanDigest.of("p"), 99, 1, WorkerId.of("w"), true)),
                60_000);
        take();
        server.close();
        ExecutionException e = assertThrows(ExecutionException.class, () -> call.get(WAIT_SECONDS, TimeUnit.SECONDS));
        assertTrue(((PeerCallException) e.getCause()).possiblySent());
    }

    private void received(EntryId from, PeerMessage message, Consumer<PeerReply> reply) {
        received.add(message);
        if (message instanceof DrainQuery query && query.cordon().step() != 99) {
            reply.accept(DrainAnswer.of(query.callId(), 1, 6));
        }
    }

    private void sendRaw(int length, byte[] frame) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", server.endpoint().port())) {
            write(socket, length, frame);
            // Skips the challenge, then waits until the server closes the connection.
            readUntilClosed(socket);
        }
    }

    private static void writeFrame(Socket socket, byte[] frame) throws Exception {
        write(socket, frame.length, frame);
    }

    private static void write(Socket socket, int length, byte[] frame) throws Exception {
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(length);
        out.write(frame);
        out.flush();
    }

    private static void readUntilClosed(Socket socket) throws Exception {
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
        while (socket.getInputStream().read() >= 0) {
            // Skips what the other end sends.
        }
    }

    private PeerMessage take() throws InterruptedException {
        PeerMessage message = received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        assertTrue(message != null, "no message received within the timeout");
        return message;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNanos, "condition not met within the timeout");
            Thread.sleep(10);
        }
    }
}
