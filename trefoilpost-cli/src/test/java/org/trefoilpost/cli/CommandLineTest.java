package org.trefoilpost.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerContext;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CommandLineTest {
    private static final String PLAN =
            "{\"digest\":\"d1\",\"state\":\"%s\",\"revision\":%d,\"steps\":[{\"number\":1,\"worker\":\"w1\","
                    + "\"state\":\"done\"},{\"number\":2}],\"refusals\":[{\"subject\":\"w2\",\"reason\":\"budget\"}]}";
    private static final String VALID = "pools: {a: {budget: {floor: 1, reserve: none}}}\n"
            + "weights: {bufferCost: 1, rollOutTime: 1, moves: 1}\n";

    @TempDir
    Path directory;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();
    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private final List<String> cannedResponses = Collections.synchronizedList(new ArrayList<>());
    private ServerContext server;
    private int status = 200;

    @BeforeEach
    void start() throws Exception {
        server = HttpServers.forAddress(new InetSocketAddress("127.0.0.1", 0))
                .listenBlockingAndAwait((context, request, responses) -> {
                    String body = request.payloadBody().toString(StandardCharsets.UTF_8);
                    requests.add(request.method() + " " + request.requestTarget() + " " + body + " "
                            + request.headers().get("authorization", "-"));
                    String answer = cannedResponses.size() > 1 ? cannedResponses.remove(0) : cannedResponses.get(0);
                    return responses
                            .newResponse(HttpResponseStatus.of(status, ""))
                            .payloadBody(
                                    context.executionContext().bufferAllocator().fromUtf8(answer));
                });
        cannedResponses.add("{}");
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
    }

    private String address() {
        return "127.0.0.1:" + ((InetSocketAddress) server.listenAddress()).getPort();
    }

    private static String closedAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private ExitCode run(String commandLine) {
        return run(Map.of("TREFOILPOST_ENTRY", address(), "TREFOILPOST_OPERATOR", "amal"), commandLine);
    }

    private ExitCode run(Map<String, String> environment, String commandLine) {
        CommandLine command = new CommandLine(environment, new PrintStream(out), new PrintStream(err));
        return command.run(commandLine.split(" "));
    }

    private String file(String text) throws IOException {
        return Files.writeString(directory.resolve("file"), text).toString();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '"',
            value = {
                "status|GET /v1/status ",
                "configuration show|GET /v1/configuration ",
                "pool list|GET /v1/pools ",
                "pool show pricing|GET /v1/pools/pricing ",
                "plan drain --rack r1|POST /v1/plans {'kind':'drain','rack':'r1'}",
                "plan drain --data-centre d|POST /v1/plans {'kind':'drain','dataCentre':'d'}",
                "plan grow --pool p --by 2|POST /v1/plans {'kind':'grow','pool':'p','by':2}",
                "plan shrink --by 1 --pool p|POST /v1/plans {'kind':'shrink','pool':'p','by':1}",
                "plan move --worker w --pool p|POST /v1/plans {'kind':'move','worker':'w','pool':'p'}",
                "plan wave|POST /v1/plans {'kind':'wave'}",
                "plan wave --pool p|POST /v1/plans {'kind':'wave','pool':'p'}",
                "plan release --worker w|POST /v1/plans {'kind':'release','worker':'w'}",
                "plan list|GET /v1/plans ",
                "plan show a/b|GET /v1/plans/a%2Fb ",
                "plan confirm d1|POST /v1/plans/d1/confirm {'operator':'amal'}",
                "plan cancel d1|POST /v1/plans/d1/cancel {'operator':'amal'}",
                "plan explain d1|GET /v1/plans/d1/explain ",
                "events --pool p --since 5|GET /v1/events?pool=p&since=5 ",
                "job show j1|GET /v1/jobs/j1 ",
                "job list|GET /v1/jobs ",
                "job cancel j1 j2|POST /v1/jobs/cancel {'jobs':['j1','j2']}"
            })
    void command_sendsItsRequest(String commandLine, String request) {
        assertEquals(ExitCode.OK, run(commandLine + " --token t0"), err::toString);
        assertEquals(
                List.of(request.replace('\'', '"').strip() + (request.startsWith("GET") ? " " : "") + " Bearer t0"),
                requests);
    }

    @Test
    void apply_sendsTheFileWithTheExpectedVersion() throws IOException {
        assertEquals(ExitCode.OK, run("apply " + file(VALID) + " --expected 7"));
        assertEquals(List.of("PUT /v1/configuration?expected=7 " + VALID + " -"), requests);
    }

    @Test
    void jobSubmit_sendsTheFile() throws IOException {
        assertEquals(ExitCode.OK, run("job submit " + file("{\"kind\":\"k\"}")));
        assertEquals(List.of("POST /v1/jobs {\"kind\":\"k\"} -"), requests);
    }

    @Test
    void faultsOfTheFileAndTheFlags_areReportedAtOnceAndNothingIsSent() throws IOException {
        String path = file("pools: {a: {budget: {floor: -1}}}");
        ExitCode exitCode =
                run("apply " + path + " --expected x --output xml --timeout 0 --colour --rack r --entry here");
        assertEquals(ExitCode.WRONG_USAGE, exitCode);
        String text = err.toString(StandardCharsets.UTF_8);
        for (String part : List.of(
                "budget.floor",
                "budget.reserve",
                "weights",
                "--expected x",
                "--output xml",
                "--timeout 0",
                "--colour",
                "--rack",
                "'here'")) {
            assertTrue(text.contains(part), () -> part + " in " + text);
        }
        assertEquals(List.of(), requests);
    }

    @ParameterizedTest
    @CsvSource({
        "plan drain",
        "plan drain --rack r --worker w",
        "plan grow --pool p",
        "plan grow --pool p --by 0",
        "pool show",
        "pool show a b",
        "job cancel",
        "fly",
        "apply /no/such/file",
        "plan show d --entry"
    })
    void wrongUsage_sendsNothing(String commandLine) {
        assertEquals(ExitCode.WRONG_USAGE, run(commandLine));
        assertFalse(err.toString(StandardCharsets.UTF_8).isEmpty());
        assertEquals(List.of(), requests);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "200|{}|OK",
                "409|{\"detail\":\"version 8 is in force\"}|CONFLICT",
                "422|{\"faults\":[{\"path\":\"a\",\"value\":\"b\",\"allowed\":\"c\"}]}|REFUSED",
                "503|{\"outcome\":\"unknown\"}|OUTCOME_UNKNOWN",
                "503|{}|REFUSED",
                "504||OUTCOME_UNKNOWN",
                "200|{\"state\":\"void\"}|CONFLICT"
            })
    void statusAndBody_determineTheExitCode(int answered, String body, ExitCode exitCode) {
        status = answered;
        cannedResponses.set(0, body == null ? "" : body);
        assertEquals(exitCode, run("plan confirm d1"));
        assertEquals(answered != 200, err.size() > 0);
    }

    @Test
    void unreachableEntry_theNextIsTried_andUnreachableIsReturnedIfNoneIsLeft() throws IOException {
        String closed = closedAddress();
        Map<String, String> none = Map.of("TREFOILPOST_ENTRY", address());
        assertEquals(ExitCode.OK, run(none, "plan confirm d1 --entry " + closed + "," + address()));
        assertEquals(1, requests.size());
        assertEquals(ExitCode.UNREACHABLE, run(none, "plan confirm d1 --entry " + closed));
    }

    @Test
    void connectionClosedAfterTheRequest_isOutcomeUnknownAndNotRetried() throws Exception {
        try (ServerSocket broken = new ServerSocket(0)) {
            Thread closer = new Thread(() -> readAndClose(broken));
            closer.start();
            String entry = "127.0.0.1:" + broken.getLocalPort() + "," + address();
            assertEquals(ExitCode.OUTCOME_UNKNOWN, run("plan confirm d1 --entry " + entry));
            closer.join();
            assertEquals(List.of(), requests);
        }
    }

    private static void readAndClose(ServerSocket socket) {
        try (var connection = socket.accept()) {
            assertTrue(connection.getInputStream().read() >= 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Test
    void planShow_printsStepsAndHyphensForMissingFields() {
        cannedResponses.set(0, String.format(PLAN, "running", 1));
        assertEquals(ExitCode.OK, run("plan show d1"));
        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals("measures.moves: -", lines.get(5));
        assertEquals("1       w1      -     -     -    done   -         -", lines.get(7));
        assertEquals("w2       budget", lines.get(10));
    }

    @Test
    void outputJson_printsTheResponseUnchanged() {
        cannedResponses.set(0, "{\"b\" : 1,\"a\":2}");
        assertEquals(ExitCode.OK, run("pool list --output json"));
        assertEquals("{\"b\" : 1,\"a\":2}\n", out.toString(StandardCharsets.UTF_8));
    }

    @ParameterizedTest
    @CsvSource({"done,OK", "cancelled,REFUSED", "void,CONFLICT"})
    void planWatch_printsEachChangeUntilThePlanEnds(String end, ExitCode exitCode) {
        cannedResponses.clear();
        Stream.of("confirmed 1", "running 2", "running 2", end + " 3")
                .map(text -> text.split(" "))
                .forEach(pair -> cannedResponses.add(String.format(PLAN, pair[0], Integer.parseInt(pair[1]))));
        assertEquals(exitCode, run("plan watch d1"));
        assertEquals(3, out.toString(StandardCharsets.UTF_8).lines().count());
        assertEquals("GET /v1/plans/d1?after=2&wait=10000  -", requests.get(3));
    }

    @Test
    void helpAndVersion_needNoEntry() {
        assertEquals(ExitCode.OK, run(Map.of(), "--help"));
        assertTrue(out.toString(StandardCharsets.UTF_8).contains("plan drain"));
        assertEquals(ExitCode.OK, run(Map.of(), "version"));
        assertEquals(ExitCode.OK, run(Map.of(), "--version"));
    }
}
