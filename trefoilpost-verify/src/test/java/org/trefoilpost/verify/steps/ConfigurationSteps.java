package org.trefoilpost.verify.steps;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.verify.harness.EntryProcess;
import org.trefoilpost.verify.harness.Http;
import org.trefoilpost.verify.harness.Operator;
import org.trefoilpost.verify.harness.Waits;

/**
 * Steps of changes of the configuration.
 */
public final class ConfigurationSteps {
    private final World world = World.current();
    private final List<HttpResponse<String>> replies = new ArrayList<>();
    private int floor;
    private long answeredMillis;

    private HttpResponse<String> put(int entry, int newFloor, String query) {
        return world.operator(entry)
                .call("PUT", "/v1/configuration" + query, world.fleet().configuration(newFloor));
    }

    private HttpResponse<String> last() {
        return replies.get(replies.size() - 1);
    }

    private long version() {
        return Http.json(last().body()).path("version").asLong();
    }

    @When("an operator of entry {int} puts the floor {int}")
    public void putFloor(int entry, int newFloor) {
        floor = newFloor;
        replies.add(put(entry, newFloor, ""));
        answeredMillis = System.currentTimeMillis();
    }

    @When("operators of entries 1 and 2 put the floors 0 and 3 over the same version at once")
    public void twoAtOnce() {
        String query = "?expected=" + world.operator(1).configurationVersion();
        CompletableFuture<HttpResponse<String>> first = CompletableFuture.supplyAsync(() -> put(1, 0, query));
        CompletableFuture<HttpResponse<String>> second = CompletableFuture.supplyAsync(() -> put(2, 3, query));
        replies.add(first.join());
        replies.add(second.join());
        answeredMillis = System.currentTimeMillis();
    }

    @Then("the operator's change is accepted")
    public void accepted() {
        assertEquals(200, last().statusCode(), last()::body);
    }

    @Then("one change is accepted and the other operator is told of the conflict")
    public void oneAccepted() {
        List<Integer> statuses =
                replies.stream().map(HttpResponse::statusCode).sorted().toList();
        assertEquals(
                List.of(200, 409),
                statuses,
                () -> replies.stream().map(HttpResponse::body).toList().toString());
        boolean firstWon = replies.get(0).statusCode() == 200;
        floor = firstWon ? 0 : 3;
        if (firstWon) {
            replies.remove(1);
        }
    }

    @Then("the change is in force at every entry within 7 s")
    public void inForceEverywhere() {
        accepted();
        for (EntryProcess entry : world.fleet().running()) {
            inForceWithin(entry, answeredMillis);
        }
    }

    @Then("entry {int} has the change in force within 7 s")
    public void inForceAt(int number) {
        inForceWithin(world.entry(number), System.currentTimeMillis());
    }

    private void inForceWithin(EntryProcess entry, long fromMillis) {
        long version = version();
        Waits.until(
                () -> entry.id() + " has version " + version,
                () -> !inForce(entry, version).isEmpty());
        long took = millis(inForce(entry, version).get(0)) - fromMillis;
        assertTrue(took <= 7_000, () -> entry.id() + " took " + took + " ms");
        assertEquals(floor, floorAt(entry));
    }

    private static int floorAt(EntryProcess entry) {
        return Operator.at(entry)
                .get("/v1/configuration")
                .path("pools")
                .path("pricing")
                .path("budget")
                .path("floor")
                .asInt();
    }

    private static List<JsonNode> inForce(EntryProcess entry, long version) {
        return entry.events("configuration-in-force").stream()
                .filter(line -> line.path("version").asLong() == version)
                .toList();
    }

    private static long millis(JsonNode line) {
        return Instant.parse(line.path("time").asText()).toEpochMilli();
    }

    @Then("no entry ever went back to an older version")
    public void neverBack() {
        for (EntryProcess entry : world.fleet().entries()) {
            List<Long> versions = entry.events("configuration-in-force").stream()
                    .map(line -> line.path("version").asLong())
                    .toList();
            for (int i = 1; i < versions.size(); i++) {
                assertTrue(versions.get(i) > versions.get(i - 1), () -> entry.id() + " had " + versions);
            }
            assertTrue(!versions.isEmpty(), () -> entry.id() + " logged no version");
        }
    }

    @Then("what the operator was told is true")
    public void toldTruth() {
        sameVersion();
        boolean inForce = floorAt(world.entry(1)) == floor;
        String outcome = Http.json(last().body()).path("outcome").asText();
        if (last().statusCode() == 200) {
            assertTrue(inForce, "the change was accepted and is not in force");
        } else {
            assertEquals(503, last().statusCode(), last()::body);
            assertTrue(outcome.equals("unknown") || (outcome.equals("refused") && !inForce), last()::body);
        }
    }

    @Then("every entry has the same version in force")
    public void sameVersion() {
        Waits.until(
                () -> "the versions are the same: " + versions(),
                () -> versions().stream().distinct().count() == 1);
    }

    private List<Long> versions() {
        return world.fleet().running().stream()
                .map(entry -> Operator.at(entry).configurationVersion())
                .toList();
    }

    @Then("an entry raises an alarm about the configuration")
    public void alarm() {
        Waits.until(
                "an entry raises an alarm",
                () -> world.fleet().running().stream()
                        .anyMatch(entry -> !entry.events("configuration-alarm").isEmpty()));
    }

    @Then("every entry still has the change in force")
    public void stillInForce() {
        long version = version();
        assertTrue(
                versions().stream().allMatch(present -> present >= version),
                () -> versions().toString());
        world.fleet().running().forEach(entry -> assertEquals(floor, floorAt(entry), entry::id));
    }
}
