package org.trefoilpost.entry.relay;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Passes calls to the store on to other entries.
 */
public interface StoreRelay {
    /** A relay without other entries. */
    StoreRelay NONE = new StoreRelay() {
        @Override
        public Collection<String> connectedPeers() {
            return List.of();
        }

        @Override
        public CompletableFuture<Optional<byte[]>> send(String peer, byte[] call, long timeoutMillis) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
    };

    /**
     * Returns the entries that can be asked now, and prepares connections to some if there are few. Called on the
     * service's thread.
     *
     * @return the names of the entries, not null
     */
    Collection<String> connectedPeers();

    /**
     * Asks an entry to carry out a call.
     *
     * @param peer  the name of the entry, not null
     * @param call  the encoded call, not null
     * @param timeoutMillis  how long the reply is awaited, in milliseconds
     * @return the encoded reply, empty if the entry has not carried out the call and never will; fails if the outcome is
     *     not known; not null
     */
    CompletableFuture<Optional<byte[]>> send(String peer, byte[] call, long timeoutMillis);
}
