package org.trefoilpost.entry.target;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A target's response, whose body is either buffered completely or, if it is larger than the buffer limit, a stream.
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
     * Obtains a response with a buffered body.
     *
     * @param status  the HTTP status
     * @param headers  the end-to-end headers, not null
     * @param body  the whole body, not copied, not null
     * @return the response, not null
     */
    public static TargetResponse whole(int status, List<Map.Entry<String, String>> headers, byte[] body) {
        return new TargetResponse(status, headers, body, null);
    }

    /**
     * Obtains a response whose body is a stream, which fails if the body is not received completely.
     *
     * @param status  the HTTP status
     * @param headers  the end-to-end headers, not null
     * @param stream  the body, to be subscribed once, not null
     * @return the response, not null
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
     * Returns the buffered body.
     *
     * @return the body, which must not be changed, empty if the body is streamed, not null
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the streamed body.
     *
     * @return the stream, which can be subscribed once, empty if the body is buffered, not null
     */
    public Optional<Publisher<Buffer>> stream() {
        return Optional.ofNullable(stream);
    }

    /**
     * Returns the status and the size of a buffered body.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return status + (stream == null ? " (" + body.length + " bytes)" : " (stream)");
    }
}
