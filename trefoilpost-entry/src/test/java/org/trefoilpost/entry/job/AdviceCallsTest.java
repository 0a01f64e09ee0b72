package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.AdviceOutcome;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.AdviceResult;
import org.trefoilpost.entry.runtime.MillisClock;

/**
 * Makes calls to an advice service that the test answers.
 */
class AdviceCallsTest {
    private static final AdviceResult NO_WORKERS = AdviceResult.answered(Map.of(), 1_000);
    private static final AdviceResult UNANSWERED = AdviceResult.failed(AdviceOutcome.UNANSWERED);

    private final HeldAdvice service = new HeldAdvice();
    private final TestService entry = new TestService(
            new JobPorts(new MemoryStore(), null, null, service, new UnusedFormats()),
            MillisClock.steady(),
            System::currentTimeMillis);
    private final AdviceCalls calls = entry.context().adviceCalls();
    private final List<String> ended = new ArrayList<>();

    @AfterEach
    void stop() {
        entry.close();
    }

    /** Guards against calls given up early: the service takes as long as the queue's policy says. */
    @Test
    void callIsAllowedTheTimeThatThePolicySays() {
        request("a", 3_300);
        assertEquals(List.of(3_300 + ResponseAllowance.MIN_MILLIS), service.timeouts);
    }

    /** Guards against calls whose time is unknown because others of the same machine are served before them. */
    @Test
    void callWaitsForTheEndOfTheOneBefore() {
        request("a", 100);
        request("b", 100);
        assertEquals(List.of("a"), service.steps);
        answer(0, NO_WORKERS);
        assertEquals(List.of("a", "b"), service.steps);
        assertEquals(List.of("a answered"), ended);
    }

    /** Guards against a call given up again and again after the same time while the service works on earlier ones. */
    @Test
    void callAfterAnUnansweredOneIsAllowedMoreTime() {
        request("a", 100);
        request("b", 100);
        request("c", 100);
        answer(0, UNANSWERED);
        answer(1, UNANSWERED);
        long least = ResponseAllowance.MIN_MILLIS;
        assertEquals(List.of(100 + least, 100 + 2 * least, 100 + 4 * least), service.timeouts);
        answer(2, NO_WORKERS);
        request("d", 100);
        assertEquals(100 + least, service.timeouts.get(3));
    }

    @Test
    void callThatIsNoLongerWantedIsNotSent() {
        request("a", 100);
        entry.run(() -> calls.request(adviceRequest("b", 100), () -> false, (result, callMillis) -> ended.add("b")));
        request("c", 100);
        answer(0, NO_WORKERS);
        assertEquals(List.of("a", "c"), service.steps);
    }

    /** Guards against calls that are held up for good by one that failed at once. */
    @Test
    void callThatCannotBeSentFails() {
        service.broken = true;
        request("a", 100);
        service.broken = false;
        request("b", 100);
        assertEquals(List.of("a failed"), ended);
        assertTrue(service.steps.contains("b"));
    }

    private void request(String step, long durationMillis) {
        entry.run(() -> calls.request(
                adviceRequest(step, durationMillis),
                () -> true,
                (result, callMillis) -> ended.add(step + " " + result.outcome().text())));
    }

    private static AdviceRequest adviceRequest(String step, long durationMillis) {
        return new AdviceRequest(step, List.of("w"), durationMillis);
    }

    private void answer(int call, AdviceResult result) {
        entry.run(() -> service.answers.get(call).complete(result));
    }

    /**
     * Keeps the calls until the test answers them.
     */
    private static final class HeldAdvice implements AdvicePort {
        private final List<String> steps = new ArrayList<>();
        private final List<Long> timeouts = new ArrayList<>();
        private final List<CompletableFuture<AdviceResult>> answers = new ArrayList<>();
        private boolean broken;

        @Override
        public CompletableFuture<AdviceResult> requestAdvice(AdviceRequest request, long timeoutMillis) {
            if (broken) {
                throw new IllegalStateException("broken");
            }
            steps.add(request.step());
            timeouts.add(timeoutMillis);
            answers.add(new CompletableFuture<>());
            return answers.get(answers.size() - 1);
        }
    }
}
