package org.trefoilpost.decision.job;

import java.util.List;
import java.util.Objects;

/**
 * A worker as listed by the registry.
 *
 * @param id  the identifier of the worker, which a restart keeps only on platforms that send {@code born}, not null
 * @param machine  the machine that the worker runs on, empty if it is not known, not null
 * @param pool  the pool that the worker belongs to, not null
 * @param address  the worker's address, not null
 * @param dataCentre  the worker's data centre, not null
 * @param labels  the worker's labels, its rack last, not null
 * @param capacity  the worker's resources, not null
 * @param draining  true if the worker is draining and about to leave
 * @param born  when this incarnation of the worker started, in milliseconds since 1970, 0 if the platform does not send it
 */
public record RegisteredWorker(
        String id,
        String machine,
        String pool,
        WorkerAddress address,
        String dataCentre,
        List<String> labels,
        ResourceAmount capacity,
        boolean draining,
        long born) {
    /** The maximum of each resource of a worker, so that sums over the workers of a pool do not overflow. */
    public static final long MAX_RESOURCE = 1_000_000_000;

    /**
     * Constructs a worker with a copy of the labels.
     */
    public RegisteredWorker {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(address, "address");
        labels = List.copyOf(labels);
    }

    /**
     * Returns whether this worker runs on the machine of another one and started later. The other one has ended then.
     *
     * @param former  the other worker, not null
     * @return false if the machine or the start of either is not known
     */
    public boolean replaces(RegisteredWorker former) {
        return !machine.isEmpty()
                && machine.equals(former.machine)
                && !id.equals(former.id)
                && incarnation().isAfter(former.incarnation());
    }

    /**
     * Returns the worker with another start.
     *
     * @param newBorn  when the worker started, in milliseconds since 1970
     * @return the worker, not null
     */
    RegisteredWorker withBorn(long newBorn) {
        return new RegisteredWorker(id, machine, pool, address, dataCentre, labels, capacity, draining, newBorn);
    }

    /**
     * Returns the worker with other resources.
     *
     * @param newCapacity  the worker's resources, not null
     * @return the worker, not null
     */
    RegisteredWorker withCapacity(ResourceAmount newCapacity) {
        return new RegisteredWorker(id, machine, pool, address, dataCentre, labels, newCapacity, draining, born);
    }

    /**
     * Constructs a worker of a platform that does not send when a worker started.
     *
     * @param id  the identifier of the worker, not null
     * @param machine  the machine that the worker runs on, empty if it is not known, not null
     * @param pool  the pool that the worker belongs to, not null
     * @param address  the worker's address, not null
     * @param dataCentre  the worker's data centre, not null
     * @param labels  the worker's labels, its rack last, not null
     * @param capacity  the worker's resources, not null
     * @param draining  true if the worker is draining and about to leave
     */
    public RegisteredWorker(
            String id,
            String machine,
            String pool,
            WorkerAddress address,
            String dataCentre,
            List<String> labels,
            ResourceAmount capacity,
            boolean draining) {
        this(id, machine, pool, address, dataCentre, labels, capacity, draining, WorkerIncarnation.UNKNOWN.born());
    }

    /**
     * Returns the incarnation of the worker that registered.
     *
     * @return the incarnation, unknown if the platform does not send it, not null
     */
    public WorkerIncarnation incarnation() {
        return new WorkerIncarnation(born);
    }

    /**
     * Returns the label of the worker's rack.
     *
     * @return the label, empty if the worker has no labels, not null
     */
    public String rack() {
        return labels.isEmpty() ? "" : labels.get(labels.size() - 1);
    }
}
