package org.trefoilpost.entry.job;

import java.util.concurrent.CompletableFuture;
import org.trefoilpost.entry.peer.PoolAnswer;

/**
 * Calls other entries about the pools that they own.
 */
interface PeerCalls {
    /**
     * Calls the owner of a pool.
     *
     * @return the answer; fails if there is none within the timeout
     */
    CompletableFuture<PoolAnswer> call(LiveEntries.Peer peer, String pool, byte[] request, long timeoutMillis);
}
