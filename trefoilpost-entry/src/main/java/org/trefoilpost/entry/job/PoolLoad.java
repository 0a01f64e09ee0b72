package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Reads what an earlier owner has stored of a pool, and retries until the store answers or the load is cancelled.
 */
final class PoolLoad {
    private final String pool;
    private final JobContext context;
    private final Consumer<Map<String, byte[]>> page;
    private final Consumer<RuntimeException> unusable;
    private final BooleanSupplier cancelled;

    /**
     * Constructs a load that has not been started.
     *
     * @param page  receives some of the jobs' documents by job identifier, each of them once
     * @param unusable  receives the failure if an answer cannot be used, or a receiver has failed
     */
    PoolLoad(
            String pool,
            JobContext context,
            Consumer<Map<String, byte[]>> page,
            Consumer<RuntimeException> unusable,
            BooleanSupplier cancelled) {
        this.pool = pool;
        this.context = context;
        this.page = page;
        this.unusable = unusable;
        this.cancelled = cancelled;
    }

    /**
     * Reads the jobs, and then the queues, as only their stored form has the addresses that they have had, and the workers.
     *
     * @param loaded  receives the queues, and the workers as stored, empty if none were
     */
    void start(BiConsumer<StoredQueues, Optional<String>> loaded) {
        readPage("", loaded);
    }

    private void readPage(String after, BiConsumer<StoredQueues, Optional<String>> loaded) {
        String prefix = PoolStore.jobKey(pool, "");
        context.call(
                () -> context.store().range(prefix, after),
                (answer, failure) -> handle(failure, () -> readPage(after, loaded), () -> {
                    Map<String, byte[]> documents = new LinkedHashMap<>();
                    for (StorePort.Item item : answer.items()) {
                        documents.put(item.key().substring(prefix.length()), item.value());
                    }
                    page.accept(documents);
                    answer.nextAfter().ifPresentOrElse(next -> readPage(next, loaded), () -> readQueues(loaded));
                }));
    }

    private void readQueues(BiConsumer<StoredQueues, Optional<String>> loaded) {
        context.call(
                () -> context.store().read(LiveEntries.queuesKey(pool)),
                (item, failure) -> handle(
                        failure,
                        () -> readQueues(loaded),
                        () -> readWorkers(
                                item.map(found -> StoredQueues.decode(found.value()))
                                        .orElse(StoredQueues.NONE),
                                loaded)));
    }

    private void readWorkers(StoredQueues queues, BiConsumer<StoredQueues, Optional<String>> loaded) {
        context.call(
                () -> context.store().read(PoolStore.workersKey(pool)),
                (item, failure) -> handle(
                        failure,
                        () -> readWorkers(queues, loaded),
                        () -> loaded.accept(
                                queues, item.map(found -> new String(found.value(), StandardCharsets.UTF_8)))));
    }

    private void handle(Throwable failure, Runnable retry, Runnable answered) {
        if (cancelled.getAsBoolean()) {
            return;
        }
        if (failure != null) {
            context.schedule(PoolStore.RETRY_DELAY_MILLIS, retry);
            return;
        }
        try {
            answered.run();
        } catch (RuntimeException e) {
            unusable.accept(e);
        }
    }
}
