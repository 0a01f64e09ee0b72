package org.trefoilpost.entry.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.event.EventCodec;
import org.trefoilpost.decision.event.EventSegment;
import org.trefoilpost.decision.event.EventSegmentRing;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.platform.StoredValue;

/**
 * Appends events to the log that the key-value service keeps within a bounded size, one write at a time.
 *
 * <p>An event that cannot be written waits, and is dropped from the front when too many wait; the JSON log has it still.
 */
final class EventRecorder {
    private static final int MAX_QUEUED_EVENTS = 1_000;
    private static final int MAX_WRITE_ATTEMPTS = 5;

    private final org.trefoilpost.entry.log.EventLog eventLog =
            org.trefoilpost.entry.log.EventLog.of(EventRecorder.class);
    private final KeyValueStore store;
    private final EventSegmentRing segmentRing = EventSegmentRing.DEFAULT;
    private final Deque<FleetEvent> queue = new ArrayDeque<>();
    private boolean writeInFlight;

    EventRecorder(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Records events; called from any thread.
     *
     * @param events  the events, not null
     */
    void record(List<FleetEvent> events) {
        synchronized (this) {
            for (FleetEvent event : events) {
                eventLog.info(toLogEvent(event));
                queue.add(event);
            }
            while (queue.size() > MAX_QUEUED_EVENTS) {
                queue.remove();
            }
        }
        writeNext();
    }

    private void writeNext() {
        List<FleetEvent> batch;
        synchronized (this) {
            if (writeInFlight || queue.isEmpty()) {
                return;
            }
            writeInFlight = true;
            batch = new ArrayList<>(queue);
            queue.clear();
        }
        write(batch, MAX_WRITE_ATTEMPTS).whenComplete((done, failure) -> {
            synchronized (this) {
                writeInFlight = false;
            }
            writeNext();
        });
    }

    private CompletableFuture<Void> write(List<FleetEvent> batch, int attempts) {
        if (attempts == 0) {
            return CompletableFuture.completedFuture(null);
        }
        return newestSegment().thenCompose(found -> {
            EventSegment segment = found.map(Versioned::document).orElse(EventSegment.of(0, List.of()));
            EventSegment next = segment;
            for (FleetEvent event : batch) {
                next = segmentRing.append(next, event);
            }
            long number = next.number();
            long revision =
                    number == segment.number() ? found.map(Versioned::revision).orElse(0L) : -1;
            return writeSegment(next, revision)
                    .thenCompose(written ->
                            written ? CompletableFuture.<Void>completedFuture(null) : write(batch, attempts - 1));
        });
    }

    private CompletableFuture<Boolean> writeSegment(EventSegment segment, long revision) {
        String key = FleetKeys.eventSegment(segmentRing.slot(segment));
        CompletableFuture<Long> expected = revision >= 0
                ? CompletableFuture.completedFuture(revision)
                : store.read(key)
                        .thenApply(value -> value.map(StoredValue::revision).orElse(0L));
        return expected.thenCompose(present -> store.write(key, present, EventCodec.encode(segment), Optional.empty()))
                .thenApply(outcome -> outcome.isWritten());
    }

    private CompletableFuture<Optional<Versioned<EventSegment>>> newestSegment() {
        return store.list(FleetKeys.EVENT_SEGMENT_PREFIX).thenApply(values -> {
            Versioned<EventSegment> newest = null;
            for (StoredValue value : values) {
                EventSegment segment = EventCodec.decode(value.bytes());
                if (newest == null || segment.number() > newest.document().number()) {
                    newest = Versioned.of(segment, value.revision());
                }
            }
            return Optional.ofNullable(newest);
        });
    }

    private static LogEvent toLogEvent(FleetEvent event) {
        LogEvent line = LogEvent.of("fleet-" + event.kind().code())
                .with("cause", event.cause())
                .with("figures", event.figures());
        if (event.plan().isPresent()) {
            line = line.with("plan", event.plan().get().text());
        }
        if (event.pool().isPresent()) {
            line = line.with("pool", event.pool().get());
        }
        return event.worker().isPresent() ? line.with("worker", event.worker().get()) : line;
    }
}
