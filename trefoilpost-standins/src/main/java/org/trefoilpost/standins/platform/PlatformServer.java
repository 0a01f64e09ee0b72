package org.trefoilpost.standins.platform;

import java.io.IOException;
import java.util.concurrent.ScheduledFuture;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.http.HttpListener;
import org.trefoilpost.standins.http.Timers;

/**
 * A running stand-in of the platform.
 */
public final class PlatformServer implements AutoCloseable {
    private static final long TICK_MILLIS = 50;
    private static final int MAX_CONNECTIONS = 10_000;

    private final HttpListener listener;
    private final ScheduledFuture<?> ticks;

    private PlatformServer(HttpListener listener, ScheduledFuture<?> ticks) {
        this.listener = listener;
        this.ticks = ticks;
    }

    /**
     * Starts a stand-in with an empty store.
     *
     * @param settings  the settings, not null
     * @return the running stand-in, not null
     * @throws IOException if the endpoint can't be bound
     */
    public static PlatformServer start(PlatformSettings settings) throws IOException {
        PlatformService service = new PlatformService(settings, System::currentTimeMillis);
        HttpListener listener = HttpListener.start(settings.listen(), MAX_CONNECTIONS, service);
        return new PlatformServer(listener, Timers.every(TICK_MILLIS, service::tick));
    }

    /**
     * Returns where the stand-in listens.
     *
     * @return the endpoint with the real port, not null
     */
    public Endpoint endpoint() {
        return listener.endpoint();
    }

    /**
     * Ends the stand-in.
     */
    @Override
    public void close() {
        ticks.cancel(false);
        listener.close();
    }
}
