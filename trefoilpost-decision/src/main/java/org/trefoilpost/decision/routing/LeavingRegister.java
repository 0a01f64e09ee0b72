package org.trefoilpost.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;
import org.trefoilpost.model.worker.WorkerState;

/**
 * A replicated register of the workers that take no new work, as the union of all signals.
 *
 * <p>A leaving worker becomes available again only with a newer incarnation, a cordoned one only with a newer uncordon.
 * Entries exchange and merge their registers; the order and the number of the merges do not matter.
 */
public final class LeavingRegister {
    private static final LeavingRegister EMPTY = new LeavingRegister(Map.of());

    private final Map<WorkerId, LeavingSignals> signals;

    private LeavingRegister(Map<WorkerId, LeavingSignals> signals) {
        this.signals = signals;
    }

    /**
     * Returns a register without signals.
     *
     * @return the register, not null
     */
    public static LeavingRegister empty() {
        return EMPTY;
    }

    /**
     * Obtains a register, as decoded from a peer's message.
     *
     * @param signals  the signals of each worker, not null
     * @return the register, not null
     */
    public static LeavingRegister of(Map<WorkerId, LeavingSignals> signals) {
        return new LeavingRegister(Map.copyOf(signals));
    }

    /**
     * Returns the signals of each worker.
     *
     * @return the signals, not null, empty if there are none
     */
    public Map<WorkerId, LeavingSignals> signals() {
        return signals;
    }

    /**
     * Returns whether a worker takes no new work.
     *
     * @param worker  the worker in its current incarnation, not null
     * @return true if any signal, or the worker's state in the platform's list, says so
     */
    public boolean leaving(Worker worker) {
        LeavingSignals workerSignals = signals.get(worker.id());
        return worker.state() != WorkerState.LIVE
                || (workerSignals != null && workerSignals.leaving(worker.incarnation()));
    }

    /**
     * Returns a copy of this register with the state of a worker in the platform's list.
     *
     * @param worker  the worker, not null
     * @return the copy, or this register if the worker is live or nothing is new
     */
    public LeavingRegister withListed(Worker worker) {
        if (worker.state() == WorkerState.LIVE) {
            return this;
        }
        return with(
                worker.id(),
                LeavingSignals.of(worker.incarnation(), LeavingSignals.NEVER, LeavingSignals.NEVER, false));
    }

    /**
     * Returns a copy of this register with a worker's own announcement that it is leaving.
     *
     * @param worker  the worker, not null
     * @param incarnation  the incarnation of the worker that announced it
     * @return the copy, or this register if nothing is new
     */
    public LeavingRegister withWorkerSignal(WorkerId worker, long incarnation) {
        return with(worker, LeavingSignals.of(LeavingSignals.NEVER, incarnation, LeavingSignals.NEVER, false));
    }

    /**
     * Returns a copy of this register with a cordon or an uncordon.
     *
     * @param worker  the worker, not null
     * @param version  the version of the decision, which grows with each cordon and uncordon of the worker
     * @param cordoned  true for a cordon, false for an uncordon
     * @return the copy, or this register if nothing is new
     */
    public LeavingRegister withCordon(WorkerId worker, long version, boolean cordoned) {
        return with(worker, LeavingSignals.of(LeavingSignals.NEVER, LeavingSignals.NEVER, version, cordoned));
    }

    /**
     * Returns the union of this register and another.
     *
     * @param other  the other register, not null
     * @return the union, or this register if nothing is new
     */
    public LeavingRegister merge(LeavingRegister other) {
        Map<WorkerId, LeavingSignals> changed = null;
        for (Map.Entry<WorkerId, LeavingSignals> item : other.signals.entrySet()) {
            LeavingSignals before = signals.getOrDefault(item.getKey(), LeavingSignals.NONE);
            LeavingSignals after = before.merge(item.getValue());
            if (!after.equals(before)) {
                changed = changed == null ? new HashMap<>(signals) : changed;
                changed.put(item.getKey(), after);
            }
        }
        return changed == null ? this : of(changed);
    }

    /**
     * Returns a copy of this register with the signals of some workers only.
     *
     * @param workers  the workers to keep, not null
     * @return the copy, not null
     */
    public LeavingRegister retaining(Set<WorkerId> workers) {
        Map<WorkerId, LeavingSignals> kept = new HashMap<>(signals);
        kept.keySet().retainAll(workers);
        return of(kept);
    }

    private LeavingRegister with(WorkerId worker, LeavingSignals added) {
        return merge(new LeavingRegister(Map.of(worker, added)));
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof LeavingRegister other && other.signals.equals(signals);
    }

    @Override
    public int hashCode() {
        return signals.hashCode();
    }

    /**
     * Returns the signals by worker.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return signals.toString();
    }
}
