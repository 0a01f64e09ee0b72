package org.trefoilpost.decision.claim;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.verdict.UncertaintyReason;
import org.trefoilpost.model.verdict.VerdictKind;

/** An entry in virtual time: drives a shard, calls the store, sends to the target, and may be paused or killed. */
final class SimulatedEntry {
    private static final int SEND_DELAY_MILLIS = 3;
    private static final int RUN_MILLIS = 60;

    private final ClaimSimulation simulation;
    private final VirtualTime time;
    private final Random random;
    private final RunLog log;
    private final ClaimShard shard;
    private final Set<String> openRequests = new HashSet<>();
    private final long skewMillis;
    private long pausedUntilMillis;
    private long timerAtMillis = Long.MAX_VALUE;
    private boolean killed;

    SimulatedEntry(ClaimSimulation simulation, int number, ClaimSettings settings, long skewMillis) {
        this.simulation = simulation;
        time = simulation.time();
        random = simulation.random();
        log = simulation.log();
        shard = ClaimShard.of(0, EntryId.of("entry" + number), simulation.nextIncarnation(), settings);
        this.skewMillis = skewMillis;
    }

    void pause(long millis) {
        pausedUntilMillis = Math.max(pausedUntilMillis, time.now() + millis);
    }

    void kill() {
        killed = true;
        openRequests.forEach(log::expectNoVerdict);
    }

    /** Delivers an event, after the pause if the entry is paused. */
    void deliver(ClaimEvent event) {
        runUnlessPaused(() -> shard.step(event, clockMillis()).forEach(this::execute));
    }

    /** Returns the time by the entry's own clock. */
    private long clockMillis() {
        return time.now() + skewMillis;
    }

    void request(String requestId, ClaimKey key, RequestFingerprint fingerprint, long timeoutMillis) {
        if (killed) {
            log.expectNoVerdict(requestId);
            return;
        }
        openRequests.add(requestId);
        deliver(ClaimRequested.of(requestId, key, fingerprint, clockMillis() + timeoutMillis));
    }

    private void runUnlessPaused(Runnable action) {
        if (killed) {
            return;
        }
        if (pausedUntilMillis > time.now()) {
            time.at(pausedUntilMillis, () -> runUnlessPaused(action));
            return;
        }
        action.run();
    }

    private void execute(ClaimAction action) {
        if (action instanceof StoreCall call) {
            simulation.network().call(call, this::deliver);
        } else if (action instanceof Dispatch dispatch) {
            time.after(random.nextInt(SEND_DELAY_MILLIS), () -> runUnlessPaused(() -> send(dispatch)));
        } else if (action instanceof Replay replay) {
            conclude(replay.requestId(), VerdictKind.ANSWERED, "replayed");
        } else if (action instanceof Conclude conclude) {
            conclude(
                    conclude.requestId(),
                    conclude.verdict().kind(),
                    conclude.verdict().reasonCode());
        } else if (action instanceof SetTimer timer) {
            timerAtMillis = timer.atMillis();
            time.at(timer.atMillis() - skewMillis, () -> fire(timer.atMillis()));
        } else if (action instanceof HandOverReady ready) {
            simulation.handOver(this, ready.handOver());
        }
    }

    private void fire(long at) {
        if (timerAtMillis == at) {
            timerAtMillis = Long.MAX_VALUE;
            deliver(TimerFired.of());
        }
    }

    private void conclude(String requestId, VerdictKind kind, String reason) {
        openRequests.remove(requestId);
        log.conclude(requestId, kind, reason);
    }

    private void send(Dispatch dispatch) {
        if (clockMillis() >= dispatch.sendBeforeMillis() || random.nextInt(12) == 0) {
            conclude(dispatch.requestId(), VerdictKind.NOT_RUN, "never sent");
            deliver(DispatchAbandoned.of(dispatch.key()));
            return;
        }
        log.run(dispatch.requestId(), dispatch.key());
        boolean answered = random.nextInt(8) != 0;
        time.after(1 + random.nextInt(RUN_MILLIS), () -> runUnlessPaused(() -> finish(dispatch, answered)));
    }

    private void finish(Dispatch dispatch, boolean answered) {
        if (answered) {
            conclude(dispatch.requestId(), VerdictKind.ANSWERED, "first");
            deliver(AnswerRecorded.of(dispatch.key(), () -> 100));
        } else {
            conclude(dispatch.requestId(), VerdictKind.MAY_HAVE_RUN, "connection-lost");
            deliver(OutcomeUnknown.of(dispatch.key(), UncertaintyReason.CONNECTION_LOST));
        }
    }
}
