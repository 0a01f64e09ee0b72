package org.trefoilpost.entry.http;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * The replies that a listener still owes: each belongs to a request that was read and has no reply yet.
 *
 * <p>Safe for use by several threads.
 *
 * @param <T>  the type of a reply
 */
public final class OpenReplies<T> {
    private final Set<CompletableFuture<T>> open = ConcurrentHashMap.newKeySet();

    /**
     * Adds a reply, which counts as open until it completes in any way.
     *
     * @param reply  the reply, not null
     */
    public void add(CompletableFuture<T> reply) {
        open.add(reply);
        reply.whenComplete((value, failure) -> open.remove(reply));
    }

    /**
     * Returns the number of open replies.
     *
     * @return the number, not negative
     */
    public int count() {
        return open.size();
    }

    /**
     * Returns when the replies that are open now have ended, also if some fail or are cancelled. Replies that are added
     * later are not waited for.
     *
     * @return completes normally with the last of these replies, not null
     */
    public CompletableFuture<Void> allEnded() {
        return CompletableFuture.allOf(open.stream()
                .map(reply -> reply.handle((value, failure) -> value))
                .toArray(CompletableFuture[]::new));
    }

    /**
     * Completes each open reply with a value.
     *
     * @param value  supplies the value for a reply, not null
     */
    public void completeAll(Supplier<T> value) {
        open.forEach(reply -> reply.complete(value.get()));
    }
}
