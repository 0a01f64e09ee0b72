package org.trefoilpost.decision.membership;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes heartbeats as MessagePack arrays that begin with a format number.
 */
public final class HeartbeatCodec {
    /** The format that this codec writes and reads. */
    public static final int FORMAT = 1;
    /** The most bytes of a heartbeat. */
    public static final int MAX_BYTES = 65_536;

    private static final MessagePack.UnpackerConfig UNPACKER_CONFIG =
            new MessagePack.UnpackerConfig().withStringSizeLimit(MAX_BYTES);

    private HeartbeatCodec() {}

    /**
     * Encodes a heartbeat.
     *
     * @param heartbeat  the heartbeat, not null
     * @return the bytes, not null
     * @throws HeartbeatException if the heartbeat has more bytes than allowed
     */
    public static byte[] encode(Heartbeat heartbeat) throws HeartbeatException {
        byte[] bytes = toBytes(heartbeat);
        if (bytes.length > MAX_BYTES) {
            throw tooLarge(bytes.length);
        }
        return bytes;
    }

    /**
     * Decodes a heartbeat.
     *
     * @param bytes  the bytes, not null
     * @return the heartbeat, not null
     * @throws HeartbeatException if the bytes are not one whole heartbeat of a known format
     */
    public static Heartbeat decode(byte[] bytes) throws HeartbeatException {
        if (bytes.length > MAX_BYTES) {
            throw tooLarge(bytes.length);
        }
        try (MessageUnpacker unpacker = UNPACKER_CONFIG.newUnpacker(bytes)) {
            int fields = unpacker.unpackArrayHeader();
            int format = unpacker.unpackInt();
            if (format != FORMAT) {
                throw new HeartbeatException(HeartbeatFault.UNKNOWN_FORMAT, "heartbeat of format " + format);
            }
            Heartbeat heartbeat = new HeartbeatReader(unpacker, bytes.length).read(fields);
            if (unpacker.getTotalReadBytes() != bytes.length) {
                throw new HeartbeatException(HeartbeatFault.TRAILING_BYTES, "bytes follow the heartbeat");
            }
            return heartbeat;
        } catch (IOException | MessagePackException e) {
            throw new HeartbeatException(HeartbeatFault.MALFORMED, "malformed heartbeat: " + e);
        } catch (IllegalArgumentException e) {
            throw new HeartbeatException(HeartbeatFault.INVALID_VALUE, "invalid heartbeat: " + e.getMessage());
        }
    }

    private static byte[] toBytes(Heartbeat heartbeat) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            new HeartbeatWriter(packer).write(heartbeat);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static HeartbeatException tooLarge(int length) {
        return new HeartbeatException(
                HeartbeatFault.TOO_LARGE, "heartbeat of " + length + " bytes, " + MAX_BYTES + " are allowed");
    }
}
