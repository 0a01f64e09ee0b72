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
 * Writes fleet events to the JSON log and to a ring of event segments in the key-value store, one write at a time.
 *
 * <p>While a write is in flight, events are queued; when the queue is full, the oldest are dropped. A batch is also
 * dropped if its write fails, or loses to concurrent writes at every attempt. The JSON log has every event.
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
     * Records events. May be called from any thread.
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

    private CompletableFuture<Void> write(List<FleetEvent> batch, int attemptsLeft) {
        if (attemptsLeft == 0) {
            return CompletableFuture.completedFuture(null);
        }
        return newestSegment().thenCompose(newest -> {
            EventSegment segment = newest.map(Versioned::document).orElse(EventSegment.of(0, List.of()));
            EventSegment updated = segment;
            for (FleetEvent event : batch) {
                updated = segmentRing.append(updated, event);
            }
            long number = updated.number();
            long revision =
                    number == segment.number() ? newest.map(Versioned::revision).orElse(0L) : -1;
            return writeSegment(updated, revision)
                    .thenCompose(written ->
                            written ? CompletableFuture.<Void>completedFuture(null) : write(batch, attemptsLeft - 1));
        });
    }

    private CompletableFuture<Boolean> writeSegment(EventSegment segment, long revision) {
        String key = FleetKeys.eventSegment(segmentRing.slot(segment));
        CompletableFuture<Long> expected = revision >= 0
                ? CompletableFuture.completedFuture(revision)
                : store.read(key)
                        .thenApply(value -> value.map(StoredValue::revision).orElse(0L));
        return expected.thenCompose(expectedRevision ->
                        store.write(key, expectedRevision, EventCodec.encode(segment), Optional.empty()))
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
        LogEvent logEvent = LogEvent.of("fleet-" + event.kind().code())
                .with("cause", event.cause())
                .with("figures", event.figures());
        if (event.plan().isPresent()) {
            logEvent = logEvent.with("plan", event.plan().get().text());
        }
        if (event.pool().isPresent()) {
            logEvent = logEvent.with("pool", event.pool().get());
        }
        return event.worker().isPresent()
                ? logEvent.with("worker", event.worker().get())
                : logEvent;
    }
}
