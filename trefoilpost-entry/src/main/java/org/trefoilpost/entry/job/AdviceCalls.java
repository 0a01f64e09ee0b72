package org.trefoilpost.entry.job;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Queue;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.trefoilpost.decision.job.AdviceOutcome;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.AdviceResult;
import org.trefoilpost.decision.job.advice.RequestQueue;

/**
 * The calls of this entry to the advice service. Used on the service's thread only.
 *
 * <p>The service handles one call at a time for each calling machine, and finishes those that were given up. So a call is sent
 * when the service is soon to be idle, and is allowed the time that the service needs for those before it.
 */
final class AdviceCalls {
    private final JobContext context;
    private final Queue<Call> waiting = new ArrayDeque<>();
    private final RequestQueue<Call> sent = new RequestQueue<>();
    private final ResponseAllowance allowance = new ResponseAllowance();
    /** The calls that have not ended, in the order in which they were sent. */
    private final Set<SentCall> awaited = new LinkedHashSet<>();

    private long lastNumber;
    private boolean timerScheduled;

    AdviceCalls(JobContext context) {
        this.context = context;
    }

    /**
     * Makes a call when its turn comes.
     *
     * @param request  the request, not null
     * @param wanted  returns whether the result is still of use, not null; the call is dropped if it is not when its turn comes
     * @param listener  receives the result unless the call is dropped, and the answer to a call that was given up, not null
     */
    void request(AdviceRequest request, BooleanSupplier wanted, Listener listener) {
        waiting.add(new Call(request, wanted, listener));
        sendNext();
    }

    private void sendNext() {
        while (!waiting.isEmpty() && sent.mayAdd(context.now().steadyMillis())) {
            Call next = waiting.remove();
            if (next.wanted.getAsBoolean()) {
                send(next);
            }
        }
        if (!waiting.isEmpty()) {
            sendNextWhenDue();
        }
    }

    private void sendNextWhenDue() {
        long delayMillis = sent.waitMillis(context.now().steadyMillis()) - RequestQueue.LEAD_MILLIS;
        if (!timerScheduled && delayMillis >= 0) {
            timerScheduled = true;
            context.schedule(delayMillis + 1, () -> {
                timerScheduled = false;
                sendNext();
            });
        }
    }

    private void send(Call call) {
        long sentMillis = context.now().steadyMillis();
        long expectedMillis = sent.waitMillis(sentMillis) + call.request.durationMillis();
        SentCall sentCall = new SentCall(call, ++lastNumber, sentMillis, expectedMillis);
        sent.add(call, call.request.durationMillis(), sentMillis);
        awaited.add(sentCall);
        context.call(
                () -> context.ports()
                        .advice()
                        .requestAdvice(
                                call.request,
                                expectedMillis + allowance.millis(),
                                late -> context.execute(() -> ended(sentCall, late))),
                (result, failure) ->
                        ended(sentCall, failure == null ? result : AdviceResult.failed(AdviceOutcome.FAILED)));
    }

    private void ended(SentCall sentCall, AdviceResult result) {
        boolean answered = result.outcome() == AdviceOutcome.ANSWERED;
        if (answered) {
            giveUpBefore(sentCall);
        }
        if (awaited.remove(sentCall) || answered) {
            observe(sentCall, result.outcome());
            passOn(sentCall, result);
        }
    }

    private void observe(SentCall sentCall, AdviceOutcome outcome) {
        long nowMillis = context.now().steadyMillis();
        if (outcome == AdviceOutcome.ANSWERED) {
            sent.answered(sentCall.call, nowMillis);
            allowance.answered(nowMillis - sentCall.sentMillis - sentCall.expectedMillis);
        } else if (outcome == AdviceOutcome.UNANSWERED) {
            sent.givenUp(sentCall.call);
            allowance.unanswered();
        } else {
            sent.rejected(sentCall.call);
        }
    }

    private void passOn(SentCall sentCall, AdviceResult result) {
        try {
            long waitMillis = sentCall.expectedMillis - sentCall.call.request.durationMillis();
            long callMillis = context.now().steadyMillis() - sentCall.sentMillis - waitMillis;
            sentCall.call.listener.ended(result, Math.max(0, callMillis));
        } finally {
            sendNext();
        }
    }

    /**
     * Gives the calls up that were sent before an answered one: the service has handled them, so their answers are lost unless they
     * are on their way or the calls overtook one another.
     */
    private void giveUpBefore(SentCall answered) {
        for (SentCall earlier : awaited) {
            if (earlier.number >= answered.number) {
                return;
            }
            long delayMillis = earlier.call.request.durationMillis() + RequestQueue.LEAD_MILLIS;
            context.schedule(delayMillis, () -> {
                if (awaited.remove(earlier)) {
                    sent.givenUp(earlier.call);
                    passOn(earlier, AdviceResult.failed(AdviceOutcome.UNANSWERED));
                }
            });
        }
    }

    /**
     * Receives the result of a call.
     */
    @FunctionalInterface
    interface Listener {
        /**
         * Handles the result.
         *
         * @param result  the result, not null
         * @param callMillis  the time from the sending of the request to its end, without the time that the service was expected
         *     to need for those before it, in milliseconds
         */
        void ended(AdviceResult result, long callMillis);
    }

    private record Call(AdviceRequest request, BooleanSupplier wanted, Listener listener) {}

    /**
     * A call that was sent.
     *
     * @param number  the number of calls sent until then
     * @param sentMillis  when it was sent, on the steady clock in milliseconds
     * @param expectedMillis  the time within which the answer was expected, with the calls before this one
     */
    private record SentCall(Call call, long number, long sentMillis, long expectedMillis) {}
}
