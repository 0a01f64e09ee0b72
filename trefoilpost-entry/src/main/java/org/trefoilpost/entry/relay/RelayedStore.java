package org.trefoilpost.entry.relay;

import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.WatchTimes;
import org.trefoilpost.decision.store.StorePath;
import org.trefoilpost.entry.job.StoreFailure;
import org.trefoilpost.entry.job.StorePort;
import org.trefoilpost.entry.runtime.AsyncCalls;
import org.trefoilpost.entry.runtime.MillisClock;

/**
 * The store, reached through other entries while it refuses this entry or does not answer it, and directly otherwise. A
 * call that no other entry has carried out is sent directly.
 *
 * <p>No call is repeated whose outcome is not known. The calls are made on the service's thread; their answers may arrive
 * on any thread.
 */
public final class RelayedStore implements StorePort {
    private final StorePort direct;
    private final MillisClock clock;
    private final String probedKey;
    /** Guarded by itself, as answers arrive on several threads. */
    private final StorePath path;

    private volatile StoreRelay relay = StoreRelay.NONE;
    private volatile Consumer<Decision> log = decision -> {};

    /**
     * Constructs a store that is reached directly until a relay is attached.
     *
     * @param direct  the store as this entry reaches it, not null
     * @param clock  the steady clock, not null
     * @param self  the name of this entry, not null
     * @param probedKey  the key that is read to find out whether the store serves this entry again, not null
     */
    public RelayedStore(StorePort direct, MillisClock clock, String self, String probedKey) {
        this.direct = direct;
        this.clock = clock;
        this.probedKey = probedKey;
        this.path = new StorePath(self);
    }

    /**
     * Sends calls through other entries from now on while the store does not serve this one.
     *
     * @param attached  passes calls on, not null
     * @param decisionLog  receives each change of the path, on any thread, not null
     */
    public void attach(StoreRelay attached, Consumer<Decision> decisionLog) {
        log = decisionLog;
        relay = attached;
    }

    @Override
    public CompletableFuture<Optional<Item>> read(String key) {
        return send(new StoreCall.Read(key));
    }

    @Override
    public CompletableFuture<Page> range(String prefix, String after) {
        return send(new StoreCall.Range(prefix, after));
    }

    @Override
    public CompletableFuture<Changes> watch(String prefix, long afterRevision, WatchTimes times) {
        return send(new StoreCall.Watch(prefix, afterRevision, times));
    }

    @Override
    public CompletableFuture<Long> commit(Change change) {
        return send(new StoreCall.Commit(change));
    }

    @Override
    public CompletableFuture<Long> grantLease(long timeToLiveMillis) {
        return send(new StoreCall.GrantLease(timeToLiveMillis));
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return send(new StoreCall.RenewLease(lease));
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        return send(new StoreCall.EndLease(lease));
    }

    @Override
    public void renewConnections() {
        direct.renewConnections();
    }

    /**
     * Returns whether the store can be reached, directly or through another entry.
     *
     * @return true if calls are expected to be answered
     */
    public boolean isServed() {
        synchronized (path) {
            return path.isServed(clock.nowMillis());
        }
    }

    /**
     * Carries out a call for another entry, unless the store does not serve this entry either.
     *
     * @param bytes  the encoded call, not null
     * @param reply  receives the encoded reply on any thread, empty if the call was not carried out and never will be, not
     *     null
     */
    public void answer(byte[] bytes, Consumer<Optional<byte[]>> reply) {
        Optional<StoreCall<?>> call = StoreCallCodec.decode(bytes);
        if (call.isEmpty() || !isDirect()) {
            reply.accept(Optional.empty());
        } else {
            answer(call.get(), reply);
        }
    }

    private <T> void answer(StoreCall<T> call, Consumer<Optional<byte[]>> reply) {
        sendDirectly(call).whenComplete((result, failure) -> {
            if (failure == null) {
                reply.accept(Optional.of(StoreCallCodec.encodeResult(call, result)));
                return;
            }
            StoreFailure storeFailure = toStoreFailure(failure);
            reply.accept(
                    storeFailure.kind() == StoreFailure.Kind.REFUSED
                            ? Optional.empty()
                            : Optional.of(StoreCallCodec.encodeFailure(storeFailure)));
        });
    }

    private <T> CompletableFuture<T> send(StoreCall<T> call) {
        checkSilence();
        if (isDirect()) {
            return sendDirectly(call);
        }
        probeIfDue();
        Collection<String> connected = relay.connectedPeers();
        List<String> peers;
        synchronized (path) {
            peers = List.copyOf(path.peersForCall(connected, clock.nowMillis()));
        }
        if (peers.isEmpty()) {
            return sendDirectly(call);
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        sendThrough(peers.iterator(), call, StoreCallCodec.encode(call), result);
        return result;
    }

    /**
     * Asks the next entry to carry out a call, and sends the call directly if none is left.
     */
    private <T> void sendThrough(
            Iterator<String> peers, StoreCall<T> call, byte[] encoded, CompletableFuture<T> result) {
        if (!peers.hasNext()) {
            sendDirectly(call).whenComplete((value, failure) -> complete(result, value, failure));
            return;
        }
        String peer = peers.next();
        AsyncCalls.start(() -> relay.send(peer, encoded, call.timeoutMillis())).whenComplete((reply, failure) -> {
            if (failure != null) {
                notPassedOn(peer);
                String message = "no answer of entry " + peer + ": " + failure.getMessage();
                result.completeExceptionally(new StoreFailure(StoreFailure.Kind.UNKNOWN, message, List.of()));
            } else if (reply.isEmpty()) {
                notPassedOn(peer);
                sendThrough(peers, call, encoded, result);
            } else {
                replied(peer, call, reply.get(), result);
            }
        });
    }

    private <T> void replied(String peer, StoreCall<T> call, byte[] reply, CompletableFuture<T> result) {
        try {
            T value = StoreCallCodec.decodeReply(call, reply);
            passedOn(peer);
            result.complete(value);
        } catch (StoreFailure failure) {
            if (failure.kind() == StoreFailure.Kind.UNKNOWN) {
                notPassedOn(peer);
            } else {
                passedOn(peer);
            }
            result.completeExceptionally(failure);
        }
    }

    private void passedOn(String peer) {
        synchronized (path) {
            path.passedOn(peer, clock.nowMillis());
        }
    }

    private void notPassedOn(String peer) {
        synchronized (path) {
            path.notPassedOn(peer, clock.nowMillis());
        }
    }

    private boolean isDirect() {
        synchronized (path) {
            return path.isDirect();
        }
    }

    private void probeIfDue() {
        boolean due;
        synchronized (path) {
            due = path.takeProbe(clock.nowMillis());
        }
        if (due) {
            sendDirectly(new StoreCall.Read(probedKey));
        }
    }

    private void checkSilence() {
        boolean lost;
        synchronized (path) {
            lost = path.checkSilence(clock.nowMillis());
        }
        if (lost) {
            logRelayed("no answer");
        }
    }

    private <T> CompletableFuture<T> sendDirectly(StoreCall<T> call) {
        if (call.isAnsweredAtOnce()) {
            synchronized (path) {
                path.sent(clock.nowMillis());
            }
        }
        return AsyncCalls.start(() -> call.sendTo(direct)).whenComplete((value, failure) -> {
            if (failure == null || isAnswer(toStoreFailure(failure).kind())) {
                answered();
            } else {
                failed(failure);
            }
        });
    }

    private static boolean isAnswer(StoreFailure.Kind kind) {
        return kind != StoreFailure.Kind.REFUSED && kind != StoreFailure.Kind.UNKNOWN;
    }

    private void answered() {
        boolean returned;
        synchronized (path) {
            returned = path.answered();
        }
        if (returned) {
            log.accept(Decision.of("store-path-changed").with("path", "direct"));
        }
    }

    private void failed(Throwable failure) {
        boolean lost;
        synchronized (path) {
            lost = path.failed(clock.nowMillis());
        }
        if (lost) {
            logRelayed(String.valueOf(toStoreFailure(failure).getMessage()));
        }
    }

    private void logRelayed(String failure) {
        log.accept(
                Decision.failure("store-path-changed").with("path", "relayed").with("failure", failure));
    }

    private static StoreFailure toStoreFailure(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof StoreFailure storeFailure
                ? storeFailure
                : new StoreFailure(StoreFailure.Kind.UNKNOWN, String.valueOf(cause), List.of());
    }

    private static <T> void complete(CompletableFuture<T> result, T value, Throwable failure) {
        if (failure == null) {
            result.complete(value);
        } else {
            result.completeExceptionally(toStoreFailure(failure));
        }
    }
}
