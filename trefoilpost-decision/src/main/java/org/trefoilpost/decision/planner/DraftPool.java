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
    private final Map<Object, Integer> groups = new HashMap<>();
    private final List<Integer> spares = new ArrayList<>();
    private int available;
    private int largestGroup;
    private int largestGroups;
    private int firstUse = -1;
    private int lastUse = -1;

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
        return available - reserve(largestGroup) - budget.floor();
    }

    /** Returns the headroom if one more available member stopped. */
    int headroomWithout(DraftMember member) {
        int size = groups.getOrDefault(group(member), 0);
        boolean shrinks = size == largestGroup && largestGroups == 1;
        int remaining = available - 1;
        int loss =
                budget.reserve() == FailureDomain.WORKER ? Math.min(1, remaining) : shrinks ? size - 1 : largestGroup;
        return remaining - reserve(loss) - budget.floor();
    }

    int groupSize(DraftMember member) {
        return groups.getOrDefault(group(member), 0);
    }

    Object group(DraftMember member) {
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

    private int reserve(int loss) {
        return budget.reserve() == FailureDomain.NONE ? 0 : loss;
    }

    void add(DraftMember member) {
        members.put(member.worker(), member);
        member.join(this);
        if (member.free()) {
            start(member);
        }
    }

    void remove(DraftMember member) {
        members.remove(member.worker());
    }

    void start(DraftMember member) {
        available++;
        groups.merge(group(member), 1, Integer::sum);
        recount();
    }

    void stop(DraftMember member) {
        available--;
        groups.merge(group(member), -1, Integer::sum);
        recount();
    }

    private void recount() {
        largestGroup = 0;
        largestGroups = 0;
        for (int size : groups.values()) {
            if (size > largestGroup) {
                largestGroup = size;
                largestGroups = 1;
            } else if (size == largestGroup) {
                largestGroups++;
            }
        }
    }

    void endBatch(int batch, boolean used) {
        spares.add(available - budget.floor());
        if (used) {
            firstUse = firstUse < 0 ? batch : firstUse;
            lastUse = batch;
        }
    }

    /** Returns the idle instance-minutes from the first to the last batch that uses the budget. */
    double bufferCost(List<Double> minutes) {
        double cost = 0;
        for (int batch = Math.max(0, firstUse); batch <= lastUse; batch++) {
            cost += Math.max(0, spares.get(batch)) * minutes.get(batch);
        }
        return cost;
    }
}
