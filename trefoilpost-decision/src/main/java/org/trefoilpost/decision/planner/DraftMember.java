package org.trefoilpost.decision.planner;

import java.util.Optional;
import org.trefoilpost.decision.inventory.PoolMember;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;

/**
 * A worker while a plan is drafted.
 */
final class DraftMember {
    private final PoolMember member;
    private final boolean hasPlannedStop;
    private DraftPool pool;

    DraftMember(PoolMember member, DraftPool pool, boolean held) {
        this.member = member;
        this.pool = pool;
        this.hasPlannedStop = held;
    }

    WorkerId worker() {
        return member.worker();
    }

    RackName rack() {
        return member.rack();
    }

    DataCentreName dataCentre() {
        return member.dataCentre();
    }

    Optional<PoolName> lender() {
        return member.lender();
    }

    boolean usable() {
        return member.usable();
    }

    boolean hasPlannedStop() {
        return hasPlannedStop;
    }

    boolean available() {
        return usable() && !hasPlannedStop;
    }

    DraftPool pool() {
        return pool;
    }

    void join(DraftPool newPool) {
        this.pool = newPool;
    }

    @Override
    public String toString() {
        return member.toString();
    }
}
