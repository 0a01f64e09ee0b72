package org.trefoilpost.entry.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.entry.job.StoreFailure;
import org.trefoilpost.entry.job.StorePort;

/**
 * Encodes and decodes calls to the store, and their replies, in MessagePack.
 */
final class StoreCallCodec {
    private static final int READ = 1;
    private static final int RANGE = 2;
    private static final int WATCH = 3;
    private static final int COMMIT = 4;
    private static final int GRANT_LEASE = 5;
    private static final int RENEW_LEASE = 6;
    private static final int END_LEASE = 7;

    private StoreCallCodec() {}

    static byte[] encode(StoreCall<?> call) {
        return write(packer -> packCall(packer, call));
    }

    /**
     * Decodes a call.
     *
     * @return the call, empty if the kind is unknown or the bytes cannot be decoded
     */
    static Optional<StoreCall<?>> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            return unpackCall(unpacker);
        } catch (IOException | MessagePackException e) {
            return Optional.empty();
        }
    }

    static <T> byte[] encodeResult(StoreCall<T> call, T result) {
        return write(packer -> {
            packer.packBoolean(true);
            call.resultFormat().pack(packer, result);
        });
    }

    static byte[] encodeFailure(StoreFailure failure) {
        return write(packer -> {
            packer.packBoolean(false);
            packer.packString(failure.kind().name()).packString(String.valueOf(failure.getMessage()));
            ResultFormat.packItems(packer, failure.currentItems());
        });
    }

    /**
     * Decodes the reply to a call.
     *
     * @throws StoreFailure if the reply is a failure, or cannot be decoded so that the outcome is not known
     */
    static <T> T decodeReply(StoreCall<T> call, byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackBoolean()) {
                return call.resultFormat().unpack(unpacker);
            }
            StoreFailure.Kind kind = StoreFailure.Kind.valueOf(unpacker.unpackString());
            throw new StoreFailure(kind, unpacker.unpackString(), ResultFormat.unpackItems(unpacker));
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw new StoreFailure(StoreFailure.Kind.UNKNOWN, "cannot decode the reply: " + e, List.of());
        }
    }

    private static void packCall(MessagePacker packer, StoreCall<?> call) throws IOException {
        if (call instanceof StoreCall.Read read) {
            packer.packInt(READ).packString(read.key());
        } else if (call instanceof StoreCall.Range range) {
            packer.packInt(RANGE).packString(range.prefix()).packString(range.after());
        } else if (call instanceof StoreCall.Watch watch) {
            packer.packInt(WATCH).packString(watch.prefix()).packLong(watch.afterRevision());
            packer.packLong(watch.times().waitMillis()).packLong(watch.times().timeoutMillis());
        } else if (call instanceof StoreCall.Commit commit) {
            packer.packInt(COMMIT);
            packChange(packer, commit.change());
        } else if (call instanceof StoreCall.GrantLease grant) {
            packer.packInt(GRANT_LEASE).packLong(grant.timeToLiveMillis());
        } else if (call instanceof StoreCall.RenewLease renewal) {
            packer.packInt(RENEW_LEASE).packLong(renewal.lease());
        } else if (call instanceof StoreCall.EndLease end) {
            packer.packInt(END_LEASE).packLong(end.lease());
        }
    }

    private static Optional<StoreCall<?>> unpackCall(MessageUnpacker unpacker) throws IOException {
        return switch (unpacker.unpackInt()) {
            case READ -> Optional.of(new StoreCall.Read(unpacker.unpackString()));
            case RANGE -> Optional.of(new StoreCall.Range(unpacker.unpackString(), unpacker.unpackString()));
            case WATCH ->
                Optional.of(new StoreCall.Watch(
                        unpacker.unpackString(),
                        unpacker.unpackLong(),
                        new WatchTimes(unpacker.unpackLong(), unpacker.unpackLong())));
            case COMMIT -> Optional.of(new StoreCall.Commit(unpackChange(unpacker)));
            case GRANT_LEASE -> Optional.of(new StoreCall.GrantLease(unpacker.unpackLong()));
            case RENEW_LEASE -> Optional.of(new StoreCall.RenewLease(unpacker.unpackLong()));
            case END_LEASE -> Optional.of(new StoreCall.EndLease(unpacker.unpackLong()));
            default -> Optional.empty();
        };
    }

    private static void packChange(MessagePacker packer, StorePort.Change change) throws IOException {
        packer.packMapHeader(change.expected().size());
        for (Map.Entry<String, Long> condition : change.expected().entrySet()) {
            packer.packString(condition.getKey()).packLong(condition.getValue());
        }
        packer.packArrayHeader(change.puts().size());
        for (StorePort.Put put : change.puts()) {
            packer.packString(put.key());
            packer.packBinaryHeader(put.value().length).writePayload(put.value());
            packer.packLong(put.lease());
        }
        packer.packArrayHeader(change.removedKeys().size());
        for (String key : change.removedKeys()) {
            packer.packString(key);
        }
    }

    private static StorePort.Change unpackChange(MessageUnpacker unpacker) throws IOException {
        Map<String, Long> expected = new LinkedHashMap<>();
        int conditions = unpacker.unpackMapHeader();
        for (int i = 0; i < conditions; i++) {
            expected.put(unpacker.unpackString(), unpacker.unpackLong());
        }
        List<StorePort.Put> puts = new ArrayList<>();
        int putCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < putCount; i++) {
            String key = unpacker.unpackString();
            byte[] value = unpacker.readPayload(unpacker.unpackBinaryHeader());
            puts.add(new StorePort.Put(key, value, unpacker.unpackLong()));
        }
        List<String> removedKeys = new ArrayList<>();
        int removedCount = unpacker.unpackArrayHeader();
        for (int i = 0; i < removedCount; i++) {
            removedKeys.add(unpacker.unpackString());
        }
        return new StorePort.Change(expected, puts, removedKeys);
    }

    private static byte[] write(Body body) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            body.pack(packer);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to an in-memory buffer failed", e);
        }
    }

    /**
     * Writes the values of a message.
     */
    @FunctionalInterface
    private interface Body {
        void pack(MessagePacker packer) throws IOException;
    }
}
