package org.trefoilpost.entry;

import java.util.function.Consumer;
import org.trefoilpost.decision.routing.LeavingRegister;
import org.trefoilpost.entry.fleet.Cordon;
import org.trefoilpost.entry.peer.ConfigurationPush;
import org.trefoilpost.entry.peer.ConfigurationWanted;
import org.trefoilpost.entry.peer.CordonNotice;
import org.trefoilpost.entry.peer.DrainAnswer;
import org.trefoilpost.entry.peer.DrainQuery;
import org.trefoilpost.entry.peer.HeartbeatFrame;
import org.trefoilpost.entry.peer.LeavingNotice;
import org.trefoilpost.entry.peer.PeerHandler;
import org.trefoilpost.entry.peer.PeerMessage;
import org.trefoilpost.entry.peer.PeerReply;
import org.trefoilpost.model.EntryId;

/**
 * Hands the messages of peers to the duties that they concern.
 */
final class EntryPeerHandler implements PeerHandler {
    private final EntryDuties duties;

    EntryPeerHandler(EntryDuties duties) {
        this.duties = duties;
    }

    @Override
    public void received(EntryId from, PeerMessage message, Consumer<PeerReply> reply) {
        if (!duties.isComplete()) {
            return;
        }
        if (message instanceof HeartbeatFrame heartbeat) {
            duties.membership().received(heartbeat);
        } else if (message instanceof ConfigurationPush push) {
            duties.configuration().pushed(push.update());
        } else if (message instanceof ConfigurationWanted wanted) {
            duties.configuration()
                    .snapshotFor(wanted.version(), update -> duties.network().send(from, ConfigurationPush.of(update)));
        } else if (message instanceof CordonNotice cordon) {
            duties.fleet()
                    .cordonTold(Cordon.of(
                            cordon.plan(), cordon.step(), cordon.attempt(), cordon.worker(), cordon.cordoned()));
        } else if (message instanceof LeavingNotice leaving) {
            duties.requests()
                    .leaving(LeavingRegister.empty().withWorkerSignal(leaving.worker(), leaving.incarnation()));
        } else if (message instanceof DrainQuery query) {
            duties.fleet()
                    .drainCount(query.plan(), query.step(), query.worker())
                    .thenAccept(count ->
                            reply.accept(DrainAnswer.of(query.callId(), count.acknowledged(), count.inFlight())));
        }
    }
}
