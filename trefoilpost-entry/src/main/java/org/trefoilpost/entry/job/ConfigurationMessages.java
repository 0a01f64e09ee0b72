package org.trefoilpost.entry.job;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.job.ConfigurationReport;

/**
 * Encodes and decodes the messages with which entries ask each other for the configuration. The request travels in a call
 * without a pool, which an older program answers like any ping.
 */
final class ConfigurationMessages {
    private static final int FORMAT = 1;
    private static final long NO_CONFIRMATION = -1;

    private ConfigurationMessages() {}

    static byte[] encodeRequest(long knownVersion) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT).packLong(knownVersion);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /**
     * Decodes a request.
     *
     * @return the version that the asking entry has in force, empty if the bytes are no such request
     */
    static OptionalLong decodeRequest(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return unpacker.hasNext() && unpacker.unpackInt() == FORMAT
                    ? OptionalLong.of(unpacker.unpackLong())
                    : OptionalLong.empty();
        } catch (IOException | MessagePackException e) {
            // A request of another format is answered like a ping.
            return OptionalLong.empty();
        }
    }

    static byte[] encodeAnswer(Answer answer) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(FORMAT).packLong(answer.report.version());
            packer.packLong(answer.report.confirmedAgeMillis().orElse(NO_CONFIRMATION));
            packer.packBoolean(answer.item.isPresent());
            if (answer.item.isPresent()) {
                StorePort.Item item = answer.item.get();
                byte[] key = item.key().getBytes(StandardCharsets.UTF_8);
                packer.packRawStringHeader(key.length).writePayload(key);
                packer.packBinaryHeader(item.value().length).writePayload(item.value());
                packer.packLong(item.revision());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /**
     * Decodes an answer, empty if the bytes are none of a known format.
     */
    static Optional<Answer> decodeAnswer(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (!unpacker.hasNext() || unpacker.unpackInt() != FORMAT) {
                return Optional.empty();
            }
            long version = unpacker.unpackLong();
            long ageMillis = unpacker.unpackLong();
            Optional<StorePort.Item> item = Optional.empty();
            if (unpacker.unpackBoolean()) {
                String key = unpacker.unpackString();
                byte[] value = unpacker.readPayload(unpacker.unpackBinaryHeader());
                item = Optional.of(new StorePort.Item(key, value, unpacker.unpackLong(), 0));
            }
            OptionalLong age = ageMillis < 0 ? OptionalLong.empty() : OptionalLong.of(ageMillis);
            return Optional.of(new Answer(new ConfigurationReport(version, age), item));
        } catch (IOException | MessagePackException e) {
            return Optional.empty();
        }
    }

    /**
     * An answer.
     *
     * @param report  what the answering entry has in force
     * @param item  the operators' item as stored, empty if the asking entry has that version or a newer one
     */
    record Answer(ConfigurationReport report, Optional<StorePort.Item> item) {}
}
