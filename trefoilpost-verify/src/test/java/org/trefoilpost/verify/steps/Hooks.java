package org.trefoilpost.verify.steps;

import io.cucumber.java.After;
import io.cucumber.java.AfterAll;
import io.cucumber.java.Before;
import io.cucumber.java.Scenario;

/**
 * Gives each scenario a world of its own and ends what it started.
 */
public final class Hooks {
    @Before
    public void renew() {
        World.renew();
    }

    @After
    public void close(Scenario scenario) {
        if (scenario.isFailed()) {
            World.current().logsOfEntries().forEach(scenario::log);
        }
        World.current().close();
    }

    @AfterAll
    public static void closeShared() {
        World.closeShared();
    }
}
