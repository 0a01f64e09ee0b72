package org.trefoilpost.entry.peer;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.configuration.ChangeId;
import org.trefoilpost.decision.configuration.ChangeVersion;
import org.trefoilpost.decision.configuration.ConfigurationUpdate;
import org.trefoilpost.decision.configuration.PartDocument;
import org.trefoilpost.model.configuration.ConfigurationPart;

/**
 * Encodes and decodes configuration changes.
 */
final class ConfigurationUpdateCodec {
    private static final int MAX_CONFIGURATION_PARTS = 100_000;

    private ConfigurationUpdateCodec() {}

    static void pack(MessageBufferPacker packer, ConfigurationUpdate update) throws IOException {
        packer.packBoolean(update.base().isPresent());
        if (update.base().isPresent()) {
            packVersion(packer, update.base().get());
        }
        packVersion(packer, update.version());
        packer.packMapHeader(update.written().size());
        for (Map.Entry<ConfigurationPart, PartDocument> part : update.written().entrySet()) {
            packer.packString(part.getKey().path());
            packVersion(packer, part.getValue().version());
            packer.packString(part.getValue().text());
        }
        packer.packArrayHeader(update.removed().size());
        for (ConfigurationPart part : update.removed()) {
            packer.packString(part.path());
        }
    }

    static ConfigurationUpdate unpack(MessageUnpacker unpacker) throws IOException {
        Optional<ChangeVersion> base =
                unpacker.unpackBoolean() ? Optional.of(unpackVersion(unpacker)) : Optional.empty();
        ChangeVersion version = unpackVersion(unpacker);
        SortedMap<ConfigurationPart, PartDocument> written = new TreeMap<>();
        int parts = ValueCodec.checkedCount(unpacker.unpackMapHeader(), MAX_CONFIGURATION_PARTS);
        for (int i = 0; i < parts; i++) {
            ConfigurationPart part = ConfigurationPart.parse(unpacker.unpackString());
            written.put(part, PartDocument.of(unpackVersion(unpacker), unpacker.unpackString()));
        }
        SortedSet<ConfigurationPart> removed = new TreeSet<>();
        int removals = ValueCodec.checkedCount(unpacker.unpackArrayHeader(), MAX_CONFIGURATION_PARTS);
        for (int i = 0; i < removals; i++) {
            removed.add(ConfigurationPart.parse(unpacker.unpackString()));
        }
        return ConfigurationUpdate.of(base, version, written, removed);
    }

    private static void packVersion(MessageBufferPacker packer, ChangeVersion version) throws IOException {
        packer.packLong(version.number());
        packer.packString(version.change().text());
        packer.packLong(version.revision());
    }

    private static ChangeVersion unpackVersion(MessageUnpacker unpacker) throws IOException {
        long number = unpacker.unpackLong();
        ChangeId change = ChangeId.of(unpacker.unpackString());
        return ChangeVersion.of(number, change, unpacker.unpackLong());
    }
}
