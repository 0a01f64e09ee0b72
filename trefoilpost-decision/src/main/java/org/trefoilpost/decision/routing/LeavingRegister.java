package org.trefoilpost.decision.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.worker.Worker;
import org.trefoilpost.model.worker.WorkerState;

/**
 * The workers that take no new work, as the union of all signals.
 *
 * <p>Only a newer incarnation brings a worker back, or for a cordon a newer uncordon. Entries exchange and merge their
 * registers; the order and the number of the merges do not matter.
 */
public final class LeavingRegister {
    private static final LeavingRegister EMPTY = new LeavingRegister(Map.of());

    private final Map<WorkerId, LeavingSignals> signals;

    private LeavingRegister(Map<WorkerId, LeavingSignals> entries) {
        this.signals = entries;
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
     * @param entries  what is known of each worker, not null
     * @return the register, not null
     */
    public static LeavingRegister of(Map<WorkerId, LeavingSignals> entries) {
        return new LeavingRegister(Map.copyOf(entries));
    }

    /**
     * Returns what is known of each worker.
     *
     * @return the entries, not null
     */
    public Map<WorkerId, LeavingSignals> signals() {
        return signals;
    }

    /**
     * Returns whether a worker takes no new work.
     *
     * @param worker  the worker in its present incarnation, not null
     * @return true if any signal, or the worker's own state, says so
     */
    public boolean leaving(Worker worker) {
        LeavingSignals entry = signals.get(worker.id());
        return worker.state() != WorkerState.LIVE || (entry != null && entry.leaving(worker.incarnation()));
    }

    /**
     * Returns a copy of this register with a worker as the platform's list shows it.
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
     * Returns a copy of this register with a worker's own signal that it leaves.
     *
     * @param worker  the worker, not null
     * @param incarnation  the incarnation that gave the signal
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
     * Returns a copy of this register with only the workers that are still of interest.
     *
     * @param workers  the workers to keep, not null
     * @return the copy, not null
     */
    public LeavingRegister retaining(Set<WorkerId> workers) {
        Map<WorkerId, LeavingSignals> kept = new HashMap<>(signals);
        kept.keySet().retainAll(workers);
        return of(kept);
    }

    private LeavingRegister with(WorkerId worker, LeavingSignals entry) {
        return merge(new LeavingRegister(Map.of(worker, entry)));
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
     * Returns the entries.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return signals.toString();
    }
}
