package org.trefoilpost.standins.worker;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.trefoilpost.standins.http.Json;

/**
 * The log of what workers ran, one JSON object a line, which several workers may share.
 */
final class RunLog implements AutoCloseable {
    private final OutputStream out;

    private RunLog(OutputStream out) {
        this.out = out;
    }

    static RunLog none() {
        return new RunLog(OutputStream.nullOutputStream());
    }

    static RunLog appendTo(Path file) throws IOException {
        return new RunLog(Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    }

    /**
     * Appends a line in a single write, so that lines of several processes do not mix.
     */
    synchronized void append(ObjectNode entry) {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        line.writeBytes(Json.bytes(entry));
        line.write('\n');
        try {
            out.write(line.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException("the run log can't be written", e);
        }
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
