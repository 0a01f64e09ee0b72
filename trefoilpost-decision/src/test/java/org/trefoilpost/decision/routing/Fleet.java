package org.trefoilpost.decision.routing;

import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Resources;
import org.trefoilpost.model.worker.Worker;

/**
 * Workers for tests, with 8 slots each, four to a rack and the racks spread over data centres.
 */
public final class Fleet {
    /** The slots of each worker. */
    public static final int SLOTS = 8;

    private Fleet() {}

    /**
     * Returns workers with the names {@code w0}, {@code w1} and so on.
     *
     * @param count  the number of workers
     * @param dataCentres  the number of data centres
     * @return the workers, not null
     */
    public static List<Worker> workers(int count, int dataCentres) {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int rack = i / 4;
            workers.add(Worker.builder(WorkerId.of("w" + i))
                    .rack(RackName.of("r" + rack))
                    .dataCentre(dataCentre(rack % dataCentres))
                    .region(RegionName.of("region"))
                    .endpoint(Endpoint.of("127.0.0.1", 1))
                    .resources(Resources.of(32, 131_072, 0, SLOTS))
                    .maxConnections(64)
                    .build());
        }
        return workers;
    }

    /**
     * Returns the name of a data centre.
     *
     * @param index  the index, from 0
     * @return the name, not null
     */
    public static DataCentreName dataCentre(int index) {
        return DataCentreName.of("dc" + index);
    }

    /**
     * Returns a worker with another incarnation.
     *
     * @param worker  the worker, not null
     * @param incarnation  the incarnation
     * @return the copy, not null
     */
    public static Worker restarted(Worker worker, long incarnation) {
        return worker.toBuilder().incarnation(incarnation).build();
    }
}
