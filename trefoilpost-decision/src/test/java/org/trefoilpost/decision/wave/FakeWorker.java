package org.trefoilpost.decision.wave;

import java.util.HashMap;
import java.util.Map;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;

/**
 * A worker that checks that it is never stopped with work in flight.
 */
final class FakeWorker {
    enum State {
        LIVE,
        STOPPED,
        BROKEN
    }

    private final WorkerId id;
    private final RackName rack;
    private final Map<String, Integer> inFlightByEntry = new HashMap<>();
    private State state = State.LIVE;
    private long incarnation = 1;
    private boolean powered = true;

    FakeWorker(WorkerId id, RackName rack) {
        this.id = id;
        this.rack = rack;
    }

    WorkerId id() {
        return id;
    }

    RackName rack() {
        return rack;
    }

    long incarnation() {
        return incarnation;
    }

    boolean live() {
        return powered && state == State.LIVE;
    }

    boolean stopped() {
        return powered && state == State.STOPPED;
    }

    int inFlight() {
        return inFlightByEntry.values().stream().mapToInt(Integer::intValue).sum();
    }

    int inFlight(String entry) {
        return inFlightByEntry.getOrDefault(entry, 0);
    }

    void beginRequest(String entry) {
        inFlightByEntry.merge(entry, 1, Integer::sum);
    }

    void finishOneRequestPerEntry() {
        inFlightByEntry.replaceAll((entry, count) -> Math.max(0, count - 1));
    }

    void stop(long wanted) {
        if (live() && wanted == incarnation) {
            if (inFlight() > 0) {
                throw new AssertionError(id + " was stopped with work in flight: " + inFlightByEntry);
            }
            state = State.STOPPED;
        }
    }

    void reboot(long wanted, boolean breaks) {
        if (stopped() && (wanted == incarnation || wanted == 0)) {
            state = breaks ? State.BROKEN : State.LIVE;
            incarnation++;
        }
    }

    void setPower(boolean on) {
        if (!on) {
            inFlightByEntry.clear();
        } else if (!powered && state != State.BROKEN) {
            incarnation++;
            state = State.LIVE;
        }
        powered = on;
    }

    @Override
    public String toString() {
        return id + "#" + incarnation + " " + state + (powered ? "" : " off");
    }
}
