package org.trefoilpost.decision.claim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.verdict.Verdict;

/** Drives a shard by hand: store calls wait until the test answers, loses or delays them. */
final class ShardHarness {
    static final long START_MILLIS = 1_700_000_000_000L;
    static final RequestFingerprint FINGERPRINT = RequestFingerprint.ofHash(1);

    private final FakeStore store;
    private final ClaimShard shard;
    private final Deque<StoreCall> calls = new ArrayDeque<>();
    private final List<ClaimAction> actions = new ArrayList<>();
    private long now = START_MILLIS;

    ShardHarness(FakeStore store, String entry, long incarnation, ClaimSettings settings) {
        this.store = store;
        shard = ClaimShard.of(0, EntryId.of(entry), incarnation, settings);
    }

    static ClaimSettings.Builder settings() {
        return ClaimSettings.builder().writesPerSecond(1_000).writeBurst(100);
    }

    static ClaimKey key(int number) {
        return ClaimKey.ofHash(number, number);
    }

    static ShardHarness owner(FakeStore store, String entry, long incarnation) {
        return new ShardHarness(store, entry, incarnation, settings().build()).takeOver();
    }

    ShardHarness takeOver() {
        return send(TakeOverRequested.of()).answerAll();
    }

    ClaimShard shard() {
        return shard;
    }

    long now() {
        return now;
    }

    ShardHarness send(ClaimEvent event) {
        for (ClaimAction action : shard.step(event, now)) {
            if (action instanceof StoreCall call) {
                calls.add(call);
            } else {
                actions.add(action);
            }
        }
        return this;
    }

    ShardHarness request(String requestId, int key, long timeoutMillis) {
        return send(ClaimRequested.of(requestId, key(key), FINGERPRINT, now + timeoutMillis));
    }

    /** Requests a key, lets the store answer, and reports an answer of the target. */
    ShardHarness runToAnswer(String requestId, int key) {
        return request(requestId, key, 1_000).answerAll().send(AnswerRecorded.of(key(key), () -> 100));
    }

    ShardHarness advance(long millis) {
        now += millis;
        return send(TimerFired.of());
    }

    /** Takes the only call under way. */
    StoreCall takeCall() {
        return calls.remove();
    }

    ShardHarness answerNext() {
        return send(store.apply(calls.remove()));
    }

    /** Loses the call under way, without effect, until the test applies it. */
    StoreCall loseCall() {
        StoreCall lost = calls.remove();
        send(StoreFailed.of(lost.callId()));
        return lost;
    }

    ShardHarness answerAll() {
        while (!calls.isEmpty()) {
            answerNext();
        }
        return this;
    }

    /** Lets the back-off pass and answers the calls. */
    ShardHarness retry() {
        return advance(1_000).answerAll();
    }

    <T extends ClaimAction> List<T> actionsOf(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    boolean dispatched(String requestId) {
        return actionsOf(Dispatch.class).stream()
                .anyMatch(action -> action.requestId().equals(requestId));
    }

    boolean replayed(String requestId) {
        return actionsOf(Replay.class).stream()
                .anyMatch(action -> action.requestId().equals(requestId));
    }

    String verdict(String requestId) {
        Optional<Verdict> verdict = actionsOf(Conclude.class).stream()
                .filter(action -> action.requestId().equals(requestId))
                .map(Conclude::verdict)
                .findFirst();
        return verdict.map(Verdict::toString).orElse("none");
    }
}
