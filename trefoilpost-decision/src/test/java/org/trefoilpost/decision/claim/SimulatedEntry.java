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
    private final Set<String> open = new HashSet<>();
    private final long skewMillis;
    private long pausedUntil;
    private long timerAt = Long.MAX_VALUE;
    private boolean dead;

    SimulatedEntry(ClaimSimulation simulation, int number, ClaimSettings settings, long skewMillis) {
        this.simulation = simulation;
        time = simulation.time();
        random = simulation.random();
        log = simulation.log();
        shard = ClaimShard.of(0, EntryId.of("entry" + number), simulation.nextIncarnation(), settings);
        this.skewMillis = skewMillis;
    }

    void pause(long millis) {
        pausedUntil = Math.max(pausedUntil, time.now() + millis);
    }

    void kill() {
        dead = true;
        open.forEach(log::excuse);
    }

    /** Delivers an event, after the pause if the entry is paused. */
    void deliver(ClaimEvent event) {
        whenAwake(() -> shard.step(event, clock()).forEach(this::act));
    }

    /** Returns the time by the entry's own clock. */
    private long clock() {
        return time.now() + skewMillis;
    }

    void request(String requestId, ClaimKey key, RequestFingerprint fingerprint, long timeoutMillis) {
        if (dead) {
            log.excuse(requestId);
            return;
        }
        open.add(requestId);
        deliver(ClaimRequested.of(requestId, key, fingerprint, clock() + timeoutMillis));
    }

    private void whenAwake(Runnable action) {
        if (dead) {
            return;
        }
        if (pausedUntil > time.now()) {
            time.at(pausedUntil, () -> whenAwake(action));
            return;
        }
        action.run();
    }

    private void act(ClaimAction action) {
        if (action instanceof StoreCall call) {
            simulation.network().call(call, this::deliver);
        } else if (action instanceof Dispatch dispatch) {
            time.after(random.nextInt(SEND_DELAY_MILLIS), () -> whenAwake(() -> send(dispatch)));
        } else if (action instanceof Replay replay) {
            conclude(replay.requestId(), VerdictKind.ANSWERED, "replayed");
        } else if (action instanceof Conclude conclude) {
            conclude(
                    conclude.requestId(),
                    conclude.verdict().kind(),
                    conclude.verdict().reasonCode());
        } else if (action instanceof SetTimer timer) {
            timerAt = timer.atMillis();
            time.at(timer.atMillis() - skewMillis, () -> fire(timer.atMillis()));
        } else if (action instanceof HandOverReady ready) {
            simulation.handOver(this, ready.handOver());
        }
    }

    private void fire(long at) {
        if (timerAt == at) {
            timerAt = Long.MAX_VALUE;
            deliver(TimerFired.of());
        }
    }

    private void conclude(String requestId, VerdictKind kind, String reason) {
        open.remove(requestId);
        log.conclude(requestId, kind, reason);
    }

    private void send(Dispatch dispatch) {
        if (clock() >= dispatch.sendBeforeMillis() || random.nextInt(12) == 0) {
            conclude(dispatch.requestId(), VerdictKind.NOT_RUN, "never sent");
            deliver(DispatchAbandoned.of(dispatch.key()));
            return;
        }
        log.run(dispatch.requestId(), dispatch.key());
        boolean answered = random.nextInt(8) != 0;
        time.after(1 + random.nextInt(RUN_MILLIS), () -> whenAwake(() -> finish(dispatch, answered)));
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
