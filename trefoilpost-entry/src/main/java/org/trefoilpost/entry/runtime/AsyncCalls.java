package org.trefoilpost.entry.runtime;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Makes calls whose outcome is a future.
 */
public final class AsyncCalls {
    private AsyncCalls() {}

    /**
     * Makes a call. One that fails before it returns counts as a call that fails, so that the caller handles both alike.
     *
     * @param <T>  the type of the outcome
     * @param call  the call, not null
     * @return the outcome, not null
     */
    public static <T> CompletableFuture<T> start(Supplier<CompletableFuture<T>> call) {
        try {
            return call.get();
        } catch (RuntimeException | StackOverflowError e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
