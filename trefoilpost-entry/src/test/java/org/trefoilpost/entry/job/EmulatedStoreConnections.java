package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.trefoilpost.decision.job.WatchTimes;

/**
 * A store in virtual time that is called over connections, each of which carries one call at a time and is reused, the
 * oldest first. Connections can go silent: a call on one gets no answer, and when it times out its connection and the idle
 * ones are closed.
 * Used on one thread.
 */
final class EmulatedStoreConnections implements StorePort {
    private static final long CALL_TIMEOUT_MILLIS = 1_200;

    private final MemoryStore store;
    private final LongSupplier nowMillis;
    private final List<Connection> idleConnections = new ArrayList<>();
    private final List<Connection> busyConnections = new ArrayList<>();
    private final List<PendingCall> pendingCalls = new ArrayList<>();
    private final List<Map.Entry<String, Optional<Item>>> history = new ArrayList<>();

    EmulatedStoreConnections(MemoryStore store, LongSupplier nowMillis) {
        this.store = store;
        this.nowMillis = nowMillis;
    }

    /**
     * Opens connections that are idle.
     */
    void openIdleConnections(int count) {
        for (int i = 0; i < count; i++) {
            idleConnections.add(new Connection());
        }
    }

    /**
     * Makes all open connections silent; new ones work.
     */
    void silenceOpenConnections() {
        idleConnections.forEach(connection -> connection.silent = true);
        busyConnections.forEach(connection -> connection.silent = true);
    }

    /**
     * Writes a key, as an operator does on a connection of its own.
     */
    void write(String key, String value) {
        store.put(key, value);
        history.add(Map.entry(key, store.read(key).join()));
    }

    /**
     * Answers the watches that have changes or whose wait has ended, and fails the calls that have timed out.
     */
    void tick() {
        for (PendingCall call : List.copyOf(pendingCalls)) {
            if (!call.connection.silent && call.answer.getAsBoolean()) {
                pendingCalls.remove(call);
                release(call.connection);
            } else if (nowMillis.getAsLong() >= call.timeoutMillis) {
                pendingCalls.remove(call);
                busyConnections.remove(call.connection);
                renewConnections();
                call.fail.run();
            }
        }
    }

    private Connection take() {
        Connection connection = idleConnections.isEmpty() ? new Connection() : idleConnections.remove(0);
        busyConnections.add(connection);
        return connection;
    }

    private void release(Connection connection) {
        busyConnections.remove(connection);
        idleConnections.add(connection);
    }

    private <T> CompletableFuture<T> call(Supplier<CompletableFuture<T>> operation) {
        Connection connection = take();
        if (connection.silent) {
            return unanswered(connection, nowMillis.getAsLong() + CALL_TIMEOUT_MILLIS);
        }
        release(connection);
        return operation.get();
    }

    private <T> CompletableFuture<T> unanswered(Connection connection, long timeoutMillis) {
        CompletableFuture<T> result = new CompletableFuture<>();
        pendingCalls.add(new PendingCall(connection, timeoutMillis, () -> false, () -> fail(result)));
        return result;
    }

    private static void fail(CompletableFuture<?> result) {
        result.completeExceptionally(new StoreFailure(StoreFailure.Kind.UNKNOWN, "timeout", List.of()));
    }

    @Override
    public CompletableFuture<Changes> watch(String prefix, long afterRevision, WatchTimes times) {
        Connection connection = take();
        CompletableFuture<Changes> result = new CompletableFuture<>();
        long endMillis = nowMillis.getAsLong() + times.waitMillis();
        pendingCalls.add(new PendingCall(
                connection,
                nowMillis.getAsLong() + times.timeoutMillis(),
                () -> answerWatch(prefix, afterRevision, endMillis, result),
                () -> fail(result)));
        return result;
    }

    private boolean answerWatch(String prefix, long afterRevision, long endMillis, CompletableFuture<Changes> result) {
        List<Map.Entry<String, Optional<Item>>> changes = new ArrayList<>();
        for (Map.Entry<String, Optional<Item>> change : history) {
            if (change.getKey().startsWith(prefix)
                    && change.getValue().map(Item::revision).orElse(0L) > afterRevision) {
                changes.add(change);
            }
        }
        if (changes.isEmpty() && nowMillis.getAsLong() < endMillis) {
            return false;
        }
        return result.complete(new Changes(changes, store.revision()));
    }

    @Override
    public CompletableFuture<Optional<Item>> read(String key) {
        return call(() -> store.read(key));
    }

    @Override
    public CompletableFuture<Page> range(String prefix, String after) {
        return call(() -> store.range(prefix, after));
    }

    @Override
    public CompletableFuture<Long> commit(Change change) {
        return call(() -> store.commit(change));
    }

    @Override
    public CompletableFuture<Long> grantLease(long timeToLiveMillis) {
        return call(() -> store.grantLease(timeToLiveMillis));
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return call(() -> store.renewLease(lease));
    }

    @Override
    public CompletableFuture<Void> endLease(long lease) {
        return call(() -> store.endLease(lease));
    }

    @Override
    public void renewConnections() {
        idleConnections.clear();
    }

    private static final class Connection {
        private boolean silent;
    }

    /**
     * A call without an answer so far.
     *
     * @param timeoutMillis  the time at which the caller gives the call up
     * @param answer  answers the call, and returns false if it is too early for that
     * @param fail  fails the call
     */
    private record PendingCall(Connection connection, long timeoutMillis, BooleanSupplier answer, Runnable fail) {}
}
