package org.trefoilpost.verify.steps;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.trefoilpost.verify.harness.CallerLoad;
import org.trefoilpost.verify.harness.CallerRequest;
import org.trefoilpost.verify.harness.EntryProcess;
import org.trefoilpost.verify.harness.Fleet;
import org.trefoilpost.verify.harness.Http;
import org.trefoilpost.verify.harness.Operator;
import org.trefoilpost.verify.harness.Waits;

/**
 * Steps that build the fleet and bring faults about.
 */
public final class FleetSteps {
    private final World world = World.current();

    @Given("a running fleet")
    public void runningFleet() {
        world.useShared();
    }

    @Given("{int} entries and {int} workers in pool {word} with floor {int}")
    public void fleet(int entries, int workers, String pool, int floor) {
        world.useOwn(Fleet.start(pool, workers));
        world.fleet().startEntries(entries);
        world.fleet().configure(floor);
    }

    @Given("{int} entries and {int} workers in pool {word} without a configuration")
    public void bareFleet(int entries, int workers, String pool) {
        world.useOwn(Fleet.start(pool, workers));
        world.fleet().startEntries(entries);
    }

    @Given("{int} callers send requests that may be repeated")
    public void callersOfRepeatable(int count) {
        startCallers(count, world.fleet()::running);
    }

    @Given("{int} callers of entry {int} send requests that may be repeated")
    public void callersOfEntry(int count, int number) {
        EntryProcess entry = world.entry(number);
        startCallers(count, () -> List.of(entry));
    }

    private void startCallers(int count, java.util.function.Supplier<List<EntryProcess>> entries) {
        CallerLoad load = CallerLoad.start(
                count, entries, () -> CallerRequest.to(world.fleet().pool()).repeatable());
        world.load = java.util.Optional.of(load);
        load.awaitMore(2 * count);
    }

    @When("callers have got {int} more answers")
    public void moreAnswers(int count) {
        world.load.orElseThrow().awaitMore(count);
    }

    @When("entry {int} is killed")
    public void kill(int number) {
        world.entry(number).kill();
    }

    @When("entry {int} is frozen")
    public void freeze(int number) {
        world.entry(number).freeze();
    }

    @When("entry {int} is thawed")
    public void thaw(int number) {
        world.entry(number).thaw();
    }

    @When("entry {int} is stopped gracefully")
    public void stopGracefully(int number) {
        world.entry(number).stopGracefully();
    }

    @When("a new entry starts at new addresses in its place")
    public void replacement() {
        world.fleet().startEntry("e" + (world.fleet().entries().size() + 1));
    }

    @When("entry {int} starts again at new addresses")
    public void restart(int number) {
        world.fleet().startEntry(world.entry(number).id());
    }

    @When("the store is down")
    public void storeDown() {
        storeFaults("{'down':true}");
    }

    @When("the store is back")
    public void storeBack() {
        world.fleet().clearStoreFaults();
    }

    @When("the store is silent")
    public void storeSilent() {
        storeFaults("{'silent':true}");
    }

    @When("the store loses {int} % of the answers to writes")
    public void storeLosesAnswers(int percent) {
        storeFaults("{'loseAnswers':" + percent / 100.0 + ",'seed':7}");
    }

    @When("the store answers {int} ms late")
    public void storeSlow(int millis) {
        storeFaults("{'latencyMillis':" + millis + "}");
    }

    private void storeFaults(String switches) {
        Http.faults(world.fleet().platform(), switches);
    }

    @When("the state of the store is kept")
    public void snapshot() {
        Http.send(world.fleet().platform(), "POST", "/standin/snapshot", "{\"snapshot\":\"kept\"}");
    }

    @When("the kept state of the store is brought back")
    public void restore() {
        Http.send(world.fleet().platform(), "POST", "/standin/restore", "{\"snapshot\":\"kept\"}");
    }

    @When("worker {int} has the fault {string}")
    public void workerFault(int number, String fault) {
        Http.faults(world.fleet().workers().get(number - 1).endpoint(), "{" + fault + "}");
    }

    @When("every worker has the fault {string}")
    public void everyWorkerFault(String fault) {
        world.fleet().workers().forEach(worker -> Http.faults(worker.endpoint(), "{" + fault + "}"));
    }

    @When("{int} seconds pass")
    public void secondsPass(int seconds) {
        Waits.pause(seconds * 1000L);
    }

    @Then("every running entry serves the whole pool")
    public void awaitServing() {
        world.fleet().awaitServing();
    }

    @Then("every running entry has ejected {int} worker(s)")
    public void awaitEjected(int count) {
        for (EntryProcess entry : world.fleet().running()) {
            Operator operator = Operator.at(entry);
            Waits.until(
                    () -> entry.id() + " has ejected " + count + " workers, not " + operator.ejectedWorkers(),
                    () -> operator.ejectedWorkers() == count);
        }
    }

    @Then("every running entry sends requests to every worker")
    public void awaitEveryWorkerServes() {
        world.fleet().awaitEveryWorkerServes();
    }

    @Then("entry {int} is ready")
    public void ready(int number) {
        Operator operator = world.operator(number);
        Waits.until("entry " + number + " is ready", operator::isReady);
    }

    @Then("entry {int} is not ready")
    public void notReady(int number) {
        if (world.operator(number).isReady()) {
            throw new AssertionError("entry " + number + " is ready");
        }
    }
}
