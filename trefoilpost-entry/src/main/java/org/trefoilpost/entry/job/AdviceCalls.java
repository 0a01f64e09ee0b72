package org.trefoilpost.entry.job;

import java.util.ArrayDeque;
import java.util.Queue;
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
        sent.add(call, call.request.durationMillis(), sentMillis);
        Listener timed = (result, callMillis) -> {
            ended(call, result, callMillis - expectedMillis);
            call.listener.ended(result, callMillis);
        };
        context.call(
                () -> context.ports()
                        .advice()
                        .requestAdvice(
                                call.request,
                                expectedMillis + allowance.millis(),
                                late -> context.execute(() -> end(timed, late, sentMillis))),
                (result, failure) ->
                        end(timed, failure == null ? result : AdviceResult.failed(AdviceOutcome.FAILED), sentMillis));
    }

    private void end(Listener listener, AdviceResult result, long sentMillis) {
        try {
            listener.ended(result, context.now().steadyMillis() - sentMillis);
        } finally {
            sendNext();
        }
    }

    private void ended(Call call, AdviceResult result, long latenessMillis) {
        if (result.outcome() == AdviceOutcome.ANSWERED) {
            sent.answered(call, context.now().steadyMillis());
            allowance.answered(latenessMillis);
        } else if (result.outcome() == AdviceOutcome.UNANSWERED) {
            sent.givenUp(call);
            allowance.unanswered();
        } else {
            sent.rejected(call);
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
         * @param callMillis  the time from the sending of the request to its end, in milliseconds
         */
        void ended(AdviceResult result, long callMillis);
    }

    private record Call(AdviceRequest request, BooleanSupplier wanted, Listener listener) {}
}
