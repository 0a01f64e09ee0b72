package org.trefoilpost.decision.inventory;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;

/**
 * A worker of a pool, with its rack, its data centre and whether it can accept work.
 */
public final class PoolMember {
    private final WorkerId worker;
    private final RackName rack;
    private final DataCentreName dataCentre;
    private final boolean usable;
    private final Optional<PoolName> lender;

    private PoolMember(
            WorkerId worker, RackName rack, DataCentreName dataCentre, boolean usable, Optional<PoolName> lender) {
        this.worker = Objects.requireNonNull(worker, "worker");
        this.rack = Objects.requireNonNull(rack, "rack");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        this.usable = usable;
        this.lender = Objects.requireNonNull(lender, "lender");
    }

    /**
     * Obtains a member.
     *
     * @param worker  the worker, not null
     * @param rack  the worker's rack, not null
     * @param dataCentre  the rack's data centre, not null
     * @param usable  whether the worker can accept work
     * @param lender  the pool that lent the worker, not null, empty if the worker isn't on loan
     * @return the member, not null
     */
    public static PoolMember of(
            WorkerId worker, RackName rack, DataCentreName dataCentre, boolean usable, Optional<PoolName> lender) {
        return new PoolMember(worker, rack, dataCentre, usable, lender);
    }

    /**
     * Returns the worker.
     *
     * @return the worker, not null
     */
    public WorkerId worker() {
        return worker;
    }

    /**
     * Returns the worker's rack.
     *
     * @return the rack, not null
     */
    public RackName rack() {
        return rack;
    }

    /**
     * Returns the worker's data centre.
     *
     * @return the data centre, not null
     */
    public DataCentreName dataCentre() {
        return dataCentre;
    }

    /**
     * Returns whether the worker can accept work.
     *
     * @return true if the worker is usable
     */
    public boolean usable() {
        return usable;
    }

    /**
     * Returns the pool that lent the worker.
     *
     * @return the lender, not null, empty if the worker isn't on loan
     */
    public Optional<PoolName> lender() {
        return lender;
    }

    /**
     * Returns the worker and its rack, and that it has failed if it isn't usable.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return worker + "@" + rack + (usable ? "" : " failed");
    }
}
