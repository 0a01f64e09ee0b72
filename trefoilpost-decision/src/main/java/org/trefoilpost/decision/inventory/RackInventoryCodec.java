package org.trefoilpost.decision.inventory;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;

/**
 * Writes and reads rack inventories as JSON.
 */
public final class RackInventoryCodec {
    private RackInventoryCodec() {}

    /**
     * Writes an inventory.
     *
     * @param inventory  the inventory, not null
     * @return the document, not null
     */
    public static byte[] encode(RackInventory inventory) {
        ObjectNode document = JsonFields.newDocument(RackInventory.FORMAT)
                .put("rack", inventory.rack().text())
                .put("dataCentre", inventory.dataCentre().text())
                .put("region", inventory.region().text())
                .put("version", inventory.version());
        ArrayNode workers = document.putArray("workers");
        for (Map.Entry<WorkerId, Assignment> entry : inventory.workers().entrySet()) {
            ObjectNode worker = workers.addObject().put("id", entry.getKey().text());
            entry.getValue().pool().ifPresent(pool -> worker.put("pool", pool.text()));
            entry.getValue().lender().ifPresent(lender -> worker.put("lender", lender.text()));
        }
        return JsonFields.write(document);
    }

    /**
     * Reads an inventory.
     *
     * @param bytes  the document, not null
     * @return the inventory, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static RackInventory decode(byte[] bytes) {
        JsonFields fields = JsonFields.parse("inventory", bytes, RackInventory.FORMAT);
        RackInventory place = RackInventory.empty(
                fields.value("rack", RackName::of),
                fields.value("dataCentre", DataCentreName::of),
                fields.value("region", RegionName::of));
        SortedMap<WorkerId, Assignment> workers = new TreeMap<>();
        for (JsonFields worker : fields.children("workers")) {
            WorkerId id = worker.value("id", WorkerId::of);
            if (workers.put(id, assignment(worker)) != null) {
                throw fields.damaged("workers", "names " + id + " twice");
            }
        }
        return RackInventory.restore(place, workers, fields.number("version"));
    }

    private static Assignment assignment(JsonFields worker) {
        Optional<PoolName> pool = worker.optionalValue("pool", PoolName::of);
        Optional<PoolName> lender = worker.optionalValue("lender", PoolName::of);
        if (pool.isEmpty()) {
            return Assignment.UNASSIGNED;
        }
        return lender.map(name -> Assignment.lent(pool.get(), name)).orElseGet(() -> Assignment.of(pool.get()));
    }
}
