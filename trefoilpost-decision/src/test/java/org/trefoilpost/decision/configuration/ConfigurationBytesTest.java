package org.trefoilpost.decision.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.ConfigurationCodec;

/**
 * Counts the bytes of a change at 15,000 changes a day and about 200 KB of configuration.
 */
class ConfigurationBytesTest {
    private static final int POOLS = 600;
    private static final int CHANGES = 100;
    private static final int OTHER_ENTRIES = 8;
    private static final long MILLIS_BETWEEN_CHANGES = 86_400_000 / 15_000;
    private static final long WATCH_WAIT_MILLIS = 2_000;
    private static final long NOW = 1_000_000;
    private static final double CHANGES_PER_SECOND = 15_000 / 86_400.0;
    private static final double MAX_BYTES_PER_SECOND = 19_000;

    private final FakeStore store = new FakeStore();
    private final SimulatedEntry operator = new SimulatedEntry();
    private final SimulatedEntry pushedTo = new SimulatedEntry();
    private final SimulatedEntry reading = new SimulatedEntry();
    private long pushed;
    private long acceptorRead;
    private long followerRead;
    private long pushedToRead;

    private void change(int number, Configuration configuration) {
        long now = NOW + number * MILLIS_BETWEEN_CHANGES;
        for (long watched = now - MILLIS_BETWEEN_CHANGES; watched <= now; watched += WATCH_WAIT_MILLIS) {
            watchEnded(watched);
        }
        long readBefore = store.bytesRead();
        operator.request(Configurations.change("change-" + number, configuration), store, now);
        ConfigurationUpdate update = operator.pushed.get(operator.pushed.size() - 1);
        pushed += ConfigurationDocuments.writeUpdate(update).length();
        operator.follow(ConfigurationEvent.UpdateReceived.of(update), store, now);
        acceptorRead += store.bytesRead() - readBefore;
        readBefore = store.bytesRead();
        pushedTo.follow(ConfigurationEvent.UpdateReceived.of(update), store, now);
        pushedToRead += store.bytesRead() - readBefore;
        readBefore = store.bytesRead();
        reading.follow(ConfigurationEvent.HeadChanged.of(store.headRevision()), store, now);
        reading.follow(ConfigurationEvent.Tick.of(), store, now + ConfigurationFollower.RETRY_INTERVAL_MILLIS);
        followerRead += store.bytesRead() - readBefore;
    }

    private void watchEnded(long now) {
        for (SimulatedEntry entry : List.of(operator, pushedTo, reading)) {
            entry.follow(ConfigurationEvent.HeadUnchanged.of(store.revision(), now), store, now);
        }
    }

    @Test
    void eachChange_movesItsPartOnly() {
        Configuration configuration = Configurations.pools(POOLS, 1);
        int whole = ConfigurationCodec.write(configuration).length();
        change(0, configuration);
        long writtenBefore = store.bytesWritten();
        pushed = 0;
        acceptorRead = 0;
        followerRead = 0;
        pushedToRead = 0;
        for (int number = 1; number <= CHANGES; number++) {
            configuration = configuration.toBuilder()
                    .pool(Configurations.pool(number, 2))
                    .build();
            change(number, configuration);
        }
        long written = (store.bytesWritten() - writtenBefore) / CHANGES;
        assertEquals(operator.configuration(), pushedTo.configuration());
        assertEquals(operator.configuration(), reading.configuration());
        assertEquals(0, pushedToRead);
        print(whole, written);
        assertFits(pushed / CHANGES);
        assertFits(followerRead / CHANGES);
        assertFits(written + acceptorRead / CHANGES + OTHER_ENTRIES * pushed / CHANGES);
        assertTrue(CHANGES_PER_SECOND * whole > MAX_BYTES_PER_SECOND, "the whole would fit as well");
    }

    private void print(int whole, long written) {
        System.out.printf(
                "configuration %d bytes, %d pools; a change: pushed %d an entry; read by an entry without the push %d; "
                        + "written %d and read %d by the accepting entry%n",
                whole, POOLS, pushed / CHANGES, followerRead / CHANGES, written, acceptorRead / CHANGES);
    }

    private static void assertFits(long bytesOfAChange) {
        assertTrue(CHANGES_PER_SECOND * bytesOfAChange <= MAX_BYTES_PER_SECOND, () -> "bytes " + bytesOfAChange);
    }
}
