package org.trefoilpost.entry.peer;

import java.util.function.Consumer;
import org.trefoilpost.model.EntryId;

/**
 * Handles the messages of peers. Runs on the network thread and must not block.
 */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a message.
     *
     * @param from  the peer that sent the message, not null
     * @param message  the message, not null
     * @param reply  sends the reply to a {@link PeerCall}; not to be used for other messages, not null
     */
    void received(EntryId from, PeerMessage message, Consumer<PeerReply> reply);
}
