package org.trefoilpost.entry.job;

import java.util.function.Consumer;
import org.trefoilpost.entry.peer.PeerMessage;
import org.trefoilpost.entry.peer.PeerReply;
import org.trefoilpost.entry.peer.PoolAnswer;
import org.trefoilpost.entry.peer.PoolCall;
import org.trefoilpost.entry.relay.RelayedStore;

/**
 * Answers the calls of other entries. Used on the service's thread only.
 */
final class PeerRequests {
    private final ConfigurationPeers configurationPeers;
    private final RelayedStore store;
    private final OwnerCalls ownerCalls;

    PeerRequests(ConfigurationPeers configurationPeers, RelayedStore store, OwnerCalls ownerCalls) {
        this.configurationPeers = configurationPeers;
        this.store = store;
        this.ownerCalls = ownerCalls;
    }

    /**
     * Handles a message of another entry; one that is no call is ignored.
     */
    void received(PeerMessage message, Consumer<PeerReply> reply) {
        if (message instanceof PoolCall call) {
            answer(call, reply);
        }
    }

    private void answer(PoolCall call, Consumer<PeerReply> reply) {
        // A call without a pool asks for the configuration, or only tests the connection.
        if (call.pool().isEmpty()) {
            reply.accept(configurationPeers.answer(call.callId(), call.request()));
        } else if (call.pool().equals(PeerStoreRelay.POOL)) {
            PeerStoreRelay.answer(store, call, reply);
        } else {
            ownerCalls.answerPeerCall(
                    call.pool(),
                    call.request(),
                    (owner, bytes) -> reply.accept(PoolAnswer.of(call.callId(), owner, bytes)));
        }
    }
}
