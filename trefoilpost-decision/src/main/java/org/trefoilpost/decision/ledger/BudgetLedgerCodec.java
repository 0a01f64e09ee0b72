package org.trefoilpost.decision.ledger;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.JsonFields;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.WorkerId;

/**
 * Writes and reads budget ledgers as JSON.
 */
public final class BudgetLedgerCodec {
    private BudgetLedgerCodec() {}

    /**
     * Writes a ledger.
     *
     * @param ledger  the ledger, not null
     * @return the document, not null
     */
    public static byte[] encode(BudgetLedger ledger) {
        ObjectNode document = JsonFields.newDocument(BudgetLedger.FORMAT)
                .put("pool", ledger.pool().text())
                .put("version", ledger.version());
        ArrayNode stops = document.putArray("stops");
        for (PlannedStop stop : ledger.stops()) {
            stops.addObject()
                    .put("worker", stop.worker().text())
                    .put("plan", stop.plan().text())
                    .put("step", stop.step())
                    .put("epoch", stop.attempt())
                    .put("since", stop.admittedMillis());
        }
        ArrayNode departures = document.putArray("departures");
        ledger.departureVersions()
                .forEach((rack, version) ->
                        departures.addObject().put("rack", rack.text()).put("version", version));
        return JsonFields.write(document);
    }

    /**
     * Reads a ledger.
     *
     * @param bytes  the document, not null
     * @return the ledger, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static BudgetLedger decode(byte[] bytes) {
        JsonFields fields = JsonFields.parse("ledger", bytes, BudgetLedger.FORMAT);
        List<PlannedStop> stops = new ArrayList<>();
        for (JsonFields stop : fields.children("stops")) {
            stops.add(PlannedStop.of(
                    stop.value("worker", WorkerId::of),
                    stop.value("plan", PlanDigest::parse),
                    stop.integer("step"),
                    stop.number("epoch"),
                    stop.number("since")));
        }
        SortedMap<RackName, Long> departures = new TreeMap<>();
        for (JsonFields departure : fields.children("departures")) {
            departures.put(departure.value("rack", RackName::of), departure.number("version"));
        }
        return BudgetLedger.decoded(fields.value("pool", PoolName::of), stops, departures, fields.number("version"));
    }
}
