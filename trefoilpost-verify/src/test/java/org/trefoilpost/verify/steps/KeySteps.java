package org.trefoilpost.verify.steps;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.After;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.verify.harness.CallerAnswer;
import org.trefoilpost.verify.harness.CallerClient;
import org.trefoilpost.verify.harness.CallerRequest;
import org.trefoilpost.verify.harness.EntryProcess;
import org.trefoilpost.verify.harness.KeyedLoad;
import org.trefoilpost.verify.harness.Waits;

/**
 * Steps of requests with idempotency keys.
 */
public final class KeySteps {
    private final World world = World.current();
    private Optional<KeyedLoad> load = Optional.empty();

    @When("{int} callers send requests with keys")
    public void start(int callers) {
        load = Optional.of(
                KeyedLoad.start(callers, world.fleet()::running, world.fleet().pool()));
    }

    @When("{int} callers send requests with keys until {int} keys are through")
    public void startUntil(int callers, int keys) {
        start(callers);
        moreKeys(keys);
    }

    @When("{int} more keys are through")
    public void moreKeys(int count) {
        load.orElseThrow().awaitMore(count);
    }

    private Map<String, List<CallerAnswer>> answers() {
        load.ifPresent(KeyedLoad::close);
        return load.orElseThrow().answers();
    }

    @After(order = 20_000)
    public void stop() {
        load.ifPresent(KeyedLoad::close);
    }

    @Then("no key ran more than once")
    public void onceEach() {
        Map<String, List<CallerAnswer>> answers = answers();
        List<String> repeated = world.fleet().runLogs().runsByKey().entrySet().stream()
                .filter(run -> run.getValue() > 1)
                .map(run -> run + " " + answers.get(run.getKey()))
                .toList();
        assertEquals(List.of(), repeated);
    }

    @Then("every key that was only ever refused has not run")
    public void refusedHasNotRun() {
        Map<String, List<CallerAnswer>> answers = answers();
        Map<String, Long> runs = world.fleet().runLogs().runsByKey();
        List<String> untrue = new ArrayList<>();
        answers.forEach((key, outcomes) -> {
            if (outcomes.stream().allMatch(CallerAnswer::isNotRun) && runs.containsKey(key)) {
                untrue.add(key + " " + outcomes);
            }
        });
        assertEquals(List.of(), untrue);
    }

    @Then("every answer to a key is its own")
    public void own() {
        List<String> foreign = answers().values().stream()
                .flatMap(List::stream)
                .filter(answer -> answer.isAnswered() && !answer.isOwn())
                .map(answer -> answer + " " + answer.body())
                .toList();
        assertEquals(List.of(), foreign);
    }

    @Then("at least {int} keys were answered")
    public void answered(int count) {
        Map<String, List<CallerAnswer>> answers = answers();
        long answered = answers.values().stream()
                .filter(outcomes -> outcomes.stream().anyMatch(CallerAnswer::isAnswered))
                .count();
        assertTrue(answered >= count, () -> answered + " of " + answers);
    }

    @Then("a new key is answered at every running entry")
    public void newKeyEverywhere() {
        answers();
        for (EntryProcess entry : world.fleet().running()) {
            int[] number = new int[1];
            Waits.until(() -> "a new key is answered at " + entry.id(), () -> {
                number[0]++;
                String key = "after-" + entry.id() + "-" + number[0];
                return CallerClient.call(
                                entry, CallerRequest.to(world.fleet().pool()).withKey(key))
                        .isAnswered();
            });
        }
    }
}
