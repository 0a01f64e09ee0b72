package org.trefoilpost.entry.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConnectionPoolTest {
    private static final int LIMIT = 2;

    private final ConnectionPool<Integer> pool = new ConnectionPool<>();

    @Test
    void neverExceedsTheConnectionLimit() {
        assertEquals("PERMIT", pool.acquire(LIMIT).toString());
        assertEquals("PERMIT", pool.acquire(LIMIT).toString());
        assertEquals("FULL", pool.acquire(LIMIT).toString());
        pool.release(7);
        assertEquals("IDLE 7", pool.acquire(LIMIT).toString());
        pool.discard(Optional.of(7));
        assertEquals("PERMIT", pool.acquire(LIMIT).toString());
        assertEquals(LIMIT, pool.openConnections());
    }

    @Test
    void freesThePlaceOfAClosedConnection() {
        pool.acquire(LIMIT);
        pool.release(7);
        pool.discard(Optional.of(7));
        assertEquals("PERMIT", pool.acquire(LIMIT).toString());
    }

    @Test
    void refusesConnectionsOnceClosed() {
        pool.close();
        assertEquals("CLOSED", pool.acquire(LIMIT).toString());
        assertFalse(pool.release(7));
    }
}
