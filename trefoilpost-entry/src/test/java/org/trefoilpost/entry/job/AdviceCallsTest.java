package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.AdviceOutcome;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.AdviceResult;
import org.trefoilpost.decision.job.advice.RequestQueue;

/**
 * Makes calls to an advice service that the test answers.
 */
class AdviceCallsTest {
    private static final AdviceResult NO_WORKERS = AdviceResult.answered(Map.of(), 1_000);
    private static final AdviceResult UNANSWERED = AdviceResult.failed(AdviceOutcome.UNANSWERED);

    private static final long LEAST_MILLIS = ResponseAllowance.MIN_MILLIS;

    private final HeldAdvice service = new HeldAdvice();
    private final AtomicLong clock = new AtomicLong(1_000_000);
    private final TestService entry = new TestService(
            new JobPorts(new MemoryStore(), null, null, service, new UnusedFormats()), clock::get, clock::get);
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

    /** Guards against calls that pile up at the service, which handles one of a machine at a time, see review case 8. */
    @Test
    void callWaitsUntilTheServiceIsSoonIdle() {
        request("a", 1_000);
        request("b", 1_000);
        request("c", 1_000);
        assertEquals(List.of("a"), service.steps);
        answer(0, NO_WORKERS);
        assertEquals(List.of("a", "b"), service.steps);
        assertEquals(List.of("a answered"), ended);
        advance(1_001 - RequestQueue.LEAD_MILLIS);
        assertEquals(List.of("a", "b", "c"), service.steps);
    }

    /** Guards against a service that is idle while answers and calls are on their way. */
    @Test
    void shortCallsAreSentTogether() {
        for (int i = 0; i < 40; i++) {
            request("step" + i, 20);
        }
        assertEquals(RequestQueue.LEAD_MILLIS / 20, service.steps.size());
    }

    /** Guards against a call given up early because the service has others before it. */
    @Test
    void callIsAllowedTheTimeOfThoseBeforeIt() {
        request("a", 150);
        request("b", 100);
        assertEquals(List.of(150 + LEAST_MILLIS, 250 + LEAST_MILLIS), service.timeouts);
    }

    /** Guards against tickets whose time is taken to have passed while the service handled other calls. */
    @Test
    void timeOfACallIsWithoutThatOfThoseBeforeIt() {
        List<Long> callMillis = new ArrayList<>();
        request("a", 150);
        entry.run(() -> calls.request(adviceRequest("b", 100), () -> true, (result, millis) -> callMillis.add(millis)));
        clock.addAndGet(260);
        answer(1, NO_WORKERS);
        assertEquals(List.of(110L), callMillis);
    }

    /** Guards against a call given up again and again after the same time while the service works on earlier ones. */
    @Test
    void callAfterAnUnansweredOneIsAllowedMoreTime() {
        request("a", 1_000);
        advance(1_000 + LEAST_MILLIS);
        answer(0, UNANSWERED);
        request("b", 1_000);
        advance(1_000 + 2 * LEAST_MILLIS);
        answer(1, UNANSWERED);
        request("c", 1_000);
        assertEquals(
                List.of(1_000 + LEAST_MILLIS, 1_000 + 2 * LEAST_MILLIS, 1_000 + 4 * LEAST_MILLIS), service.timeouts);
        advance(1_000);
        answer(2, NO_WORKERS);
        request("d", 1_000);
        assertEquals(1_000 + LEAST_MILLIS, service.timeouts.get(3));
    }

    /** Guards against work of the service that is lost: its answer is as true after the call was given up. */
    @Test
    void answerToACallThatWasGivenUpIsPassedOn() {
        request("a", 1_000);
        answer(0, UNANSWERED);
        service.lateListeners.get(0).accept(NO_WORKERS);
        entry.run(() -> {});
        assertEquals(List.of("a unanswered", "a answered"), ended);
    }

    /** Guards against a wait for an answer that is lost: the service handles the calls in turn, and has answered a later one. */
    @Test
    void callIsGivenUpAfterALaterOneWasAnswered() {
        request("a", 150);
        request("b", 100);
        answer(1, NO_WORKERS);
        advance(150 + RequestQueue.LEAD_MILLIS);
        assertEquals(List.of("b answered", "a unanswered"), ended);
        answer(0, UNANSWERED);
        assertEquals(2, ended.size());
        request("c", 100);
        assertEquals(100 + LEAST_MILLIS, service.timeouts.get(2));
    }

    /** Guards against calls that are given up by an answer to one that was sent before them. */
    @Test
    void lateAnswerSaysNothingOfLaterCalls() {
        request("a", 150);
        answer(0, UNANSWERED);
        request("b", 2_000);
        entry.run(() -> service.lateListeners.get(0).accept(NO_WORKERS));
        advance(2_000);
        assertEquals(List.of("a unanswered", "a answered"), ended);
    }

    /** Guards against calls that overtake one another on their way. */
    @Test
    void callIsAwaitedForTheTimeOfItsAnswerAfterALaterOne() {
        request("a", 150);
        request("b", 100);
        answer(1, NO_WORKERS);
        advance(150);
        answer(0, NO_WORKERS);
        advance(RequestQueue.LEAD_MILLIS);
        assertEquals(List.of("b answered", "a answered"), ended);
    }

    /** Guards against calls that pile up at a service that takes longer than its policy says. */
    @Test
    void fewCallsWaitAtASlowService() {
        for (int i = 0; i < 20; i++) {
            request("step" + i, 150);
        }
        for (int i = 0; i < 40; i++) {
            advance(100);
        }
        assertTrue(service.steps.size() <= 4, service.steps.size() + " calls");
    }

    @Test
    void callThatIsNoLongerWantedIsNotSent() {
        request("a", 1_000);
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

    private void advance(long millis) {
        clock.addAndGet(millis);
        entry.runWithTimers(() -> {});
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
        private final List<Consumer<AdviceResult>> lateListeners = new ArrayList<>();
        private final List<CompletableFuture<AdviceResult>> answers = new ArrayList<>();
        private boolean broken;

        @Override
        public CompletableFuture<AdviceResult> requestAdvice(
                AdviceRequest request, long timeoutMillis, Consumer<AdviceResult> lateListener) {
            if (broken) {
                throw new IllegalStateException("broken");
            }
            steps.add(request.step());
            timeouts.add(timeoutMillis);
            lateListeners.add(lateListener);
            answers.add(new CompletableFuture<>());
            return answers.get(answers.size() - 1);
        }
    }
}
