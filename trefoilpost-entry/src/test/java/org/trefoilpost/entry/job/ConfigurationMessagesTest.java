package org.trefoilpost.entry.job;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.trefoilpost.decision.job.ConfigurationReport;
import org.trefoilpost.decision.job.team.Caller;

/**
 * Checks the messages between entries, also against pings and bytes of unknown formats.
 */
class ConfigurationMessagesTest {
    @Test
    void requestIsTheSameAfterDecoding() {
        assertEquals(OptionalLong.of(42), ConfigurationMessages.decodeRequest(ConfigurationMessages.encodeRequest(42)));
    }

    @Test
    void pingOrUnknownFormatIsNoRequest() {
        assertEquals(OptionalLong.empty(), ConfigurationMessages.decodeRequest(new byte[0]));
        assertEquals(OptionalLong.empty(), ConfigurationMessages.decodeRequest(new byte[] {2, 1}));
        assertEquals(OptionalLong.empty(), ConfigurationMessages.decodeRequest(new byte[] {1}));
        assertEquals(
                OptionalLong.empty(),
                ConfigurationMessages.decodeRequest(new JobRequest.Phase("job", Caller.UNIDENTIFIED).encode()),
                "a request of another kind");
    }

    @Test
    void answerIsTheSameAfterDecoding() {
        byte[] value = "{\"version\":7}".getBytes(StandardCharsets.UTF_8);
        StorePort.Item item = new StorePort.Item("op/config", value, 31, 0);
        ConfigurationMessages.Answer decoded = decode(new ConfigurationMessages.Answer(
                        new ConfigurationReport(7, OptionalLong.of(250)), Optional.of(item)))
                .orElseThrow();
        assertEquals(new ConfigurationReport(7, OptionalLong.of(250)), decoded.report());
        StorePort.Item decodedItem = decoded.item().orElseThrow();
        assertEquals("op/config", decodedItem.key());
        assertArrayEquals(value, decodedItem.value());
        assertEquals(31, decodedItem.revision());
        ConfigurationMessages.Answer without =
                new ConfigurationMessages.Answer(new ConfigurationReport(7, OptionalLong.empty()), Optional.empty());
        assertEquals(Optional.of(without), decode(without));
    }

    @Test
    void answerThatIsCutOrOfAnotherFormatIsIgnored() {
        byte[] bytes = ConfigurationMessages.encodeAnswer(new ConfigurationMessages.Answer(
                new ConfigurationReport(7, OptionalLong.of(250)),
                Optional.of(new StorePort.Item("op/config", new byte[] {1, 2}, 31, 0))));
        for (int length = 0; length < bytes.length; length++) {
            assertEquals(Optional.empty(), ConfigurationMessages.decodeAnswer(Arrays.copyOf(bytes, length)));
        }
        bytes[0] = 2;
        assertEquals(Optional.empty(), ConfigurationMessages.decodeAnswer(bytes));
    }

    private static Optional<ConfigurationMessages.Answer> decode(ConfigurationMessages.Answer answer) {
        return ConfigurationMessages.decodeAnswer(ConfigurationMessages.encodeAnswer(answer));
    }
}
