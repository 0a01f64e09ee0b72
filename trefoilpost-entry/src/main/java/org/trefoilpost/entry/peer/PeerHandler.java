package org.trefoilpost.entry.peer;

import java.util.function.Consumer;
import org.trefoilpost.model.EntryId;

/**
 * Is told of the messages of peers, on the network's thread; must not block.
 */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Takes in a message.
     *
     * @param from  the peer, not null
     * @param message  the message, not null
     * @param reply  sends the reply to a call; does nothing for other messages, not null
     */
    void received(EntryId from, PeerMessage message, Consumer<PeerReply> reply);
}
