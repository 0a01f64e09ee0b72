package org.trefoilpost.verify.steps;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.trefoilpost.verify.harness.CallerLoad;
import org.trefoilpost.verify.harness.CallerRequest;
import org.trefoilpost.verify.harness.EntryProcess;
import org.trefoilpost.verify.harness.Http;
import org.trefoilpost.verify.harness.Operator;
import org.trefoilpost.verify.harness.RunEvent;
import org.trefoilpost.verify.harness.RunLogs;
import org.trefoilpost.verify.harness.Waits;

/**
 * Steps of drains and waves.
 */
public final class LeavingSteps {
    private static final long LEAVING_MILLIS = 3_000;
    private static final int ATTEMPTS = 30;
    private static final Set<String> BEFORE_CORDON = Set.of("pending", "admit");
    private static final Set<String> ENDED = Set.of("done", "cancelled", "set-aside");

    private final World world = World.current();
    private final Map<String, Long> cordonMillis = new HashMap<>();
    private final List<HttpResponse<String>> confirmations = new ArrayList<>();
    private final Set<String> phases = new LinkedHashSet<>();
    private String digest = "";
    private List<String> released = List.of();
    private long releasedMillis;

    @Given("{int} callers of an entry that does not carry out the plan send requests that may be repeated")
    public void callersBesideTheExecutor(int count) {
        CallerLoad load = CallerLoad.start(
                count,
                () -> world.fleet().running().stream()
                        .filter(entry -> world.frozen != entry)
                        .toList(),
                () -> CallerRequest.to(world.fleet().pool()).repeatable());
        world.load = java.util.Optional.of(load);
        load.awaitMore(count);
    }

    @When("an operator drains rack {int}")
    public void drain(int rack) {
        start("{'kind':'drain','rack':'" + world.fleet().pool() + "-r" + rack + "'}");
    }

    @When("an operator releases the workers of rack {int} one after the other")
    public void release(int rack) {
        String pool = world.fleet().pool();
        releasedMillis = System.currentTimeMillis();
        released = new ArrayList<>();
        world.operator(1).get("/v1/pools/" + pool).path("workers").forEach(worker -> {
            if (worker.path("rack").asText().equals(pool + "-r" + rack)) {
                released.add(worker.path("id").asText());
            }
        });
        for (String worker : released) {
            start("{'kind':'release','worker':'" + worker + "'}");
            planEnds();
        }
    }

    @Then("every released worker starts requests again")
    public void releasedServe() {
        Waits.until(
                () -> "all of " + released + " start requests again",
                () -> logs().events("request-start").stream()
                        .filter(event -> event.timeMillis() > releasedMillis)
                        .map(RunEvent::worker)
                        .collect(Collectors.toSet())
                        .containsAll(released));
    }

    @Then("the pool has {int} usable workers and no planned stop")
    public void poolIsWhole(int workers) {
        Waits.until("the pool is whole", () -> {
            JsonNode pool = world.anyOperator().get("/v1/pools/" + world.fleet().pool());
            return pool.path("usable").asInt() == workers
                    && pool.path("planned").asInt() == 0;
        });
    }

    @When("an operator runs a wave over the pool")
    public void wave() {
        start("{'kind':'wave','pool':'" + world.fleet().pool() + "'}");
    }

    private void start(String intent) {
        HttpResponse<String> proposed = world.operator(1).propose(intent);
        assertEquals(201, proposed.statusCode(), proposed::body);
        digest = Http.json(proposed.body()).path("digest").asText();
        HttpResponse<String> confirmed = world.operator(2).confirm(digest, "amina");
        assertEquals(200, confirmed.statusCode(), confirmed::body);
    }

    @When("an operator runs a wave over the pool, trying again when told to")
    public void waveWithRetries() {
        String intent = "{'kind':'wave','pool':'" + world.fleet().pool() + "'}";
        HttpResponse<String> proposed = retried(operator -> operator.propose(intent));
        digest = Http.json(proposed.body()).path("digest").asText();
        retried(operator -> operator.confirm(digest, "amina"));
    }

    private HttpResponse<String> retried(Function<Operator, HttpResponse<String>> call) {
        HttpResponse<String> reply = call.apply(world.operator(1));
        for (int i = 0; i < ATTEMPTS && reply.statusCode() >= 500; i++) {
            reply = call.apply(world.operator(1));
        }
        assertTrue(reply.statusCode() < 300, reply::body);
        return reply;
    }

    @When("the wave is under way")
    public void underWay() {
        Waits.until("a worker has stopped", () -> !logs().events("stop").isEmpty());
    }

    @When("the entry that carries out the plan is killed")
    public void killExecutor() {
        executor().kill();
    }

    @When("the entry that carries out the plan is frozen for {int} s")
    public void freezeExecutor(int seconds) {
        EntryProcess executor = executor();
        world.frozen = executor;
        executor.freeze();
        Waits.pause(seconds * 1_000L);
        executor.thaw();
    }

    private EntryProcess executor() {
        List<EntryProcess> executors = world.fleet().running().stream()
                .filter(entry -> entry.events("plan-executed-here").stream()
                        .anyMatch(line -> line.path("plan").asText().equals(digest)))
                .toList();
        assertEquals(1, executors.size(), () -> "entries that carry out the plan: " + executors);
        return executors.get(0);
    }

    @When("two operators confirm a drain of rack 1 and a drain of rack 2 at once")
    public void twoConfirm() {
        List<String> digests = new ArrayList<>();
        for (int rack = 1; rack <= 2; rack++) {
            String intent = "{'kind':'drain','rack':'" + world.fleet().pool() + "-r" + rack + "'}";
            digests.add(Http.json(world.operator(rack).propose(intent).body())
                    .path("digest")
                    .asText());
        }
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            int number = i;
            sent.add(CompletableFuture.supplyAsync(
                    () -> world.operator(number + 1).confirm(digests.get(number), "operator-" + number)));
        }
        sent.forEach(reply -> confirmations.add(reply.join()));
        digest = digests.get(confirmations.get(0).statusCode() == 200 ? 0 : 1);
    }

    @Then("one of them is told that the plan is confirmed and the other why not")
    public void oneWins() {
        List<Integer> statuses =
                confirmations.stream().map(HttpResponse::statusCode).sorted().toList();
        assertEquals(
                List.of(200, 409),
                statuses,
                () -> confirmations.stream().map(HttpResponse::body).toList().toString());
        HttpResponse<String> refused =
                confirmations.get(0).statusCode() == 409 ? confirmations.get(0) : confirmations.get(1);
        assertTrue(refused.body().contains("operator-") || refused.body().contains("changed"), refused::body);
    }

    @Then("the plan ends with every step done")
    public void planEnds() {
        Waits.until(() -> "the plan ends: " + plan(), () -> {
            JsonNode plan = plan();
            noteCordons(plan);
            return plan.path("state").asText().equals("done");
        });
        assertEquals(List.of(), states(plan(), state -> !state.equals("done")));
    }

    private JsonNode plan() {
        return world.anyOperator().plan(digest);
    }

    private void noteCordons(JsonNode plan) {
        for (JsonNode step : plan.path("steps")) {
            String state = step.path("state").asText();
            phases.add(step.path("worker").asText() + " " + state + " attempt "
                    + step.path("attempt").asText() + " since "
                    + step.path("sinceMillis").asText() + " "
                    + step.path("reason").asText());
            if (!BEFORE_CORDON.contains(state) && !ENDED.contains(state)) {
                cordonMillis.putIfAbsent(
                        step.path("worker").asText(), step.path("sinceMillis").asLong());
            }
        }
    }

    private static List<String> states(JsonNode plan, java.util.function.Predicate<String> filter) {
        List<String> states = new ArrayList<>();
        for (JsonNode step : plan.path("steps")) {
            if (filter.test(step.path("state").asText())) {
                states.add(step.toString());
            }
        }
        return states;
    }

    private RunLogs logs() {
        return world.fleet().runLogs();
    }

    @Then("every worker was rebooted once")
    public void rebootedOnce() {
        Map<String, Long> reboots = logs().events("reboot").stream()
                .collect(Collectors.groupingBy(RunEvent::worker, Collectors.counting()));
        Set<Long> counts = Set.copyOf(reboots.values());
        assertEquals(world.fleet().workers().size(), reboots.size(), reboots::toString);
        assertEquals(Set.of(1L), counts, reboots::toString);
    }

    @Then("no worker started a request later than 3 s after its cordon")
    public void nothingAfterCordon() {
        world.load.ifPresent(CallerLoad::close);
        assertTrue(!cordonMillis.isEmpty(), "no cordon was seen");
        List<RunEvent> late = new ArrayList<>();
        cordonMillis.forEach(
                (worker, millis) -> late.addAll(logs().startedAfterCordon(worker, millis, LEAVING_MILLIS)));
        assertEquals(List.of(), late, () -> String.join("; ", phases));
    }
}
