package org.trefoilpost.entry.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.trefoilpost.decision.event.EventCodec;
import org.trefoilpost.decision.event.EventSegment;
import org.trefoilpost.decision.event.FleetEvent;
import org.trefoilpost.decision.inventory.InventoryView;
import org.trefoilpost.decision.inventory.PoolMember;
import org.trefoilpost.decision.ledger.BudgetFigures;
import org.trefoilpost.decision.plan.ConfirmedPlan;
import org.trefoilpost.decision.plan.Plan;
import org.trefoilpost.decision.plan.PlanCodec;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.decision.wave.WaveStateCodec;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * What operators are shown of pools, plans and events, as JSON.
 */
public final class FleetReports {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final FleetService fleet;
    private final KeyValueStore store;

    private FleetReports(FleetService fleet, KeyValueStore store) {
        this.fleet = fleet;
        this.store = store;
    }

    /**
     * Obtains reports.
     *
     * @param fleet  the fleet's duty, not null
     * @param store  the key-value service, not null
     * @return the reports, not null
     */
    public static FleetReports of(FleetService fleet, KeyValueStore store) {
        return new FleetReports(fleet, store);
    }

    /**
     * Reports all pools without their workers.
     *
     * @return the report, not null
     */
    public CompletableFuture<ObjectNode> pools() {
        return fleet.query(state -> {
            ObjectNode report = MAPPER.createObjectNode();
            ArrayNode pools = report.putArray("pools");
            Set<PoolName> names = new TreeSet<>(state.configuration().pools().keySet());
            names.addAll(state.inventory().pools().keySet());
            names.forEach(name -> pools.add(pool(state, name)));
            return report;
        });
    }

    /**
     * Reports a pool with its workers.
     *
     * @param name  the pool, not null
     * @return the report, empty if there is no such pool, not null
     */
    public CompletableFuture<Optional<ObjectNode>> pool(PoolName name) {
        return fleet.cordonedWorkers()
                .thenCompose(cordoned -> fleet.query(state -> {
                    InventoryView inventory = state.inventory();
                    if (state.configuration().pool(name).isEmpty()
                            && !inventory.pools().containsKey(name)) {
                        return Optional.empty();
                    }
                    ObjectNode report = pool(state, name);
                    ArrayNode workers = report.putArray("workers");
                    for (PoolMember member : inventory.pool(name).members()) {
                        workers.add(worker(state, member, cordoned));
                    }
                    return Optional.of(report);
                }));
    }

    /**
     * Reports the confirmed plans, the newest first.
     *
     * @return the report, not null
     */
    public CompletableFuture<ObjectNode> plans() {
        return fleet.query(state -> {
            ObjectNode report = MAPPER.createObjectNode();
            ArrayNode plans = report.putArray("plans");
            List<ConfirmedPlan> confirmed =
                    new ArrayList<>(state.documents().planIndex().document().plans());
            confirmed.sort(Comparator.comparingLong(ConfirmedPlan::indexVersion).reversed());
            for (ConfirmedPlan plan : confirmed) {
                ObjectNode node = plans.addObject()
                        .put("digest", plan.digest().text())
                        .put("operator", plan.operator())
                        .put("confirmedMillis", plan.confirmedMillis());
                Versioned<WaveState> wave = state.documents().plans().get(plan.digest());
                node.put("state", wave == null ? "confirmed" : PlanReport.state(wave.document()));
                ArrayNode pools = node.putArray("pools");
                plan.pools().forEach(pool -> pools.add(pool.text()));
            }
            return report;
        });
    }

    /**
     * Reports a plan, proposed or confirmed, with the states of its steps.
     *
     * @param digest  the plan's digest, not null
     * @return the report, empty if no plan has the digest, not null
     */
    public CompletableFuture<Optional<ObjectNode>> plan(PlanDigest digest) {
        return store.read(FleetKeys.plan(digest)).thenCompose(value -> {
            if (value.isPresent()) {
                WaveState wave = WaveStateCodec.decode(value.get().bytes());
                return CompletableFuture.completedFuture(
                        Optional.of(PlanReport.confirmed(wave, value.get().revision())));
            }
            return store.read(FleetKeys.proposal(digest))
                    .thenApply(kept -> kept.map(found -> proposal(PlanCodec.decode(found.bytes()))));
        });
    }

    /**
     * Reports a plan that is not confirmed.
     *
     * @param plan  the plan, not null
     * @return the report, not null
     */
    public static ObjectNode proposal(Plan plan) {
        return PlanReport.proposed(plan);
    }

    /**
     * Explains a plan, proposed or confirmed.
     *
     * @param digest  the plan's digest, not null
     * @return the report, empty if no plan has the digest, not null
     */
    public CompletableFuture<Optional<ObjectNode>> explain(PlanDigest digest) {
        return store.read(FleetKeys.plan(digest))
                .thenCombine(eventSegments(), (value, segments) -> {
                    List<FleetEvent> events = segments.stream()
                            .flatMap(segment -> segment.events().stream())
                            .filter(event -> event.plan().equals(Optional.of(digest)))
                            .toList();
                    return value.map(found -> WaveStateCodec.decode(found.bytes()))
                            .map(wave -> PlanReport.explained(wave.plan(), Optional.of(wave), events));
                })
                .thenCompose(report -> report.isPresent()
                        ? CompletableFuture.completedFuture(report)
                        : store.read(FleetKeys.proposal(digest))
                                .thenApply(kept -> kept.map(found -> PlanReport.explained(
                                        PlanCodec.decode(found.bytes()), Optional.empty(), List.of()))));
    }

    /**
     * Reports the events of the log.
     *
     * @param pool  the pool whose events are wanted, empty for all, not null
     * @param sinceMillis  the time from which on, in milliseconds since 1970
     * @return the report, the oldest event first, not null
     */
    public CompletableFuture<ObjectNode> events(Optional<PoolName> pool, long sinceMillis) {
        return eventSegments().thenApply(segments -> {
            ObjectNode report = MAPPER.createObjectNode();
            ArrayNode events = report.putArray("events");
            for (EventSegment segment : segments) {
                for (FleetEvent event : segment.events()) {
                    boolean wanted = pool.isEmpty() || event.pool().equals(pool);
                    if (wanted && event.atMillis() >= sinceMillis) {
                        events.add(EventCodec.toJson(event));
                    }
                }
            }
            return report;
        });
    }

    private CompletableFuture<List<EventSegment>> eventSegments() {
        return store.list(FleetKeys.EVENT_SEGMENT_PREFIX).thenApply(values -> {
            List<EventSegment> segments = new ArrayList<>();
            values.forEach(value -> segments.add(EventCodec.decode(value.bytes())));
            segments.sort(Comparator.comparingLong(EventSegment::number));
            return segments;
        });
    }

    private static ObjectNode pool(FleetState state, PoolName name) {
        BudgetFigures figures = state.figures(name);
        return MAPPER.createObjectNode()
                .put("name", name.text())
                .put("floor", figures.floor())
                .put("reserve", state.budget(name).reserve().code())
                .put("members", figures.members())
                .put("usable", figures.members() - figures.failed())
                .put("planned", figures.plannedStops())
                .put("failed", figures.failed())
                .put("headroom", figures.headroom());
    }

    private static ObjectNode worker(FleetState state, PoolMember member, Set<WorkerId> cordoned) {
        String listed = state.worker(member.worker())
                .map(worker -> worker.state().code())
                .orElse("gone");
        boolean isCordoned = cordoned.contains(member.worker());
        String shown = isCordoned ? "cordoned" : member.usable() ? listed : "failed";
        return MAPPER.createObjectNode()
                .put("id", member.worker().text())
                .put("rack", member.rack().text())
                .put("dataCentre", member.dataCentre().text())
                .put("state", shown);
    }
}
