package org.trefoilpost.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.entry.job.StorePort;

/**
 * The format of the result of a call to the store in MessagePack.
 *
 * @param <T>  the type of the result
 */
interface ResultFormat<T> {
    ResultFormat<Optional<StorePort.Item>> ITEM = new ResultFormat<>() {
        @Override
        public void pack(MessagePacker packer, Optional<StorePort.Item> item) throws IOException {
            packer.packBoolean(item.isPresent());
            if (item.isPresent()) {
                packItem(packer, item.get());
            }
        }

        @Override
        public Optional<StorePort.Item> unpack(MessageUnpacker unpacker) throws IOException {
            return unpacker.unpackBoolean() ? Optional.of(unpackItem(unpacker)) : Optional.empty();
        }
    };

    ResultFormat<StorePort.Page> PAGE = new ResultFormat<>() {
        @Override
        public void pack(MessagePacker packer, StorePort.Page page) throws IOException {
            packItems(packer, page.items());
            packer.packBoolean(page.hasMore()).packLong(page.revision());
        }

        @Override
        public StorePort.Page unpack(MessageUnpacker unpacker) throws IOException {
            return new StorePort.Page(unpackItems(unpacker), unpacker.unpackBoolean(), unpacker.unpackLong());
        }
    };

    ResultFormat<StorePort.Changes> CHANGES = new ResultFormat<>() {
        @Override
        public void pack(MessagePacker packer, StorePort.Changes changes) throws IOException {
            packer.packArrayHeader(changes.changes().size());
            for (Map.Entry<String, Optional<StorePort.Item>> change : changes.changes()) {
                packer.packString(change.getKey());
                ITEM.pack(packer, change.getValue());
            }
            packer.packLong(changes.revision());
        }

        @Override
        public StorePort.Changes unpack(MessageUnpacker unpacker) throws IOException {
            int count = unpacker.unpackArrayHeader();
            List<Map.Entry<String, Optional<StorePort.Item>>> changes = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                changes.add(Map.entry(unpacker.unpackString(), ITEM.unpack(unpacker)));
            }
            return new StorePort.Changes(changes, unpacker.unpackLong());
        }
    };

    ResultFormat<Long> NUMBER = new ResultFormat<>() {
        @Override
        public void pack(MessagePacker packer, Long number) throws IOException {
            packer.packLong(number);
        }

        @Override
        public Long unpack(MessageUnpacker unpacker) throws IOException {
            return unpacker.unpackLong();
        }
    };

    ResultFormat<Boolean> FLAG = new ResultFormat<>() {
        @Override
        public void pack(MessagePacker packer, Boolean flag) throws IOException {
            packer.packBoolean(flag);
        }

        @Override
        public Boolean unpack(MessageUnpacker unpacker) throws IOException {
            return unpacker.unpackBoolean();
        }
    };

    ResultFormat<Void> NOTHING = new ResultFormat<>() {
        @Override
        public void pack(MessagePacker packer, Void nothing) throws IOException {
            packer.packNil();
        }

        @Override
        public Void unpack(MessageUnpacker unpacker) throws IOException {
            unpacker.unpackNil();
            return null;
        }
    };

    /**
     * Writes a result.
     */
    void pack(MessagePacker packer, T result) throws IOException;

    /**
     * Reads a result.
     */
    T unpack(MessageUnpacker unpacker) throws IOException;

    /**
     * Writes items in their order.
     */
    static void packItems(MessagePacker packer, List<StorePort.Item> items) throws IOException {
        packer.packArrayHeader(items.size());
        for (StorePort.Item item : items) {
            packItem(packer, item);
        }
    }

    /**
     * Reads items in their order.
     */
    static List<StorePort.Item> unpackItems(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<StorePort.Item> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            items.add(unpackItem(unpacker));
        }
        return items;
    }

    private static void packItem(MessagePacker packer, StorePort.Item item) throws IOException {
        packer.packString(item.key());
        packer.packBinaryHeader(item.value().length).writePayload(item.value());
        packer.packLong(item.revision()).packLong(item.lease());
    }

    private static StorePort.Item unpackItem(MessageUnpacker unpacker) throws IOException {
        String key = unpacker.unpackString();
        byte[] value = unpacker.readPayload(unpacker.unpackBinaryHeader());
        return new StorePort.Item(key, value, unpacker.unpackLong(), unpacker.unpackLong());
    }
}
