package org.trefoilpost.entry.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes values that several kinds of message contain.
 */
final class ValueCodec {
    private static final int MAX_HEADERS = 1_000;

    private ValueCodec() {}

    static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
        packer.packBinaryHeader(bytes.length);
        packer.writePayload(bytes);
    }

    static byte[] unpackBytes(MessageUnpacker unpacker) throws IOException {
        return unpacker.readPayload(checkedCount(unpacker.unpackBinaryHeader(), PeerCodec.MAX_FRAME_BYTES));
    }

    static void packOptional(MessageBufferPacker packer, Optional<String> text) throws IOException {
        if (text.isPresent()) {
            packer.packString(text.get());
        } else {
            packer.packNil();
        }
    }

    static Optional<String> unpackOptional(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
    }

    static void packHeaders(MessageBufferPacker packer, List<Map.Entry<String, String>> headers) throws IOException {
        packer.packArrayHeader(headers.size());
        for (Map.Entry<String, String> header : headers) {
            packer.packString(header.getKey()).packString(header.getValue());
        }
    }

    static List<Map.Entry<String, String>> unpackHeaders(MessageUnpacker unpacker) throws IOException {
        int count = checkedCount(unpacker.unpackArrayHeader(), MAX_HEADERS);
        List<Map.Entry<String, String>> headers = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            headers.add(Map.entry(unpacker.unpackString(), unpacker.unpackString()));
        }
        return headers;
    }

    static int checkedCount(int count, int max) {
        if (count < 0 || count > max) {
            throw new MalformedFrameException("element or byte count is " + count + "; expected 0 to " + max, null);
        }
        return count;
    }
}
