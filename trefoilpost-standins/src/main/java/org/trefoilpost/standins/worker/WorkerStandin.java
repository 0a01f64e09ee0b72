package org.trefoilpost.standins.worker;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.net.BindException;
import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.http.Programs;

/**
 * The program that stands in for one worker or for many.
 */
public final class WorkerStandin {
    private static final int MAX_PORT = 65_535;

    @ParametersDelegate
    private final WorkerSettings settings = new WorkerSettings();

    @Parameter(names = "--count", description = "the workers that run in this process")
    private int count = 1;

    @Parameter(names = "--id-prefix", description = "the start of the workers' and racks' names when there are several")
    private String idPrefix = "w";

    @Parameter(names = "--per-rack", description = "the workers in a rack when there are several")
    private int perRack = 4;

    private WorkerStandin() {}

    /**
     * Runs the stand-in until the process gets a signal.
     *
     * @param arguments  the flags of {@link WorkerSettings} and of this class, not null
     * @throws IOException if an endpoint can't be bound or the run log can't be opened
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        WorkerStandin program = new WorkerStandin();
        Programs.parse(program, arguments);
        List<WorkerServer> servers = program.start();
        Programs.serve(servers.get(0).endpoint());
    }

    private List<WorkerServer> start() throws IOException {
        if (count == 1) {
            return List.of(WorkerServer.start(settings));
        }
        List<WorkerServer> servers = new ArrayList<>();
        Endpoint next = settings.listen();
        for (int i = 0; i < count; i++) {
            String rack = idPrefix + "-r" + (1 + i / perRack);
            WorkerServer server = startFrom(settings.copy().named(idPrefix + "-" + (1 + i), rack), next);
            servers.add(server);
            next = Endpoint.of(server.endpoint().host(), server.endpoint().port() + 1);
        }
        return servers;
    }

    /**
     * Starts a worker on the first free port from an endpoint on.
     */
    private static WorkerServer startFrom(WorkerSettings settings, Endpoint first) throws IOException {
        Endpoint endpoint = first;
        while (true) {
            try {
                return WorkerServer.start(settings.listen(endpoint));
            } catch (IOException e) {
                if (!(e instanceof BindException) || endpoint.port() == MAX_PORT) {
                    throw e;
                }
                endpoint = Endpoint.of(endpoint.host(), endpoint.port() + 1);
            }
        }
    }
}
