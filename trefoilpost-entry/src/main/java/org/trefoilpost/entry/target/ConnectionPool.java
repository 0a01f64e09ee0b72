package org.trefoilpost.entry.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * A pool of a target's connections: keeps idle connections, and grants permits to open more within a limit.
 *
 * <p>Safe for use by many threads.
 *
 * @param <C> the type of connections
 */
final class ConnectionPool<C> {
    private final Deque<C> idle = new ArrayDeque<>();
    private int openConnections;
    private boolean closed;

    /**
     * Constructs an empty pool.
     */
    ConnectionPool() {}

    /**
     * Acquires the most recently released idle connection or, below the limit, a permit to open a new one.
     *
     * @param limit  the maximum number of open connections, positive
     * @return the result, not null
     */
    synchronized Acquisition<C> acquire(int limit) {
        if (closed) {
            return Acquisition.closed();
        }
        C connection = idle.pollFirst();
        if (connection != null) {
            return Acquisition.idle(connection);
        }
        if (openConnections >= limit) {
            return Acquisition.full();
        }
        openConnections++;
        return Acquisition.permit();
    }

    /**
     * Returns a connection to the pool as idle.
     *
     * @param connection  the connection, which has no exchange in flight, not null
     * @return true if the pool keeps the connection, false if the pool is closed and the caller must close it
     */
    synchronized boolean release(C connection) {
        if (closed) {
            return false;
        }
        idle.addFirst(connection);
        return true;
    }

    /**
     * Frees the place of a connection that has closed, or of a permit whose connection could not be opened.
     *
     * @param connection  the closed connection, empty for a permit, not null
     */
    synchronized void discard(Optional<C> connection) {
        openConnections--;
        connection.ifPresent(idle::remove);
    }

    /**
     * Closes the pool, after which nothing can be acquired; idle connections are dropped but not closed.
     */
    synchronized void close() {
        closed = true;
        idle.clear();
    }

    /**
     * Returns the number of connections that are open or being opened.
     *
     * @return the number, not negative
     */
    synchronized int openConnections() {
        return openConnections;
    }

    /**
     * The result of acquiring a connection.
     *
     * @param <C> the type of connections
     */
    static final class Acquisition<C> {
        private final Kind kind;
        private final C connection;

        private Acquisition(Kind kind, C connection) {
            this.kind = kind;
            this.connection = connection;
        }

        private static <C> Acquisition<C> idle(C connection) {
            return new Acquisition<>(Kind.IDLE, connection);
        }

        private static <C> Acquisition<C> permit() {
            return new Acquisition<>(Kind.PERMIT, null);
        }

        private static <C> Acquisition<C> full() {
            return new Acquisition<>(Kind.FULL, null);
        }

        private static <C> Acquisition<C> closed() {
            return new Acquisition<>(Kind.CLOSED, null);
        }

        /**
         * Returns the kind of the result.
         *
         * @return the kind, not null
         */
        Kind kind() {
            return kind;
        }

        /**
         * Returns the idle connection.
         *
         * @return the connection, empty unless the kind is {@link Kind#IDLE}, not null
         */
        Optional<C> connection() {
            return Optional.ofNullable(connection);
        }

        @Override
        public String toString() {
            return connection == null ? kind.name() : kind + " " + connection;
        }
    }

    /**
     * Kinds of results of acquiring a connection.
     */
    enum Kind {
        /** An idle connection. */
        IDLE,
        /** A permit to open a new connection. */
        PERMIT,
        /** Nothing, because the limit is reached and no connection is idle. */
        FULL,
        /** Nothing, because the pool is closed. */
        CLOSED
    }
}
