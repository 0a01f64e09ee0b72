package org.trefoilpost.verify.steps;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.verify.harness.Http;
import org.trefoilpost.verify.harness.Operator;
import org.trefoilpost.verify.harness.Waits;

/**
 * Steps of operators' and peers' wrong input.
 */
public final class OperatorSteps {
    private static final int OVERSIZED_BYTES = 1 << 30;
    private static final int READ_LIMIT_MILLIS = 20_000;
    private static final String REFUSED = "trefoilpost_operator_refused_total";
    private static final String REJECTED_FRAMES = "trefoilpost_peer_frames_rejected_total";

    private final World world = World.current();
    private HttpResponse<String> reply;
    private long versionBefore;
    private double countedBefore;
    private boolean closedByEntry;

    private Operator operator() {
        return world.operator(1);
    }

    private JsonNode body() {
        return Http.json(reply.body());
    }

    @When("an operator with a wrong token asks for the status")
    public void wrongToken() {
        countedBefore = operator().counter(REFUSED, "reason=\"wrong-token\"");
        reply = operator().withToken("guess").call("GET", "/v1/status", "");
    }

    @When("an operator puts a configuration with 3 faults")
    public void faultyConfiguration() {
        versionBefore = operator().configurationVersion();
        String text = "pools:\n  pricing:\n    budget: {floor: -1, reserve: hall}\n    timeoutMillis: never\n"
                + "weights: {bufferCost: 1, rollOutTime: 1, moves: 1}\n";
        reply = operator().call("PUT", "/v1/configuration", text);
    }

    @When("an operator proposes {string}")
    public void proposes(String intent) {
        reply = operator().propose(intent);
    }

    @Then("the operator is told status {int} and the type {word}")
    public void told(int status, String type) {
        assertEquals(
                status + " " + type,
                reply.statusCode() + " " + body().path("type").asText().replaceFirst("^.*:", ""));
    }

    @Then("the operators' counter of {word} has grown by {int}")
    public void operatorsCounter(String reason, int by) {
        assertEquals(by, operator().counter(REFUSED, "reason=\"" + reason + "\"") - countedBefore, 0.001);
    }

    @Then("{int} faults are listed, each with what is allowed")
    public void faultsListed(int count) {
        List<JsonNode> faults = new ArrayList<>();
        body().path("faults").forEach(faults::add);
        assertEquals(count, faults.size(), reply::body);
        assertTrue(
                faults.stream()
                        .noneMatch(fault -> fault.path("allowed").asText().isEmpty()),
                reply::body);
    }

    @Then("the configuration in force is the same as before")
    public void sameConfiguration() {
        assertEquals(versionBefore, operator().configurationVersion());
    }

    @Then("the operator's intent is refused and names {string}")
    public void intentRefused(String name) {
        assertTrue(reply.statusCode() / 100 == 4 || body().path("steps").isEmpty(), reply::body);
        assertTrue(reply.body().contains(name), reply::body);
    }

    @When("somebody sends a {word} frame to the peers' listener of entry 1")
    public void sendsFrame(String kind) throws IOException {
        countedBefore = rejected(kind);
        byte[] frame = kind.equals("oversized")
                ? ByteBuffer.allocate(Integer.BYTES).putInt(OVERSIZED_BYTES).array()
                : ByteBuffer.allocate(2 * Integer.BYTES)
                        .putInt(Integer.BYTES)
                        .putInt(-1)
                        .array();
        Endpoint peers = world.entry(1).peers();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(peers.host(), peers.port()));
            socket.setSoTimeout(READ_LIMIT_MILLIS);
            socket.getOutputStream().write(frame);
            closedByEntry = readsToItsEnd(socket);
        }
    }

    private static boolean readsToItsEnd(Socket socket) throws IOException {
        try {
            while (socket.getInputStream().read() >= 0) {
                // The entry's challenge comes before it closes.
            }
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (java.net.SocketException e) {
            return true;
        }
    }

    @Then("the connection is closed")
    public void closed() {
        assertTrue(closedByEntry);
    }

    @Then("the peers' counter of {word} has grown by {int}")
    public void peersCounter(String kind, int by) {
        Waits.until(() -> "the counter of " + kind + " has grown", () -> rejected(kind) >= countedBefore + by);
        assertEquals(by, rejected(kind) - countedBefore, 0.001);
    }

    private double rejected(String kind) {
        return operator().counter(REJECTED_FRAMES, "reason=\"" + kind + "\"");
    }
}
