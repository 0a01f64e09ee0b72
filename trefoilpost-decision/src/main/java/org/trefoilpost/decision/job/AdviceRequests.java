package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.decision.job.AdviceChoice.Named;
import org.trefoilpost.decision.job.advice.RequestQueue;

/**
 * The requests for placement advice that a pool has sent, and how long the service takes for them.
 */
final class AdviceRequests {
    /** Time after a request that failed until the next one. */
    private static final long RETRY_MILLIS = 400;

    /** The weight of the latest request in the mean of how long requests take. */
    private static final double LEARNING_RATE = 0.2;

    /** The maximum number of requests given up whose answers are still of use. */
    private static final int MAX_GIVEN_UP = 16;

    private final RequestQueue<Sent> queue = new RequestQueue<>();
    /** The requests that are awaited. */
    private final List<Sent> awaited = new ArrayList<>();
    /** The requests that are not awaited any more, the latest last. */
    private final List<Sent> givenUp = new ArrayList<>();

    private boolean answering = true;
    private long pausedUntilMillis = Long.MIN_VALUE;
    private long lastEndMillis = Long.MIN_VALUE / 2;
    private double slowdown = 1;

    /**
     * Returns whether the next request is to be sent now.
     */
    boolean mayAdd(Moment now) {
        return now.steadyMillis() >= pausedUntilMillis && queue.mayAdd(now.steadyMillis());
    }

    /**
     * Adds a request that is sent now.
     */
    void add(Sent request, Moment now) {
        awaited.add(request);
        queue.add(request, request.request.durationMillis(), now.steadyMillis());
    }

    /**
     * Returns the awaited request for a step, empty if there is none.
     */
    Optional<Sent> awaitedFor(JobStepState step) {
        return awaited.stream().filter(sent -> sent.step == step).findFirst();
    }

    int countAwaited() {
        return awaited.size();
    }

    /**
     * Returns whether the service has answered the last request that ended.
     */
    boolean isAnswering() {
        return answering;
    }

    /**
     * Returns the time in milliseconds for which the service is busy with the requests that were sent.
     */
    double busyMillis(Moment now) {
        return queue.waitMillis(now.steadyMillis()) * slowdown();
    }

    /**
     * Returns how many times as long as its policy says a request takes, with those of other pools between, as observed lately; at
     * least 1.
     */
    double slowdown() {
        return Math.max(1, slowdown);
    }

    /**
     * Records the result of a request, and returns what was sent, empty if it is not known. A request that was given up may be
     * answered after that.
     */
    Optional<Sent> ended(AdviceRequest request, AdviceResult result, Moment now) {
        Optional<Sent> inTime = takeFrom(awaited, request);
        inTime.ifPresent(sent -> record(sent, result.outcome(), now));
        Optional<Sent> ended = inTime.or(() -> takeFrom(givenUp, request));
        if (result.outcome() == AdviceOutcome.ANSWERED) {
            ended.ifPresent(sent -> {
                answering = true;
                queue.answered(sent, now.steadyMillis());
            });
        }
        return inTime.or(() -> ended.map(Sent::withLateAnswer));
    }

    private static Optional<Sent> takeFrom(List<Sent> requests, AdviceRequest request) {
        Optional<Sent> found =
                requests.stream().filter(sent -> sent.request.equals(request)).findFirst();
        found.ifPresent(requests::remove);
        return found;
    }

    private void record(Sent sent, AdviceOutcome outcome, Moment now) {
        if (outcome == AdviceOutcome.ANSWERED || outcome == AdviceOutcome.UNANSWERED) {
            observeDuration(sent, now);
        }
        lastEndMillis = now.steadyMillis();
        if (outcome == AdviceOutcome.UNANSWERED) {
            queue.givenUp(sent);
            givenUp.add(sent);
            if (givenUp.size() > MAX_GIVEN_UP) {
                givenUp.remove(0);
            }
        } else if (outcome != AdviceOutcome.ANSWERED) {
            queue.rejected(sent);
        }
        if (outcome != AdviceOutcome.ANSWERED) {
            // Each call that ends frees a place in the queue of the service.
            long callMillis = outcome == AdviceOutcome.OVERLOADED ? sent.request.durationMillis() : 0;
            answering = false;
            pausedUntilMillis = now.steadyMillis() + Math.max(RETRY_MILLIS, callMillis);
        }
    }

    private void observeDuration(Sent sent, Moment now) {
        long durationMillis = Math.max(1, sent.request.durationMillis());
        boolean waited = sent.requestedMillis < lastEndMillis;
        // The service was idle while a request that had not waited, and its answer, were on their way.
        double observed = waited
                ? (double) (now.steadyMillis() - lastEndMillis) / durationMillis
                : Math.max(
                        1,
                        (double) (now.steadyMillis() - sent.requestedMillis - RequestQueue.LEAD_MILLIS)
                                / durationMillis);
        slowdown += LEARNING_RATE * (observed - slowdown);
    }

    /**
     * A request that was sent.
     *
     * @param step  the step that it is about
     * @param named  the workers named
     * @param requestedMillis  when it was sent, on the steady clock in milliseconds
     * @param late  true if it was given up before it was answered
     */
    record Sent(JobStepState step, AdviceRequest request, Named named, long requestedMillis, boolean late) {
        private Sent withLateAnswer() {
            return new Sent(step, request, named, requestedMillis, true);
        }
    }
}
