package org.trefoilpost.standins.platform;

import java.io.IOException;
import org.trefoilpost.standins.http.Programs;

/**
 * The program that stands in for the platform.
 */
public final class PlatformStandin {
    private PlatformStandin() {}

    /**
     * Runs the stand-in until the process gets a signal.
     *
     * @param arguments  the flags of {@link PlatformSettings}, not null
     * @throws IOException if the endpoint can't be bound
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        PlatformSettings settings = new PlatformSettings();
        Programs.parse(settings, arguments);
        Programs.serve(PlatformServer.start(settings).endpoint());
    }
}
