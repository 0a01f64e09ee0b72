package org.trefoilpost.entry.job;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import org.trefoilpost.decision.job.AdviceOutcome;
import org.trefoilpost.decision.job.AdviceRequest;
import org.trefoilpost.decision.job.AdviceResult;

/**
 * The calls of this entry to the advice service. Used on the service's thread only.
 *
 * <p>The service handles one call at a time for each calling machine, and finishes those that were given up. So a call is sent
 * when the one before it has ended: each has the service for itself, and its time is known from the policy.
 */
final class AdviceCalls {
    private final JobContext context;
    private final Queue<Call> waiting = new ArrayDeque<>();
    private final ResponseAllowance allowance = new ResponseAllowance();
    private boolean callUnderWay;

    AdviceCalls(JobContext context) {
        this.context = context;
    }

    /**
     * Makes a call when its turn comes.
     *
     * @param request  the request, not null
     * @param wanted  returns whether the result is still of use, not null; the call is dropped if it is not when its turn comes
     * @param listener  receives the result unless the call is dropped, not null
     */
    void request(AdviceRequest request, BooleanSupplier wanted, Listener listener) {
        waiting.add(new Call(request, wanted, listener));
        sendNext();
    }

    private void sendNext() {
        while (!callUnderWay && !waiting.isEmpty()) {
            Call next = waiting.remove();
            if (next.wanted.getAsBoolean()) {
                callUnderWay = true;
                send(next);
            }
        }
    }

    private void send(Call call) {
        long sentMillis = context.now().steadyMillis();
        long timeoutMillis = call.request.durationMillis() + allowance.millis();
        context.call(() -> context.ports().advice().requestAdvice(call.request, timeoutMillis), (result, failure) -> {
            callUnderWay = false;
            try {
                AdviceResult known = failure == null ? result : AdviceResult.failed(AdviceOutcome.FAILED);
                ended(call, known, context.now().steadyMillis() - sentMillis);
            } finally {
                sendNext();
            }
        });
    }

    private void ended(Call call, AdviceResult result, long callMillis) {
        if (result.outcome() == AdviceOutcome.ANSWERED) {
            allowance.answered(callMillis - call.request.durationMillis());
        } else if (result.outcome() == AdviceOutcome.UNANSWERED) {
            allowance.unanswered();
        }
        call.listener.ended(result, callMillis);
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
