package org.trefoilpost.decision.routing;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;

/**
 * Chooses the worker of each attempt in one pool.
 *
 * <p>A worker's occupancy is estimated from this entry's attempts in flight and the counts that peers report. Workers
 * that are full, leaving or ejected are not chosen, except for probes of ejected workers. The cost of a choice does not
 * depend on the size of the pool. A router is confined to one thread.
 */
public final class PoolRouter {
    /** The weight of the newest answer in the mean service time. */
    private static final double SERVICE_TIME_WEIGHT = 0.05;

    private final RouterSettings settings;
    private final SelectionPolicy policy;
    private final RandomGenerator random;
    private final PeerCounts peerCounts;
    private final OutlierEjector ejector;
    private final CandidateIndex candidates;
    private final Consumer<Candidate> refresh;
    private final PriorityQueue<SlotLimitExpiry> slotLimitExpiries = new PriorityQueue<>();
    private LeavingRegister leavingRegister = LeavingRegister.empty();
    private int ownInFlight;
    private double meanServiceMillis;

    private PoolRouter(RouterSettings settings, SelectionPolicy policy, RandomGenerator random) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.random = Objects.requireNonNull(random, "random");
        this.peerCounts = new PeerCounts(settings.peerCountMaxAgeMillis(), settings.peerCountWeight());
        this.ejector = new OutlierEjector(settings, random);
        this.candidates = new CandidateIndex(policy, settings);
        this.refresh = candidates::refresh;
    }

    /**
     * Obtains a router without workers.
     *
     * @param settings  the settings of capacity estimates, ejection and probes, not null
     * @param policy  the policy that selects among the workers with a free slot, not null
     * @param random  the source of random numbers, not null
     * @return the router, not null
     */
    public static PoolRouter of(RouterSettings settings, SelectionPolicy policy, RandomGenerator random) {
        return new PoolRouter(settings, policy, random);
    }

    /**
     * Chooses a worker for an attempt; the caller then calls {@link #attemptStarted}.
     *
     * @param request  the entry's data centre and the workers and racks to avoid, not null
     * @param nowMillis  the present time in milliseconds
     * @return the choice, not null, empty if no allowed worker has a free slot
     */
    public Optional<WorkerChoice> choose(RouteRequest request, long nowMillis) {
        expire(nowMillis);
        Candidate probed = ejector.dueProbe(request, nowMillis);
        if (probed != null) {
            return probed.choice(true, !isLocal(probed, request));
        }
        CandidateGroup local = candidates.freeInDataCentre(request.ownDataCentre());
        Candidate chosen = local == null ? null : select(local, request);
        if (chosen != null) {
            return chosen.choice(false, false);
        }
        chosen = select(candidates.freeInPool(), request);
        return chosen == null ? Optional.empty() : chosen.choice(false, !isLocal(chosen, request));
    }

    /**
     * Records that an attempt begins.
     *
     * @param choice  the choice of the attempt, not null
     */
    public void attemptStarted(WorkerChoice choice) {
        Candidate candidate = candidates.find(choice);
        if (candidate == null) {
            return;
        }
        ownInFlight++;
        candidate.addOwnInFlight(1);
        if (choice.probe()) {
            ejector.probeStarted(candidate);
        }
        candidates.refresh(candidate);
    }

    /**
     * Records that an attempt ended; called once for each start.
     *
     * @param choice  the choice of the attempt, not null
     * @param outcome  how the attempt ended, not null
     * @param latencyMillis  the time since the start in milliseconds, not negative
     * @param nowMillis  the present time in milliseconds
     */
    public void attemptEnded(WorkerChoice choice, AttemptOutcome outcome, long latencyMillis, long nowMillis) {
        Candidate candidate = candidates.find(choice);
        if (candidate == null || candidate.ownInFlight() == 0) {
            return;
        }
        expire(nowMillis);
        ownInFlight--;
        candidate.addOwnInFlight(-1);
        if (outcome == AttemptOutcome.ANSWERED) {
            recordServiceTime(latencyMillis);
        }
        boolean sameIncarnation = candidate.worker() == choice.worker()
                || candidate.worker().incarnation() == choice.worker().incarnation();
        if (sameIncarnation) {
            recordOutcome(candidate, outcome, choice.probe(), nowMillis);
        }
        candidates.refresh(candidate);
    }

    /**
     * Records how many attempts of a peer are in flight at a worker; the count expires unless it is reported again.
     *
     * <p>A report for a worker outside the pool is ignored.
     *
     * @param entry  the peer, not null
     * @param worker  the worker, not null
     * @param inFlight  the attempts, not negative
     * @param nowMillis  the present time in milliseconds
     */
    public void recordPeerInFlight(EntryId entry, WorkerId worker, int inFlight, long nowMillis) {
        Candidate candidate = candidates.find(worker);
        if (candidate != null && candidate.member()) {
            expire(nowMillis);
            peerCounts.report(candidate, entry, Math.max(0, inFlight), nowMillis);
            candidates.refresh(candidate);
        }
    }

    /**
     * Replaces the pool's workers. A worker that is listed with an older incarnation than the known one stays as it is.
     *
     * @param workers  the workers, not null
     * @param nowMillis  the present time in milliseconds
     */
    public void replaceWorkers(Collection<Worker> workers, long nowMillis) {
        Set<WorkerId> listed = new HashSet<>();
        for (Worker worker : workers) {
            listed.add(worker.id());
            leavingRegister = leavingRegister.withListed(worker);
        }
        for (Candidate removed : candidates.retain(listed)) {
            peerCounts.remove(removed);
            ejector.reinstate(removed, nowMillis);
        }
        workers.forEach(worker -> putWorker(worker, nowMillis));
    }

    /**
     * Merges a register of leaving workers into this router's.
     *
     * @param register  the register, not null
     */
    public void mergeLeaving(LeavingRegister register) {
        leavingRegister = leavingRegister.merge(register);
        for (Candidate candidate : candidates.members()) {
            candidate.leaving(leavingRegister.leaving(candidate.worker()));
            candidates.refresh(candidate);
        }
    }

    /**
     * Returns the slots that requests may use now. If no worker takes new work, an ejected worker that is due for a
     * probe counts as one slot.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the slots, not negative
     */
    public int usableSlots(long nowMillis) {
        expire(nowMillis);
        return usableSlots() == 0 && ejector.dueProbe(nowMillis) != null ? 1 : usableSlots();
    }

    /**
     * Returns when the next slot limit of a rejection or the next back-off of an ejected worker ends.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the time in milliseconds, later than the present, the largest long if nothing ends
     */
    public long nextChangeMillis(long nowMillis) {
        expire(nowMillis);
        long limitEnd = slotLimitExpiries.isEmpty() ? Long.MAX_VALUE : slotLimitExpiries.peek().untilMillis;
        long probe = ejector.nextProbeMillis();
        return probe > nowMillis ? Math.min(limitEnd, probe) : limitEnd;
    }

    /**
     * Returns the estimated slots of the workers that take new work.
     *
     * @return the slots, not negative
     */
    public int usableSlots() {
        return candidates.usableSlots();
    }

    /**
     * Returns the attempts of peers in flight at the workers that take new work, as averaged from their reports.
     *
     * @return the attempts, not negative
     */
    public int peerInFlight() {
        return candidates.peerInFlight();
    }

    /**
     * Returns the attempts of this entry in flight in the pool.
     *
     * @return the attempts, not negative
     */
    public int ownInFlight() {
        return ownInFlight;
    }

    /**
     * Returns the attempts of this entry in flight at a worker.
     *
     * @param worker  the worker, not null
     * @return the attempts, not negative
     */
    public int ownInFlight(WorkerId worker) {
        Candidate candidate = candidates.find(worker);
        return candidate == null ? 0 : candidate.ownInFlight();
    }

    /**
     * Returns the number of ejected workers.
     *
     * @return the number, not negative
     */
    public int ejectedWorkers() {
        return ejector.ejected();
    }

    /**
     * Returns whether a worker is ejected.
     *
     * @param worker  the worker, not null
     * @return true if ejected
     */
    public boolean ejected(WorkerId worker) {
        Candidate candidate = candidates.find(worker);
        return candidate != null && candidate.ejection() != null;
    }

    /**
     * Returns the exponentially weighted mean time of answered attempts.
     *
     * @return the time in milliseconds, 0 before the first answer
     */
    public double meanServiceMillis() {
        return meanServiceMillis;
    }

    private void putWorker(Worker worker, long nowMillis) {
        Candidate candidate = candidates.put(worker);
        if (worker.incarnation() > candidate.worker().incarnation()) {
            peerCounts.remove(candidate);
            ejector.reinstate(candidate, nowMillis);
            candidate.failureRate().reset();
            candidate.capacity(new CapacityEstimate(settings));
        }
        if (worker.incarnation() >= candidate.worker().incarnation() && !worker.equals(candidate.worker())) {
            candidates.replace(candidate, worker);
        }
        candidate.leaving(leavingRegister.leaving(candidate.worker()));
        candidates.refresh(candidate);
    }

    private static boolean isLocal(Candidate candidate, RouteRequest request) {
        return candidate.worker().dataCentre().equals(request.ownDataCentre());
    }

    private Candidate select(CandidateGroup group, RouteRequest request) {
        int index = policy.select(group, request, random);
        return index == SelectionPolicy.NONE ? null : group.candidate(index);
    }

    private void recordServiceTime(long latencyMillis) {
        meanServiceMillis = meanServiceMillis == 0
                ? latencyMillis
                : meanServiceMillis + SERVICE_TIME_WEIGHT * (latencyMillis - meanServiceMillis);
    }

    private void recordOutcome(Candidate candidate, AttemptOutcome outcome, boolean probe, long nowMillis) {
        if (outcome == AttemptOutcome.ANSWERED) {
            candidate.capacity().recordAnswer();
        } else if (outcome == AttemptOutcome.REJECTED) {
            int occupancy = candidate.estimatedInFlight();
            slotLimitExpiries.add(
                    new SlotLimitExpiry(candidate, candidate.capacity().recordRejection(occupancy, nowMillis)));
        }
        ejector.attemptEnded(candidate, candidates.members(), outcome, probe, nowMillis);
    }

    private void expire(long nowMillis) {
        while (!slotLimitExpiries.isEmpty() && slotLimitExpiries.peek().untilMillis <= nowMillis) {
            Candidate candidate = slotLimitExpiries.poll().candidate;
            candidate.capacity().expireSlotLimit(nowMillis);
            candidates.refresh(candidate);
        }
        peerCounts.expire(nowMillis, refresh);
    }

    /**
     * The time at which the slot limit of a worker that rejected a request ends.
     */
    private static final class SlotLimitExpiry implements Comparable<SlotLimitExpiry> {
        private final Candidate candidate;
        private final long untilMillis;

        private SlotLimitExpiry(Candidate candidate, long untilMillis) {
            this.candidate = candidate;
            this.untilMillis = untilMillis;
        }

        @Override
        public int compareTo(SlotLimitExpiry other) {
            return Long.compare(untilMillis, other.untilMillis);
        }
    }
}
