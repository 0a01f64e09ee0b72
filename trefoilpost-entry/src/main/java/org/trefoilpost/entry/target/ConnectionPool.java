package org.trefoilpost.entry.target;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The places that a target's connections may take: idle connections, and permits to open more within a limit. Safe for
 * use by many threads.
 *
 * @param <C> the type of connections
 */
final class ConnectionPool<C> {
    private final Deque<C> idle = new ArrayDeque<>();
    private int openConnections;
    private boolean closed;

    /**
     * Constructs a pool without connections.
     */
    ConnectionPool() {}

    /**
     * Takes an idle connection, or a permit to open one.
     *
     * @param limit  the most connections, positive
     * @return the place, not null
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
     * Gives a connection back, to be taken again.
     *
     * @param connection  the connection, not null
     * @return true if the pool keeps the connection, false if it is closed
     */
    synchronized boolean release(C connection) {
        if (closed) {
            return false;
        }
        idle.addFirst(connection);
        return true;
    }

    /**
     * Gives up a connection that has closed, or a permit whose connection was not made.
     *
     * @param connection  the connection, empty for a permit, not null
     */
    synchronized void discard(Optional<C> connection) {
        openConnections--;
        connection.ifPresent(idle::remove);
    }

    /**
     * Closes the pool: no place is taken any more.
     */
    synchronized void close() {
        closed = true;
        idle.clear();
    }

    /**
     * Returns the connections that are open or being opened.
     *
     * @return the number, not negative
     */
    synchronized int openConnections() {
        return openConnections;
    }

    /**
     * What a taker got.
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
         * Returns the kind of the place.
         *
         * @return the kind, not null
         */
        Kind kind() {
            return kind;
        }

        /**
         * Returns the idle connection.
         *
         * @return the connection, empty unless the place is idle, not null
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
     * Kinds of places.
     */
    enum Kind {
        /** An idle connection. */
        IDLE,
        /** A permit to open a connection. */
        PERMIT,
        /** No place, as all are in use. */
        FULL,
        /** No place, as the pool is closed. */
        CLOSED
    }
}
