package org.trefoilpost.standins.worker;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.jboss.logging.Logger;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.http.HttpListener;
import org.trefoilpost.standins.http.Timers;

/**
 * A running stand-in of one worker, which keeps its endpoint over reboots.
 */
public final class WorkerServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(WorkerServer.class);
    private static final long TICK_MILLIS = 50;
    private static final long REPORT_MILLIS = 1000;
    private static final long LAST_ANSWER_MILLIS = 1000;
    private static final long BIND_RETRY_MILLIS = 10;

    private final WorkerSettings settings;
    private final WorkerCore core;
    private final WorkerService service;
    private final Registration registration;
    private final RunLog log;
    private final Endpoint endpoint;
    private final List<ScheduledFuture<?>> timers;
    private HttpListener listener;
    private boolean closed;

    private WorkerServer(WorkerSettings settings, RunLog log) throws IOException {
        long first = settings.incarnation() == 0 ? System.currentTimeMillis() : settings.incarnation();
        this.settings = settings;
        this.log = log;
        this.core = new WorkerCore(settings, log, first);
        ControlCalls control = new ControlCalls(core, System::currentTimeMillis, this::reboot);
        this.service = new WorkerService(settings, core, control, this::report, System::currentTimeMillis);
        this.registration = new Registration(settings);
        this.listener = HttpListener.start(settings.listen(), settings.connections(), service);
        this.endpoint = listener.endpoint();
        this.timers = List.of(
                Timers.every(TICK_MILLIS, () -> core.tick(System.currentTimeMillis())),
                Timers.every(REPORT_MILLIS, this::report));
    }

    /**
     * Starts a worker.
     *
     * @param settings  the settings, which are copied, not null
     * @return the running worker, not null
     * @throws IOException if the endpoint can't be bound or the run log can't be opened
     */
    public static WorkerServer start(WorkerSettings settings) throws IOException {
        WorkerSettings own = settings.copy();
        RunLog log = own.runLog().isPresent() ? RunLog.appendTo(own.runLog().get()) : RunLog.none();
        try {
            WorkerServer server = new WorkerServer(own, log);
            server.core.started(System.currentTimeMillis());
            server.report();
            return server;
        } catch (IOException e) {
            log.close();
            throw e;
        }
    }

    /**
     * Returns where the worker listens.
     *
     * @return the endpoint with the real port, not null
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    /**
     * Returns the worker's name.
     *
     * @return the name, not null
     */
    public String id() {
        return settings.id();
    }

    /**
     * Returns the worker's present incarnation.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return core.incarnation();
    }

    private void report() {
        WorkerMode mode = core.mode();
        String state = mode == WorkerMode.LEAVING ? "leaving" : mode == WorkerMode.REBOOTING ? "gone" : "live";
        registration.report(endpoint, core.incarnation(), state);
    }

    /**
     * Goes down when the answer to the call that asked for it is sent, and comes back after the time of a reboot.
     */
    private synchronized void reboot() {
        report();
        CompletableFuture<Void> answered =
                listener.closeGracefully().completeOnTimeout(null, LAST_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        CompletableFuture<Void> elapsed =
                Timers.after(settings.rebootMillis(), () -> CompletableFuture.completedFuture(null));
        CompletableFuture.allOf(answered, elapsed)
                .thenCompose(nothing -> closeListener())
                .thenCompose(nothing -> Timers.after(BIND_RETRY_MILLIS, this::comeBack));
    }

    private synchronized CompletableFuture<Void> closeListener() {
        return listener.closeAsync();
    }

    private synchronized CompletableFuture<Void> comeBack() {
        if (closed) {
            return CompletableFuture.completedFuture(null);
        }
        try {
            listener = HttpListener.start(endpoint, settings.connections(), service);
        } catch (IOException e) {
            LOG.warnf("%s can't be bound again yet: %s", endpoint, e.getMessage());
            return Timers.after(BIND_RETRY_MILLIS, this::comeBack);
        }
        core.comeBack(System.currentTimeMillis());
        report();
        return CompletableFuture.completedFuture(null);
    }

    /**
     * Ends the worker at once; the platform is not told.
     */
    @Override
    public synchronized void close() {
        closed = true;
        timers.forEach(timer -> timer.cancel(false));
        listener.close();
        try {
            log.close();
        } catch (IOException e) {
            LOG.warn("the run log did not close", e);
        }
    }
}
