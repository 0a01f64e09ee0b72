package org.trefoilpost.entry.caller;

import io.servicetalk.buffer.api.Buffer;
import java.io.ByteArrayOutputStream;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * A request's body as it comes in, up to its pool's limit.
 */
final class LimitedBody {
    private final int maxBytes;
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

    LimitedBody(int limit) {
        this.maxBytes = limit;
    }

    /**
     * Adds a piece.
     *
     * @param buffer  the piece, not null
     * @return this body, not null
     * @throws RejectedRequestException if the body is larger than the limit
     */
    LimitedBody add(Buffer buffer) {
        check(maxBytes, (long) bytes.size() + buffer.readableBytes());
        byte[] piece = new byte[buffer.readableBytes()];
        buffer.readBytes(piece);
        bytes.writeBytes(piece);
        return this;
    }

    /**
     * Returns the whole body.
     *
     * @return the body, not null
     */
    byte[] toByteArray() {
        return bytes.toByteArray();
    }

    /**
     * Checks a length against a limit.
     *
     * @param limit  the limit in bytes
     * @param length  the length in bytes
     * @throws RejectedRequestException if the length is over the limit
     */
    static void check(int limit, long length) {
        if (length > limit) {
            throw new RejectedRequestException(
                    RefusalReason.BODY_TOO_LARGE,
                    "the body has at least " + length + " bytes; the pool allows " + limit);
        }
    }
}
