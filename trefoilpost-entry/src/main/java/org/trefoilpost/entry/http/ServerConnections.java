package org.trefoilpost.entry.http;

import io.servicetalk.http.api.HttpServerContext;
import io.servicetalk.transport.api.IoExecutor;
import io.servicetalk.transport.api.TransportObserver;
import io.servicetalk.transport.netty.internal.NettyIoExecutors;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.trefoilpost.entry.runtime.MillisClock;

/**
 * The connections of a listener. One thread accepts all of them, reads from them and begins their close, so nothing that has
 * arrived when the thread last looked for input is lost by the close.
 *
 * <p>Safe for use by several threads.
 */
public final class ServerConnections {
    /** Long enough for the thread to look for what has arrived. */
    private static final long READ_PASS_MILLIS = 1;

    /** A thread that needs longer was busy meanwhile, and has not seen what arrived since. */
    private static final long LONG_READ_PASS_MILLIS = 10;

    /** How long the close waits for a thread that is behind, after the time for first requests. */
    private static final long MAX_BEHIND_MILLIS = 500;

    private final IoExecutor thread;
    private final Set<CompletableFuture<Void>> unused = ConcurrentHashMap.newKeySet();
    private final MillisClock clock;
    private volatile boolean closing;

    private ServerConnections(String threadName, MillisClock clock) {
        this.thread = NettyIoExecutors.createIoExecutor(1, threadName);
        this.clock = clock;
    }

    /**
     * Starts the thread of a listener.
     *
     * @param threadName  the start of the thread's name, not null
     * @param clock  the clock in milliseconds, not null
     * @return the connections, none yet, not null
     */
    public static ServerConnections of(String threadName, MillisClock clock) {
        return new ServerConnections(threadName, clock);
    }

    /**
     * Returns the thread that the listener is to use, to be set when the listener is built.
     *
     * @return the thread, not null
     */
    public IoExecutor thread() {
        return thread;
    }

    /**
     * Returns an observer of the listener's transport that adds each connection, to be set when the listener is built.
     *
     * @return the observer, not null
     */
    public TransportObserver observer() {
        return (localAddress, remoteAddress) -> {
            CompletableFuture<Void> used = new CompletableFuture<>();
            add(used);
            return new FirstReadObserver(used);
        };
    }

    /**
     * Adds a connection that was accepted. To be called by the observer of the listener's transport, if that is another one.
     *
     * @param used  completes once something has been read from the connection, or it has ended, not null
     */
    public void add(CompletableFuture<Void> used) {
        unused.add(used);
        used.whenComplete((ignored, failure) -> unused.remove(used));
    }

    /**
     * Returns whether the close of the listener has begun.
     *
     * @return true from the time on when no connection is accepted
     */
    public boolean isClosing() {
        return closing;
    }

    /**
     * Returns the number of open connections from which nothing has been read.
     */
    int unusedCount() {
        return unused.size();
    }

    /**
     * Accepts the connections that are waiting, and waits for the first request of each new one, since connections
     * without a request are closed as idle. Then closes the listener gracefully, right after its thread has looked for input:
     * what is unread when the close begins is discarded.
     *
     * @param server  the listener, not null
     * @param firstRequestMillis  how long to wait for first requests, in milliseconds
     * @return completes once all connections are closed, not null
     */
    public CompletableFuture<Void> closeGracefully(HttpServerContext server, long firstRequestMillis) {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        // The time for first requests starts once the thread has accepted what was waiting; it may have been behind.
        afterReadPass(closed, upToDate -> {
            long untilMillis = clock.nowMillis() + firstRequestMillis;
            closeOnceUsed(server, untilMillis, upToDate, closed);
        });
        return closed;
    }

    /**
     * Closes the listener and its connections at once, and ends their thread.
     *
     * @param server  the listener, not null
     */
    public void close(HttpServerContext server) {
        server.closeAsync().concat(thread.closeAsync()).subscribe();
    }

    /**
     * Closes the listener if it has no new connection, else waits for their first requests until the given time at most.
     * Waits longer for a thread that is behind, so that the requests which have arrived are read before the close.
     */
    private void closeOnceUsed(
            HttpServerContext server, long untilMillis, boolean upToDate, CompletableFuture<Void> closed) {
        long remainingMillis = untilMillis - clock.nowMillis();
        boolean mayClose = unused.isEmpty() || remainingMillis <= 0;
        if (mayClose && (upToDate || remainingMillis <= -MAX_BEHIND_MILLIS)) {
            closing = true;
            server.closeAsyncGracefully()
                    .afterOnError(closed::completeExceptionally)
                    .subscribe(() -> closed.complete(null));
        } else if (mayClose) {
            afterReadPass(closed, nowUpToDate -> closeOnceUsed(server, untilMillis, nowUpToDate, closed));
        } else {
            CompletableFuture.allOf(unused.toArray(CompletableFuture[]::new))
                    .completeOnTimeout(null, remainingMillis, TimeUnit.MILLISECONDS)
                    .thenRunAsync(() -> afterReadPass(
                            closed, nowUpToDate -> closeOnceUsed(server, untilMillis, nowUpToDate, closed)));
        }
    }

    /**
     * Runs a step on the thread after it has looked for connections and input that were there before this call.
     *
     * @param step  receives whether the thread has also looked for most of what has arrived since: it was not busy for long,
     *     and has read from each connection that is open
     */
    private void afterReadPass(CompletableFuture<Void> closed, Consumer<Boolean> step) {
        AtomicLong beginMillis = new AtomicLong();
        Set<CompletableFuture<Void>> accepted = ConcurrentHashMap.newKeySet();
        // The timer must start on the thread itself: one that ends while the thread is busy fires before the next read.
        thread.submit(() -> {
                    beginMillis.set(clock.nowMillis());
                    accepted.addAll(unused);
                })
                .concat(thread.timer(READ_PASS_MILLIS, TimeUnit.MILLISECONDS))
                .afterOnError(closed::completeExceptionally)
                .subscribe(() -> step.accept(
                        clock.nowMillis() - beginMillis.get() < LONG_READ_PASS_MILLIS && accepted.containsAll(unused)));
    }
}
