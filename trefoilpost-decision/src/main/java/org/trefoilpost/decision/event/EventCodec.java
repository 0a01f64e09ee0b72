package org.trefoilpost.decision.event;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.JsonFields;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * Writes and reads events and segments of the event log as JSON.
 */
public final class EventCodec {
    private EventCodec() {}

    /**
     * Writes an event.
     *
     * @param event  the event, not null
     * @return the JSON object, not null
     */
    public static ObjectNode toJson(FleetEvent event) {
        ObjectNode node = JsonFields.newObject()
                .put("kind", event.kind().code())
                .put("at", event.atMillis())
                .put("cause", event.cause());
        if (!event.figures().isEmpty()) {
            node.put("figures", event.figures());
        }
        event.plan().ifPresent(plan -> node.put("plan", plan.text()));
        event.pool().ifPresent(pool -> node.put("pool", pool.text()));
        event.worker().ifPresent(worker -> node.put("worker", worker.text()));
        return node;
    }

    /**
     * Writes a segment.
     *
     * @param segment  the segment, not null
     * @return the document, not null
     */
    public static byte[] encode(EventSegment segment) {
        ObjectNode document = JsonFields.newDocument(EventSegment.FORMAT).put("number", segment.number());
        ArrayNode events = document.putArray("events");
        segment.events().forEach(event -> events.add(toJson(event)));
        return JsonFields.write(document);
    }

    /**
     * Reads a segment.
     *
     * @param bytes  the document, not null
     * @return the segment, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static EventSegment decode(byte[] bytes) {
        JsonFields fields = JsonFields.parse("event segment", bytes, EventSegment.FORMAT);
        List<FleetEvent> events = new ArrayList<>();
        fields.children("events").forEach(event -> events.add(readEvent(event)));
        return EventSegment.of(fields.number("number"), events);
    }

    private static FleetEvent readEvent(JsonFields fields) {
        FleetEventKind kind =
                FleetEventKind.ofCode(fields.text("kind")).orElseThrow(() -> fields.damaged("kind", "is not known"));
        FleetEvent.Builder builder = FleetEvent.builder(kind, fields.number("at"), fields.text("cause"));
        fields.optionalValue("figures", text -> text).ifPresent(builder::figures);
        fields.optionalValue("plan", PlanDigest::parse).ifPresent(builder::plan);
        fields.optionalValue("pool", PoolName::of).ifPresent(builder::pool);
        fields.optionalValue("worker", WorkerId::of).ifPresent(builder::worker);
        return builder.build();
    }
}
