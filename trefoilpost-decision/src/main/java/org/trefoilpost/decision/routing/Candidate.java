package org.trefoilpost.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.worker.Worker;

/**
 * The state that a router keeps of one worker: its capacity, occupancy, failure rate and ejection.
 */
final class Candidate {
    /** The position of a candidate that belongs to no group. */
    static final int ABSENT = -1;

    private final Map<EntryId, PeerCounts.Count> peerCounts = new HashMap<>(4);
    private final FailureRate failureRate;
    private CandidateGroup group;
    private int groupPosition = ABSENT;
    private int poolPosition = ABSENT;
    private Optional<WorkerChoice> localChoice;
    private Optional<WorkerChoice> remoteChoice;
    /** The worker's slots, or its connections if those are fewer. */
    private int totalSlots;

    private Worker worker;
    private boolean leaving;
    private boolean member;
    private int ownInFlight;
    /** The sum of the peers' mean attempts in flight, in units of {@link PeerCounts#UNITS_PER_ATTEMPT}. */
    private int peerUnits;

    private CapacityEstimate capacity;
    private int countedSlots;
    private int countedPeerInFlight;
    private Ejection ejection;
    private int consecutiveEjections;
    private long reinstatedMillis;

    Candidate(Worker worker, RouterSettings settings) {
        setWorker(worker);
        this.failureRate = new FailureRate(settings.failureHalfLifeMillis());
        this.capacity = new CapacityEstimate(settings);
    }

    Map<EntryId, PeerCounts.Count> peerCounts() {
        return peerCounts;
    }

    FailureRate failureRate() {
        return failureRate;
    }

    /** Returns the group of this candidate's data centre, or null if it belongs to no group. */
    CandidateGroup group() {
        return group;
    }

    void group(CandidateGroup newGroup) {
        this.group = newGroup;
    }

    int position(int group) {
        return group == CandidateGroup.POOL ? poolPosition : groupPosition;
    }

    void position(int group, int position) {
        if (group == CandidateGroup.POOL) {
            poolPosition = position;
        } else {
            groupPosition = position;
        }
    }

    Worker worker() {
        return worker;
    }

    void worker(Worker newWorker) {
        setWorker(newWorker);
    }

    boolean leaving() {
        return leaving;
    }

    void leaving(boolean nowLeaving) {
        this.leaving = nowLeaving;
    }

    boolean member() {
        return member;
    }

    void member(boolean nowMember) {
        this.member = nowMember;
    }

    int ownInFlight() {
        return ownInFlight;
    }

    void addOwnInFlight(int change) {
        ownInFlight = Math.max(0, ownInFlight + change);
    }

    /** Returns the mean attempts of peers in flight, rounded to whole attempts. */
    int peerInFlight() {
        return (int) Math.round(meanPeerInFlight());
    }

    void addPeerUnits(int change) {
        peerUnits += change;
    }

    void clearPeerUnits() {
        peerUnits = 0;
    }

    private double meanPeerInFlight() {
        return (double) peerUnits / PeerCounts.UNITS_PER_ATTEMPT;
    }

    /** Returns the attempts of all entries in flight, those of peers as the mean of their reports. */
    double meanInFlight() {
        return ownInFlight + meanPeerInFlight();
    }

    int estimatedInFlight() {
        return ownInFlight + peerInFlight();
    }

    /** Returns the slots that the worker is estimated to have, fewer for a while after a rejection. */
    int estimatedSlots() {
        return Math.min(capacity.slotLimit(), totalSlots);
    }

    /** Returns the slots assumed to be used by peers, including the safety margin. */
    int peerInFlightWithMargin() {
        // Only answers narrow the margin, so it leaves a slot of an idle worker for the attempts that get them.
        double margin = Math.min(capacity.marginSlots(), Math.max(0, totalSlots - 1));
        return (int) Math.round(meanPeerInFlight() + margin);
    }

    CapacityEstimate capacity() {
        return capacity;
    }

    void capacity(CapacityEstimate newHeadroom) {
        this.capacity = newHeadroom;
    }

    /** Returns the slots that the pool's total includes for this candidate. */
    int countedSlots() {
        return countedSlots;
    }

    /** Returns the attempts of peers that the pool's total includes for this candidate. */
    int countedPeerInFlight() {
        return countedPeerInFlight;
    }

    void counted(int newSlots, int newPeerInFlight) {
        this.countedSlots = newSlots;
        this.countedPeerInFlight = newPeerInFlight;
    }

    /** Returns the ejection in force, or null. */
    Ejection ejection() {
        return ejection;
    }

    void ejection(Ejection newEjection) {
        this.ejection = newEjection;
    }

    int consecutiveEjections() {
        return consecutiveEjections;
    }

    void consecutiveEjections(int count) {
        this.consecutiveEjections = count;
    }

    long reinstatedMillis() {
        return reinstatedMillis;
    }

    void reinstatedMillis(long millis) {
        this.reinstatedMillis = millis;
    }

    /** Returns the choice of this candidate; only choices for probes are created at each call. */
    Optional<WorkerChoice> choice(boolean probe, boolean spilledOver) {
        if (probe) {
            return Optional.of(new WorkerChoice(this, worker, true, spilledOver));
        }
        return spilledOver ? remoteChoice : localChoice;
    }

    boolean takesWork() {
        return member && !leaving && ejection == null;
    }

    private void setWorker(Worker newWorker) {
        this.worker = newWorker;
        this.totalSlots = Math.min(newWorker.resources().slots(), newWorker.maxConnections());
        this.localChoice = Optional.of(new WorkerChoice(this, newWorker, false, false));
        this.remoteChoice = Optional.of(new WorkerChoice(this, newWorker, false, true));
    }
}
