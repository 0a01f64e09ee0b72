package org.trefoilpost.entry.target;

import java.util.Optional;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * Checks with Lincheck that the pool is linearizable under concurrent operations.
 *
 * <p>Runs in a JVM of its own, because Lincheck instruments the classes of its JVM.
 */
public class ConnectionPoolLincheckTest {
    private static final int LIMIT = 2;

    private final ConnectionPool<Integer> pool = new ConnectionPool<>();

    /**
     * Acquires a connection or a permit.
     *
     * @return the text of the result, not null
     */
    @Operation
    public String acquire() {
        return pool.acquire(LIMIT).toString();
    }

    /**
     * Releases a connection.
     *
     * @param connection  the connection
     * @return true if the pool keeps it
     */
    @Operation
    public boolean release(int connection) {
        return pool.release(connection);
    }

    /**
     * Discards a permit whose connection was not opened.
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
