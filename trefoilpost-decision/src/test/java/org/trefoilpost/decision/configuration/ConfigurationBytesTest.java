package org.trefoilpost.decision.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.ConfigurationCodec;

/**
 * Counts the bytes of a change at 15,000 changes a day and about 200 KB of configuration.
 */
class ConfigurationBytesTest {
    private static final int POOLS = 600;
    private static final int CHANGES = 100;
    private static final long NOW = 1_000_000;
    private static final double CHANGES_PER_SECOND = 15_000 / 86_400.0;
    private static final double MAX_BYTES_PER_SECOND = 19_000;

    private final FakeStore store = new FakeStore();
    private final SimulatedEntry operator = new SimulatedEntry();
    private final SimulatedEntry pushedTo = new SimulatedEntry();
    private final SimulatedEntry reading = new SimulatedEntry();
    private long pushedBytes;

    private void change(int number, Configuration configuration) {
        operator.request(Configurations.change("change-" + number, configuration), store, NOW);
        ConfigurationUpdate update = operator.pushed.get(operator.pushed.size() - 1);
        pushedBytes += ConfigurationDocuments.writeUpdate(update).length();
        operator.follow(ConfigurationEvent.UpdateReceived.of(update), store, NOW);
        pushedTo.follow(ConfigurationEvent.UpdateReceived.of(update), store, NOW);
        reading.follow(ConfigurationEvent.HeadChanged.of(store.headRevision()), store, NOW + 1_000L * number);
        reading.follow(ConfigurationEvent.Tick.of(), store, NOW + 1_000L * number + 500);
    }

    @Test
    void eachChange_movesItsPartOnly() {
        Configuration configuration = Configurations.pools(POOLS, 1);
        int wholeBytes = ConfigurationCodec.write(configuration).length();
        change(0, configuration);
        long writtenBefore = store.bytesWritten();
        long readBefore = store.bytesRead();
        pushedBytes = 0;
        for (int number = 1; number <= CHANGES; number++) {
            configuration = configuration.toBuilder()
                    .pool(Configurations.pool(number, 2))
                    .build();
            change(number, configuration);
        }
        assertEquals(operator.configuration(), pushedTo.configuration());
        assertEquals(operator.configuration(), reading.configuration());
        long pushed = pushedBytes / CHANGES;
        long written = (store.bytesWritten() - writtenBefore) / CHANGES;
        long read = (store.bytesRead() - readBefore) / CHANGES;
        System.out.printf(
                "configuration %d bytes; a change: pushed %d, written to the store %d, read by operator's entry and a "
                        + "reading entry %d bytes%n",
                wholeBytes, pushed, written, read);
        assertTrue(CHANGES_PER_SECOND * wholeBytes > MAX_BYTES_PER_SECOND, "the whole would fit as well");
        assertTrue(CHANGES_PER_SECOND * pushed * 8 <= MAX_BYTES_PER_SECOND, () -> "pushed " + pushed);
        assertTrue(CHANGES_PER_SECOND * read <= MAX_BYTES_PER_SECOND, () -> "read " + read);
    }
}
