package org.trefoilpost.decision.dispatch;

import java.util.Objects;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Gives a request its final verdict.
 */
public final class DeliverVerdict implements DispatchAction {
    private final long requestId;
    private final Verdict verdict;

    private DeliverVerdict(long requestId, Verdict verdict) {
        this.requestId = requestId;
        this.verdict = verdict;
    }

    /**
     * Obtains an instance.
     *
     * @param requestId  the number of the request
     * @param verdict  the verdict, not null
     * @return the instance, not null
     */
    static DeliverVerdict of(long requestId, Verdict verdict) {
        return new DeliverVerdict(requestId, Objects.requireNonNull(verdict, "verdict"));
    }

    @Override
    public long requestId() {
        return requestId;
    }

    /**
     * Returns the verdict; if it is answered, the answer is that of the attempt that ended last.
     *
     * @return the verdict, not null
     */
    public Verdict verdict() {
        return verdict;
    }

    /**
     * Returns the request and the verdict.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "Conclude(" + requestId + " " + verdict + ")";
    }
}
