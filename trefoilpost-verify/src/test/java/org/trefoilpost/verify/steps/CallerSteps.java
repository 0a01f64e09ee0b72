package org.trefoilpost.verify.steps;

import static org.junit.jupiter.api.Assertions.assertAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.verify.harness.CallerAnswer;
import org.trefoilpost.verify.harness.CallerClient;
import org.trefoilpost.verify.harness.CallerRequest;
import org.trefoilpost.verify.harness.RunEvent;
import org.trefoilpost.verify.harness.Waits;

/**
 * Steps of callers and of what they got.
 */
public final class CallerSteps {
    private static final String VERDICTS = "trefoilpost_verdicts_total";

    private final World world = World.current();
    private double countedBefore;

    private CallerRequest request() {
        return CallerRequest.to(world.fleet().pool());
    }

    private CallerAnswer last() {
        return world.answers.get(world.answers.size() - 1);
    }

    private void call(CallerRequest request) {
        world.answers.add(CallerClient.call(world.entry(1), request));
    }

    private void callCounting(CallerRequest request, String reason) {
        countedBefore = counted(reason);
        call(request);
    }

    private double counted(String reason) {
        return world.operator(1).counter(VERDICTS, "reason=\"" + reason + "\"");
    }

    @When("a caller sends a request")
    public void sends() {
        call(request());
    }

    @When("a caller sends a request with the header {string} set to {string}, to be refused as {word}")
    public void sendsHeader(String name, String value, String reason) {
        callCounting(request().withHeader(name, value), reason);
    }

    @When("a caller sends a request to the pool {string}, to be refused as {word}")
    public void sendsToPool(String pool, String reason) {
        callCounting(CallerRequest.to(pool), reason);
    }

    @When("a caller sends a body of {int} bytes, to be refused as {word}")
    public void sendsBody(int bytes, String reason) {
        callCounting(request().withBody("x".repeat(bytes)), reason);
    }

    @When("{int} callers send a request each that may not be repeated")
    public void manyOnce(int count) {
        sendAll(count, this::request);
    }

    @When("{int} callers send a request each that may be repeated")
    public void manyRepeatable(int count) {
        sendAll(count, () -> request().repeatable());
    }

    @When("{int} callers send a request each with {int} ms to wait that may not be repeated")
    public void manyWithDeadline(int count, int millis) {
        sendAll(count, () -> request().withHeader("Trefoilpost-Deadline-Millis", Integer.toString(millis)));
    }

    private void sendAll(int count, java.util.function.Supplier<CallerRequest> requests) {
        List<CompletableFuture<CallerAnswer>> sent = new ArrayList<>();
        int entries = world.fleet().running().size();
        for (int i = 0; i < count; i++) {
            sent.add(CallerClient.send(world.fleet().running().get(i % entries), requests.get()));
        }
        sent.forEach(answer -> world.answers.add(answer.join()));
    }

    @Given("{int} requests of {int} ms are running")
    public void longRequests(int count, int millis) {
        for (int i = 0; i < count; i++) {
            CallerRequest request = request().withQuery("millis=" + millis);
            List<org.trefoilpost.verify.harness.EntryProcess> running =
                    world.fleet().running();
            world.pending.add(CallerClient.send(running.get(i % running.size()), request));
        }
        Waits.until(
                "the requests run",
                () -> world.fleet().runLogs().events("request-start").size() >= count);
    }

    @Then("the caller gets the worker's whole answer to this request")
    public void wholeAnswer() {
        assertTrue(last().isAnswered() && last().status() == 200 && last().isOwn(), last()::toString);
    }

    @Then("the caller is told {string} with status {int} and the reason {word}")
    public void told(String verdict, int status, String reason) {
        CallerAnswer answer = last();
        assertAll(
                () -> assertEquals(verdict, answer.verdict()),
                () -> assertEquals(status, answer.status()),
                () -> assertEquals(reason, answer.reason()),
                () -> assertEquals(reason, answer.body().path("reason").asText()),
                () -> assertTrue(!verdict.equals("not-run") || Integer.parseInt(answer.retryAfter()) > 0));
    }

    @Then("the counter of {word} has grown by {int}")
    public void counterGrew(String reason, int by) {
        assertEquals(by, counted(reason) - countedBefore, 0.001);
    }

    @Then("the request is in no worker's run log")
    public void notInRunLog() {
        assertFalse(
                world.fleet()
                        .runLogs()
                        .runsByPath()
                        .containsKey(last().request().targetPath()),
                last()::toString);
    }

    @Then("every caller got the worker's whole answer to its own request")
    public void everyAnswered() {
        List<String> others = world.allAnswers().stream()
                .filter(answer -> !answer.isAnswered() || answer.status() != 200 || !answer.isOwn())
                .map(CallerAnswer::toString)
                .toList();
        assertEquals(
                List.of(),
                others,
                () -> others.size() + " of " + world.allAnswers().size() + " " + world.attemptCounters());
    }

    @Then("every caller of an entry that was not killed got the worker's whole answer to its own request")
    public void everyAnsweredButAtKilled() {
        List<String> running = world.fleet().running().stream()
                .map(org.trefoilpost.verify.harness.EntryProcess::id)
                .toList();
        List<String> others = world.allAnswers().stream()
                .filter(answer -> running.contains(answer.entry()) || !answer.isBroken())
                .filter(answer -> !answer.isAnswered() || answer.status() != 200 || !answer.isOwn())
                .map(CallerAnswer::toString)
                .toList();
        assertEquals(List.of(), others);
    }

    @Then("every caller got one truthful verdict")
    public void everyTruthful() {
        assertTruthful(world.allAnswers());
    }

    private void assertTruthful(List<CallerAnswer> answers) {
        Map<String, Long> runs = world.fleet().runLogs().runsByPath();
        List<String> untrue = new ArrayList<>();
        for (CallerAnswer answer : answers) {
            long count = runs.getOrDefault(answer.request().targetPath(), 0L);
            boolean truthful =
                    switch (answer.verdict()) {
                        case "answered" -> count >= 1 && answer.isOwn();
                        case "not-run" -> count == 0 && !answer.retryAfter().isEmpty();
                        case "may-have-run" -> !answer.reason().isEmpty();
                        default -> false;
                    };
            if (!truthful) {
                untrue.add(answer + " ran " + count + " times");
            }
        }
        assertEquals(List.of(), untrue);
    }

    @Then("every caller of the entries {} got the worker's whole answer to its own request")
    public void everyAnsweredAt(String numbers) {
        List<String> ids = java.util.Arrays.stream(numbers.split(", "))
                .map(number -> world.entry(Integer.parseInt(number)).id())
                .toList();
        List<String> others = world.allAnswers().stream()
                .filter(answer -> ids.contains(answer.entry()))
                .filter(answer -> !answer.isAnswered() || answer.status() != 200 || !answer.isOwn())
                .map(CallerAnswer::toString)
                .toList();
        assertEquals(List.of(), others);
    }

    @Then("a caller of entry {int} is told {string} for the reason {word}")
    public void toldAt(int number, String verdict, String reason) {
        CallerAnswer answer = CallerClient.call(world.entry(number), request());
        assertEquals(verdict + " " + reason, answer.verdict() + " " + answer.reason());
    }

    @Then("every caller got one truthful verdict or a broken connection")
    public void truthfulOrBroken() {
        assertTruthful(
                world.allAnswers().stream().filter(answer -> !answer.isBroken()).toList());
    }

    @Then("every caller whose connection broke has not had its request run")
    public void brokenHasNotRun() {
        List<CallerAnswer> broken =
                world.allAnswers().stream().filter(CallerAnswer::isBroken).toList();
        Map<String, Long> runs = world.fleet().runLogs().runsByPath();
        assertEquals(
                List.of(),
                broken.stream()
                        .filter(answer -> runs.containsKey(answer.request().targetPath()))
                        .toList());
    }

    @Then("no request ran more than once")
    public void onceEach() {
        List<String> repeated = world.fleet().runLogs().runsByPath().entrySet().stream()
                .filter(run -> run.getValue() > 1)
                .map(Object::toString)
                .toList();
        assertEquals(List.of(), repeated);
    }

    @Then("at least {int} callers were told {string}")
    public void atLeastTold(int count, String verdict) {
        long told = world.allAnswers().stream()
                .filter(answer -> answer.verdict().equals(verdict))
                .count();
        assertTrue(told >= count, () -> told + " were told " + verdict + ": " + world.allAnswers());
    }

    @Then("no stop came while a request was running")
    public void noStopInFlight() {
        List<RunEvent> stops = world.fleet().runLogs().stopsWithWorkInFlight();
        assertEquals(List.of(), stops);
    }

    @Then("at most {int} workers were down at the same time")
    public void mostDown(int most) {
        int down = world.fleet().runLogs().mostDown();
        assertTrue(down <= most, () -> down + " workers were down at the same time");
    }
}
