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
class ConfigurationTrafficTest {
    private static final int POOLS = 600;
    private static final int CHANGES = 100;
    private static final int OTHER_ENTRIES = 8;
    private static final long MILLIS_BETWEEN_CHANGES = 86_400_000 / 15_000;
    private static final long WATCH_WAIT_MILLIS = 2_000;
    private static final long NOW = 1_000_000;
    private static final double CHANGES_PER_SECOND = 15_000 / 86_400.0;
    private static final double MAX_BYTES_PER_SECOND = 19_000;

    private final FakeStore store = new FakeStore();
    private final SimulatedEntry acceptingEntry = new SimulatedEntry();
    private final SimulatedEntry entryWithPush = new SimulatedEntry();
    private final SimulatedEntry entryWithoutPush = new SimulatedEntry();
    private long pushedBytes;
    private long acceptorReadBytes;
    private long followerReadBytes;
    private long pushedToReadBytes;

    private void change(int number, Configuration configuration) {
        long now = NOW + number * MILLIS_BETWEEN_CHANGES;
        for (long watched = now - MILLIS_BETWEEN_CHANGES; watched <= now; watched += WATCH_WAIT_MILLIS) {
            watchEnded(watched);
        }
        long readBefore = store.bytesRead();
        acceptingEntry.deliverToAcceptor(Configurations.change("change-" + number, configuration), store, now);
        ConfigurationUpdate update = acceptingEntry.pushed.get(acceptingEntry.pushed.size() - 1);
        pushedBytes += ConfigurationDocumentCodec.writeUpdate(update).length();
        acceptingEntry.deliverToFollower(ConfigurationEvent.UpdateReceived.of(update), store, now);
        acceptorReadBytes += store.bytesRead() - readBefore;
        readBefore = store.bytesRead();
        entryWithPush.deliverToFollower(ConfigurationEvent.UpdateReceived.of(update), store, now);
        pushedToReadBytes += store.bytesRead() - readBefore;
        readBefore = store.bytesRead();
        entryWithoutPush.deliverToFollower(ConfigurationEvent.HeadChanged.of(store.headRevision()), store, now);
        entryWithoutPush.deliverToFollower(
                ConfigurationEvent.Tick.of(), store, now + ConfigurationFollower.RETRY_INTERVAL_MILLIS);
        followerReadBytes += store.bytesRead() - readBefore;
    }

    private void watchEnded(long now) {
        for (SimulatedEntry entry : List.of(acceptingEntry, entryWithPush, entryWithoutPush)) {
            entry.deliverToFollower(ConfigurationEvent.HeadUnchanged.of(store.revision(), now), store, now);
        }
    }

    @Test
    void eachChange_movesItsPartOnly() {
        Configuration configuration = Configurations.pools(POOLS, 1);
        int whole = ConfigurationCodec.write(configuration).length();
        change(0, configuration);
        long writtenBefore = store.bytesWritten();
        pushedBytes = 0;
        acceptorReadBytes = 0;
        followerReadBytes = 0;
        pushedToReadBytes = 0;
        for (int number = 1; number <= CHANGES; number++) {
            configuration = configuration.toBuilder()
                    .pool(Configurations.pool(number, 2))
                    .build();
            change(number, configuration);
        }
        long written = (store.bytesWritten() - writtenBefore) / CHANGES;
        assertEquals(acceptingEntry.configuration(), entryWithPush.configuration());
        assertEquals(acceptingEntry.configuration(), entryWithoutPush.configuration());
        assertEquals(0, pushedToReadBytes);
        print(whole, written);
        assertFits(pushedBytes / CHANGES);
        assertFits(followerReadBytes / CHANGES);
        assertFits(written + acceptorReadBytes / CHANGES + OTHER_ENTRIES * pushedBytes / CHANGES);
        assertTrue(CHANGES_PER_SECOND * whole > MAX_BYTES_PER_SECOND, "the whole would fit as well");
    }

    private void print(int whole, long written) {
        System.out.printf(
                "configuration %d bytes, %d pools; a change: pushed %d an entry; read by an entry without the push %d; "
                        + "written %d and read %d by the accepting entry%n",
                whole, POOLS, pushedBytes / CHANGES, followerReadBytes / CHANGES, written, acceptorReadBytes / CHANGES);
    }

    private static void assertFits(long bytesOfAChange) {
        assertTrue(CHANGES_PER_SECOND * bytesOfAChange <= MAX_BYTES_PER_SECOND, () -> "bytes " + bytesOfAChange);
    }
}
