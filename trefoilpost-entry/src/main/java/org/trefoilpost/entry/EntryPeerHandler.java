package org.trefoilpost.entry;

import java.util.function.Consumer;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.entry.peer.ConfigurationPush;
import org.trefoilpost.entry.peer.ConfigurationWanted;
import org.trefoilpost.entry.peer.CordonNotice;
import org.trefoilpost.entry.peer.DrainAnswer;
import org.trefoilpost.entry.peer.DrainQuery;
import org.trefoilpost.entry.peer.ForwardOutcome;
import org.trefoilpost.entry.peer.ForwardRequest;
import org.trefoilpost.entry.peer.HandOverNotice;
import org.trefoilpost.entry.peer.HeartbeatFrame;
import org.trefoilpost.entry.peer.LeavingNotice;
import org.trefoilpost.entry.peer.PeerHandler;
import org.trefoilpost.entry.peer.PeerMessage;
import org.trefoilpost.entry.peer.PeerReply;
import org.trefoilpost.entry.peer.UncordonAnswer;
import org.trefoilpost.entry.peer.UncordonCall;
import org.trefoilpost.entry.request.RequestOutcome;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.target.TargetResponse;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.Verdict;

/**
 * Hands the messages of peers to the duties that they concern.
 */
final class EntryPeerHandler implements PeerHandler {
    private final EntryDuties duties;
    private final MillisClock clock;

    EntryPeerHandler(EntryDuties duties, MillisClock clock) {
        this.duties = duties;
        this.clock = clock;
    }

    @Override
    public void received(EntryId from, PeerMessage message, Consumer<PeerReply> reply) {
        if (!duties.isComplete()) {
            return;
        }
        if (message instanceof HeartbeatFrame heartbeat) {
            duties.membership().receiveHeartbeat(heartbeat);
        } else if (message instanceof ConfigurationPush push) {
            duties.configuration().receiveUpdate(push.update());
        } else if (message instanceof ConfigurationWanted wanted) {
            duties.configuration()
                    .sendSnapshot(
                            wanted.version(), update -> duties.network().send(from, ConfigurationPush.of(update)));
        } else if (message instanceof CordonNotice notice) {
            duties.fleet().applyCordon(notice.cordon());
        } else if (message instanceof LeavingNotice leaving) {
            duties.requests()
                    .mergeLeaving(LeavingRegister.empty().withWorkerSignal(leaving.worker(), leaving.incarnation()));
        } else if (message instanceof HandOverNotice notice) {
            duties.claims().receiveHandOver(notice.handOver());
        } else if (message instanceof ForwardRequest forward) {
            forwarded(forward, reply);
        } else if (message instanceof UncordonCall call) {
            duties.fleet()
                    .uncordon(call.cordon(), call.stoppedIncarnation())
                    .thenAccept(inService -> reply.accept(UncordonAnswer.of(call.callId(), inService)));
        } else if (message instanceof DrainQuery query) {
            duties.fleet()
                    .drainCount(query.cordon())
                    .thenAccept(count -> reply.accept(
                            DrainAnswer.of(query.callId(), count.acknowledgedAttempt(), count.inFlight())));
        }
    }

    private void forwarded(ForwardRequest forward, Consumer<PeerReply> reply) {
        long deadlineMillis = clock.nowMillis() + forward.remainingMillis();
        duties.claims()
                .submitForwarded(forward.request().withDeadlineMillis(deadlineMillis))
                .thenAccept(outcome -> reply.accept(ForwardOutcome.of(forward.callId(), sendable(outcome))));
    }

    /** Returns an outcome that fits a frame: an answer that is not held in whole cannot be sent on. */
    private static RequestOutcome sendable(RequestOutcome outcome) {
        boolean streamed = outcome.response().flatMap(TargetResponse::stream).isPresent();
        return streamed ? RequestOutcome.of(Verdict.mayHaveRun(UncertaintyReason.ANSWER_INCOMPLETE)) : outcome;
    }
}
