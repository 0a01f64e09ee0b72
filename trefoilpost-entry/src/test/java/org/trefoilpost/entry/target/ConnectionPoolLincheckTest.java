package org.trefoilpost.entry.target;

import java.util.Optional;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * Checks the pool against every order of its operations on several threads. It has a process of its own, as Lincheck
 * instruments the classes of its process.
 */
public class ConnectionPoolLincheckTest {
    private static final int LIMIT = 2;

    private final ConnectionPool<Integer> pool = new ConnectionPool<>();

    /**
     * Takes a place.
     *
     * @return the place, not null
     */
    @Operation
    public String acquire() {
        return pool.acquire(LIMIT).toString();
    }

    /**
     * Gives a connection back.
     *
     * @param connection  the connection
     * @return whether the pool keeps it
     */
    @Operation
    public boolean release(int connection) {
        return pool.release(connection);
    }

    /**
     * Gives up a permit.
     */
    @Operation
    public void discard() {
        pool.discard(Optional.empty());
    }

    /**
     * Closes the pool.
     */
    @Operation
    public void close() {
        pool.close();
    }

    @Test
    void isLinearizable() {
        new StressOptions()
                .iterations(5)
                .invocationsPerIteration(300)
                .threads(3)
                .actorsPerThread(3)
                .check(getClass());
    }
}
