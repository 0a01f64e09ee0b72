package org.trefoilpost.entry.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class OpenRepliesTest {
    private final OpenReplies<String> replies = new OpenReplies<>();

    @Test
    void completedReplyIsNotOpen() {
        CompletableFuture<String> reply = added();
        assertEquals(1, replies.count());
        reply.complete("done");
        assertEquals(0, replies.count());
        replies.add(CompletableFuture.completedFuture("at once"));
        assertEquals(0, replies.count());
    }

    /** Guards against a caller that leaves and thereby ends the wait for the replies to the others. */
    @Test
    void cancelledAndFailedRepliesDoNotEndTheWaitForTheOthers() {
        CompletableFuture<String> cancelled = added();
        CompletableFuture<String> failed = added();
        CompletableFuture<String> slow = added();
        CompletableFuture<Void> ended = replies.allEnded();
        cancelled.cancel(true);
        failed.completeExceptionally(new IllegalStateException("failed"));
        assertFalse(ended.isDone());
        slow.complete("done");
        assertTrue(ended.isDone() && !ended.isCompletedExceptionally());
    }

    @Test
    void laterRepliesAreNotWaitedFor() {
        CompletableFuture<String> present = added();
        CompletableFuture<Void> ended = replies.allEnded();
        added();
        present.complete("done");
        assertTrue(ended.isDone());
        assertEquals(1, replies.count());
    }

    @Test
    void everyOpenReplyIsCompleted() {
        CompletableFuture<String> done = added();
        done.complete("done");
        CompletableFuture<String> open = added();
        replies.completeAll(() -> "the server ends");
        assertEquals("done", done.join());
        assertEquals("the server ends", open.join());
        assertEquals(0, replies.count());
    }

    private CompletableFuture<String> added() {
        CompletableFuture<String> reply = new CompletableFuture<>();
        replies.add(reply);
        return reply;
    }
}
