package org.trefoilpost.decision.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;

/**
 * The workers that a router knows, those of them that have a free slot, and their sums.
 */
final class CandidateIndex {
    private final SelectionPolicy policy;
    private final RouterSettings settings;
    private final Map<WorkerId, Candidate> byId = new HashMap<>();
    private final List<Candidate> members = new ArrayList<>();
    private final Map<DataCentreName, CandidateGroup> freeByDataCentre = new HashMap<>();
    private final CandidateGroup freeInPool = new CandidateGroup(CandidateGroup.POOL);
    private int usableSlots;
    private int peerInFlight;

    CandidateIndex(SelectionPolicy policy, RouterSettings settings) {
        this.policy = policy;
        this.settings = settings;
    }

    /** Returns the candidate of a worker, or null. */
    Candidate find(WorkerId worker) {
        return byId.get(worker);
    }

    /** Returns the candidate of a choice, or null. */
    Candidate find(WorkerChoice choice) {
        return choice.candidate() != null
                ? choice.candidate()
                : find(choice.worker().id());
    }

    List<Candidate> members() {
        return members;
    }

    CandidateGroup freeInPool() {
        return freeInPool;
    }

    /** Returns the free candidates of a data centre, or null if it never had any. */
    CandidateGroup freeInDataCentre(DataCentreName dataCentre) {
        return freeByDataCentre.get(dataCentre);
    }

    int usableSlots() {
        return usableSlots;
    }

    int peerInFlight() {
        return peerInFlight;
    }

    /** Returns the candidate of a worker, which is a member afterwards. */
    Candidate put(Worker worker) {
        Candidate candidate = byId.computeIfAbsent(worker.id(), id -> new Candidate(worker, settings));
        if (!candidate.member()) {
            candidate.member(true);
            members.add(candidate);
        }
        return candidate;
    }

    /** Takes the candidates of other workers out of the pool and returns them. */
    List<Candidate> retain(Set<WorkerId> workers) {
        List<Candidate> removed = new ArrayList<>();
        for (Candidate candidate : members) {
            if (!workers.contains(candidate.worker().id())) {
                candidate.member(false);
                removed.add(candidate);
            }
        }
        members.removeIf(candidate -> !candidate.member());
        removed.forEach(this::refresh);
        return removed;
    }

    /** Replaces what the platform tells of a candidate's worker. */
    void replace(Candidate candidate, Worker worker) {
        leaveGroups(candidate);
        candidate.worker(worker);
        refresh(candidate);
    }

    /** Brings the groups and the sums in line with a candidate that changed. */
    void refresh(Candidate candidate) {
        boolean takesWork = candidate.takesWork();
        usableSlots -= candidate.countedSlots();
        peerInFlight -= candidate.countedPeerInFlight();
        candidate.counted(takesWork ? candidate.estimatedSlots() : 0, takesWork ? candidate.peerInFlight() : 0);
        usableSlots += candidate.countedSlots();
        peerInFlight += candidate.countedPeerInFlight();
        boolean isListed = candidate.position(CandidateGroup.POOL) != Candidate.ABSENT;
        boolean isFree = takesWork && freeSlots(candidate) > 0;
        if (isFree && !isListed) {
            joinGroups(candidate);
        } else if (!isFree && isListed) {
            leaveGroups(candidate);
        }
        if (isFree) {
            candidate.group().update(candidate);
            freeInPool.update(candidate);
        }
        if (!candidate.member() && candidate.ownInFlight() == 0) {
            byId.remove(candidate.worker().id());
        }
    }

    private int freeSlots(Candidate candidate) {
        return policy.freeSlots(
                candidate.estimatedSlots(), candidate.ownInFlight(), candidate.peerInFlightWithMargin());
    }

    private void joinGroups(Candidate candidate) {
        DataCentreName dataCentre = candidate.worker().dataCentre();
        candidate.group(
                freeByDataCentre.computeIfAbsent(dataCentre, name -> new CandidateGroup(CandidateGroup.DATA_CENTRE)));
        candidate.group().add(candidate);
        freeInPool.add(candidate);
    }

    private void leaveGroups(Candidate candidate) {
        if (candidate.group() != null) {
            candidate.group().remove(candidate);
            candidate.group(null);
        }
        freeInPool.remove(candidate);
    }
}
