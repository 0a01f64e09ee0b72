package org.trefoilpost.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.worker.Worker;

/**
 * What a router knows of one worker.
 */
final class Candidate {
    /** The position of a candidate that is not in a group. */
    static final int ABSENT = -1;

    private final Map<EntryId, PeerCounts.Count> peerCounts = new HashMap<>(4);
    private final FailureRate failureRate;
    private final int[] positions = {ABSENT, ABSENT};
    private final Map<Integer, Optional<Choice>> choices = new HashMap<>(4);
    private Worker worker;
    private boolean leaving;
    private boolean member;
    private int ownInFlight;
    private int peerInFlight;
    private int heldSlots;
    private long heldUntilMillis = Long.MIN_VALUE;
    private int countedSlots;
    private int countedPeerInFlight;
    private Ejection ejection;
    private int ejections;
    private long reinstatedMillis;

    Candidate(Worker worker, long failureHalfLifeMillis) {
        this.worker = worker;
        this.failureRate = new FailureRate(failureHalfLifeMillis);
        this.heldSlots = fullSlots();
    }

    Map<EntryId, PeerCounts.Count> peerCounts() {
        return peerCounts;
    }

    FailureRate failureRate() {
        return failureRate;
    }

    int position(int group) {
        return positions[group];
    }

    void position(int group, int position) {
        positions[group] = position;
    }

    Worker worker() {
        return worker;
    }

    void worker(Worker newWorker) {
        this.worker = newWorker;
        this.heldSlots = fullSlots();
        choices.clear();
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

    void addOwn(int change) {
        ownInFlight = Math.max(0, ownInFlight + change);
    }

    int peerInFlight() {
        return peerInFlight;
    }

    void addPeer(int change) {
        peerInFlight += change;
    }

    int estimatedInFlight() {
        return ownInFlight + peerInFlight;
    }

    /** Returns the slots that the worker is taken to have at present. */
    int slots() {
        return heldSlots;
    }

    int fullSlots() {
        return Math.min(worker.resources().slots(), worker.connections());
    }

    void hold(int slots, long untilMillis) {
        heldSlots = Math.min(slots, fullSlots());
        heldUntilMillis = untilMillis;
    }

    void endHold(long nowMillis) {
        if (nowMillis >= heldUntilMillis) {
            heldSlots = fullSlots();
        }
    }

    /** Returns the slots with which this candidate counts in its pool's sum. */
    int countedSlots() {
        return countedSlots;
    }

    /** Returns the peers' attempts with which this candidate counts in its pool's sum. */
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

    int ejections() {
        return ejections;
    }

    void ejections(int count) {
        this.ejections = count;
    }

    long reinstatedMillis() {
        return reinstatedMillis;
    }

    void reinstatedMillis(long millis) {
        this.reinstatedMillis = millis;
    }

    /** Returns the choice of this candidate, made once for each kind. */
    Optional<Choice> choice(boolean probe, boolean spilledOver) {
        int kind = (probe ? 2 : 0) + (spilledOver ? 1 : 0);
        return choices.computeIfAbsent(kind, key -> Optional.of(Choice.of(worker, probe, spilledOver)));
    }

    boolean takesWork() {
        return member && !leaving && ejection == null;
    }
}
