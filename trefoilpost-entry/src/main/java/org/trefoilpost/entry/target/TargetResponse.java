package org.trefoilpost.entry.target;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A target's answer: held in whole, or, past the limit up to which answers are held, a stream.
 */
public final class TargetResponse {
    private final int status;
    private final List<Map.Entry<String, String>> headers;
    private final byte[] body;
    private final Publisher<Buffer> stream;

    private TargetResponse(int status, List<Map.Entry<String, String>> headers, byte[] body, Publisher<Buffer> stream) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = body;
        this.stream = stream;
    }

    /**
     * Obtains an answer that is held in whole.
     *
     * @param status  the HTTP status
     * @param headers  the end-to-end headers, not null
     * @param body  the whole body, not copied, not null
     * @return the answer, not null
     */
    public static TargetResponse whole(int status, List<Map.Entry<String, String>> headers, byte[] body) {
        return new TargetResponse(status, headers, body, null);
    }

    /**
     * Obtains an answer whose body is a stream, which fails when the rest of the body does not come.
     *
     * @param status  the HTTP status
     * @param headers  the end-to-end headers, not null
     * @param stream  the body, to be subscribed once, not null
     * @return the answer, not null
     */
    public static TargetResponse streamed(
            int status, List<Map.Entry<String, String>> headers, Publisher<Buffer> stream) {
        return new TargetResponse(status, headers, new byte[0], stream);
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the end-to-end headers.
     *
     * @return the unmodifiable headers, not null
     */
    public List<Map.Entry<String, String>> headers() {
        return headers;
    }

    /**
     * Returns the body of an answer that is held in whole.
     *
     * @return the body, which must not be changed, without bytes for a streamed answer, not null
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the body of a streamed answer.
     *
     * @return the stream, empty for an answer that is held in whole, not null
     */
    public Optional<Publisher<Buffer>> stream() {
        return Optional.ofNullable(stream);
    }

    /**
     * Returns the status and the size.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return status + (stream == null ? " (" + body.length + " bytes)" : " (stream)");
    }
}
