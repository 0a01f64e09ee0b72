package org.trefoilpost.standins.relay;

import java.io.IOException;
import org.trefoilpost.standins.http.Programs;

/**
 * The program that relays TCP connections and puts faults into them.
 */
public final class Relay {
    private Relay() {}

    /**
     * Runs the relay until the process gets a signal.
     *
     * @param arguments  the flags of {@link RelaySettings}, not null
     * @throws IOException if an endpoint can't be bound
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        RelaySettings settings = new RelaySettings();
        Programs.parse(settings, arguments);
        Programs.serve(RelayServer.start(settings).endpoint());
    }
}
