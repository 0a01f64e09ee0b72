package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.fleet.FleetPlanner;

/**
 * Reads the stored progress of all waves, page by page, into a plan.
 */
final class WaveStateReader {
    private static final long RETRY_DELAY_MILLIS = 150;

    private final JobContext context;
    private final String keyPrefix;
    private final FleetPlanner plan;
    private final BooleanSupplier needed;
    private final Runnable done;

    /**
     * Constructs a reader.
     *
     * @param keyPrefix  the prefix of the keys, which the number of the wave follows
     * @param needed  tells whether the plan is still in use; the read ends without its task when it is not
     * @param done  the task to run once all progress has been loaded
     */
    WaveStateReader(JobContext context, String keyPrefix, FleetPlanner plan, BooleanSupplier needed, Runnable done) {
        this.context = context;
        this.keyPrefix = keyPrefix;
        this.plan = plan;
        this.needed = needed;
        this.done = done;
    }

    void start() {
        readPage("");
    }

    /**
     * Reads a page and those after it.
     *
     * @param after  the key after which the page begins, empty for the first page
     */
    private void readPage(String after) {
        if (!needed.getAsBoolean()) {
            return;
        }
        context.call(() -> context.store().range(keyPrefix, after), (page, failure) -> {
            if (!needed.getAsBoolean()) {
                return;
            }
            if (failure != null) {
                context.logDecision(Decision.failure("wave-state-not-read")
                        .with("after", after)
                        .with("failure", String.valueOf(failure.getMessage())));
                context.schedule(RETRY_DELAY_MILLIS, () -> readPage(after));
                return;
            }
            page.items().forEach(this::load);
            page.nextAfter().ifPresentOrElse(this::readPage, done);
        });
    }

    private void load(StorePort.Item item) {
        try {
            plan.load(
                    Long.parseLong(item.key().substring(keyPrefix.length())),
                    new String(item.value(), StandardCharsets.UTF_8),
                    item.revision());
        } catch (IllegalArgumentException e) {
            context.logDecision(Decision.failure("wave-state-unreadable")
                    .with("key", item.key())
                    .with("bytes", item.value().length)
                    .with("failure", String.valueOf(e.getMessage())));
        }
    }
}
