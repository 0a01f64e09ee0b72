package org.trefoilpost.entry.caller;

import io.servicetalk.buffer.api.Buffer;
import java.io.ByteArrayOutputStream;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * Collects the body of a request, up to the size limit of its pool.
 */
final class LimitedBody {
    private final int maxBytes;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    LimitedBody(int limit) {
        this.maxBytes = limit;
    }

    /**
     * Appends the content of a buffer.
     *
     * @param buffer  the next part of the body, which is read to its end, not null
     * @return this body, not null
     * @throws RejectedRequestException if the body exceeds the limit
     */
    LimitedBody add(Buffer buffer) {
        check(maxBytes, (long) bytes.size() + buffer.readableBytes());
        byte[] chunk = new byte[buffer.readableBytes()];
        buffer.readBytes(chunk);
        bytes.writeBytes(chunk);
        return this;
    }

    /**
     * Returns the bytes collected so far.
     *
     * @return a copy of the bytes, not null
     */
    byte[] toByteArray() {
        return bytes.toByteArray();
    }

    /**
     * Checks the length of a body against the limit.
     *
     * @param limit  the limit in bytes
     * @param length  the length in bytes, which may be only that received so far
     * @throws RejectedRequestException if the length exceeds the limit
     */
    static void check(int limit, long length) {
        if (length > limit) {
            throw new RejectedRequestException(
                    RefusalReason.BODY_TOO_LARGE,
                    "the body has at least " + length + " bytes; the pool allows " + limit);
        }
    }
}
