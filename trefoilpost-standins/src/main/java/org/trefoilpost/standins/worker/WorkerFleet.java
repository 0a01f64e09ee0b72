package org.trefoilpost.standins.worker;

import java.io.IOException;
import java.net.BindException;
import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.model.Endpoint;

/**
 * Running worker stand-ins of one process, each with its own state.
 */
public final class WorkerFleet implements AutoCloseable {
    private static final int MAX_PORT = 65_535;

    private final List<WorkerServer> workers;

    private WorkerFleet(List<WorkerServer> workers) {
        this.workers = List.copyOf(workers);
    }

    /**
     * Obtains the fleet of one worker.
     *
     * @param worker  the running worker, not null
     * @return the fleet, not null
     */
    static WorkerFleet of(WorkerServer worker) {
        return new WorkerFleet(List.of(worker));
    }

    /**
     * Starts workers, on consecutive free ports unless the settings leave the choice of the port to the system.
     * The workers are named {@code prefix-1} and so on, their racks {@code prefix-r1} and so on.
     *
     * @param settings  the settings but for names and ports, not null
     * @param count  the workers, positive
     * @param idPrefix  the start of the workers' and racks' names, not null
     * @param perRack  the workers in a rack, positive
     * @return the running workers, not null
     * @throws IOException if no endpoint can be bound or the run log can't be opened
     */
    public static WorkerFleet start(WorkerSettings settings, int count, String idPrefix, int perRack)
            throws IOException {
        List<WorkerServer> workers = new ArrayList<>();
        Endpoint next = settings.listen();
        try {
            for (int i = 0; i < count; i++) {
                String rack = idPrefix + "-r" + (1 + i / perRack);
                WorkerServer worker = startFrom(settings.copy().named(idPrefix + "-" + (1 + i), rack), next);
                workers.add(worker);
                next = next.port() == 0
                        ? next
                        : Endpoint.of(next.host(), worker.endpoint().port() + 1);
            }
        } catch (IOException e) {
            workers.forEach(WorkerServer::close);
            throw e;
        }
        return new WorkerFleet(workers);
    }

    private static WorkerServer startFrom(WorkerSettings settings, Endpoint first) throws IOException {
        Endpoint endpoint = first;
        while (true) {
            try {
                return WorkerServer.start(settings.listen(endpoint));
            } catch (BindException e) {
                if (endpoint.port() == MAX_PORT) {
                    throw e;
                }
                endpoint = Endpoint.of(endpoint.host(), endpoint.port() + 1);
            }
        }
    }

    /**
     * Returns the workers in the order of their names' numbers.
     *
     * @return the workers, not null, not modifiable
     */
    public List<WorkerServer> workers() {
        return workers;
    }

    /**
     * Ends all workers at once.
     */
    @Override
    public void close() {
        workers.forEach(WorkerServer::close);
    }
}
