package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;

/**
 * A pool while a plan is drafted: who is in it, and what each stop leaves of its budget.
 */
final class DraftPool {
    private final PoolName name;
    private final AvailabilityBudget budget;
    private final Map<WorkerId, DraftMember> members = new LinkedHashMap<>();
    private final Map<Object, Integer> domainSizes = new HashMap<>();
    private final List<Integer> availableAboveFloor = new ArrayList<>();
    private int available;
    private int largestDomainSize;
    private int largestDomainCount;
    private int firstUsedBatch = -1;
    private int lastUsedBatch = -1;

    DraftPool(PoolName name, AvailabilityBudget budget) {
        this.name = name;
        this.budget = budget;
    }

    PoolName name() {
        return name;
    }

    AvailabilityBudget budget() {
        return budget;
    }

    Collection<DraftMember> members() {
        return members.values();
    }

    Optional<DraftMember> member(WorkerId worker) {
        return Optional.ofNullable(members.get(worker));
    }

    int available() {
        return available;
    }

    int headroom() {
        return available - reserveFor(largestDomainSize) - budget.floor();
    }

    /** Returns the headroom if one more available member stopped. */
    int headroomWithout(DraftMember member) {
        int size = domainSizes.getOrDefault(domainOf(member), 0);
        boolean shrinks = size == largestDomainSize && largestDomainCount == 1;
        int remaining = available - 1;
        int loss = budget.reserve() == FailureDomain.WORKER
                ? Math.min(1, remaining)
                : shrinks ? size - 1 : largestDomainSize;
        return remaining - reserveFor(loss) - budget.floor();
    }

    int domainSize(DraftMember member) {
        return domainSizes.getOrDefault(domainOf(member), 0);
    }

    Object domainOf(DraftMember member) {
        switch (budget.reserve()) {
            case RACK:
                return member.rack();
            case DATA_CENTRE:
                return member.dataCentre();
            case WORKER:
                return member.worker();
            default:
                return name;
        }
    }

    private int reserveFor(int loss) {
        return budget.reserve() == FailureDomain.NONE ? 0 : loss;
    }

    void add(DraftMember member) {
        members.put(member.worker(), member);
        member.join(this);
        if (member.available()) {
            markAvailable(member);
        }
    }

    void remove(DraftMember member) {
        members.remove(member.worker());
    }

    void markAvailable(DraftMember member) {
        available++;
        domainSizes.merge(domainOf(member), 1, Integer::sum);
        updateLargestDomain();
    }

    void markUnavailable(DraftMember member) {
        available--;
        domainSizes.merge(domainOf(member), -1, Integer::sum);
        updateLargestDomain();
    }

    private void updateLargestDomain() {
        largestDomainSize = 0;
        largestDomainCount = 0;
        for (int size : domainSizes.values()) {
            if (size > largestDomainSize) {
                largestDomainSize = size;
                largestDomainCount = 1;
            } else if (size == largestDomainSize) {
                largestDomainCount++;
            }
        }
    }

    void endBatch(int batch, boolean used) {
        availableAboveFloor.add(available - budget.floor());
        if (used) {
            firstUsedBatch = firstUsedBatch < 0 ? batch : firstUsedBatch;
            lastUsedBatch = batch;
        }
    }

    /** Returns the idle instance-minutes from the first to the last batch that uses the budget. */
    double bufferCost(List<Double> minutes) {
        double cost = 0;
        for (int batch = Math.max(0, firstUsedBatch); batch <= lastUsedBatch; batch++) {
            cost += Math.max(0, availableAboveFloor.get(batch)) * minutes.get(batch);
        }
        return cost;
    }
}
