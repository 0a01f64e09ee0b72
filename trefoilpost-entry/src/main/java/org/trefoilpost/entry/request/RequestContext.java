package org.trefoilpost.entry.request;

import java.util.Objects;
import java.util.function.BiConsumer;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.target.TargetClient;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.WorkerId;

/**
 * The identity and the collaborators of the request service.
 */
public final class RequestContext {
    private final EntryId entry;
    private final DataCentreName dataCentre;
    private final TargetClient targets;
    private final EntryMetrics metrics;
    private final BiConsumer<WorkerId, Long> leavingListener;

    private RequestContext(
            EntryId entry,
            DataCentreName dataCentre,
            TargetClient targets,
            EntryMetrics metrics,
            BiConsumer<WorkerId, Long> leavingListener) {
        this.entry = entry;
        this.dataCentre = dataCentre;
        this.targets = targets;
        this.metrics = metrics;
        this.leavingListener = leavingListener;
    }

    /**
     * Obtains a context of these collaborators.
     *
     * @param entry  the name of this entry, not null
     * @param dataCentre  the data centre of this entry, not null
     * @param targets  the client that sends requests to workers, not null
     * @param metrics  the metrics to update, not null
     * @param leavingListener  called with the worker and its incarnation when a worker rejects a request because it is
     *     leaving, not null
     * @return the context, not null
     */
    public static RequestContext of(
            EntryId entry,
            DataCentreName dataCentre,
            TargetClient targets,
            EntryMetrics metrics,
            BiConsumer<WorkerId, Long> leavingListener) {
        return new RequestContext(
                Objects.requireNonNull(entry, "entry"),
                Objects.requireNonNull(dataCentre, "dataCentre"),
                Objects.requireNonNull(targets, "targets"),
                Objects.requireNonNull(metrics, "metrics"),
                Objects.requireNonNull(leavingListener, "leavingListener"));
    }

    /**
     * Returns the name of this entry.
     *
     * @return the name, not null
     */
    EntryId entry() {
        return entry;
    }

    /**
     * Returns the data centre of this entry.
     *
     * @return the data centre, not null
     */
    DataCentreName dataCentre() {
        return dataCentre;
    }

    /**
     * Returns the client that sends requests to workers.
     *
     * @return the client, not null
     */
    TargetClient targets() {
        return targets;
    }

    /**
     * Returns the metrics to update.
     *
     * @return the metrics, not null
     */
    EntryMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the listener for workers that report that they are leaving.
     *
     * @return the listener, not null
     */
    BiConsumer<WorkerId, Long> leavingListener() {
        return leavingListener;
    }
}
