package org.trefoilpost.decision.plan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.JsonFields;
import org.trefoilpost.model.PoolName;

/**
 * Writes and reads the index of confirmed plans as JSON.
 */
public final class PlanIndexCodec {
    private PlanIndexCodec() {}

    /**
     * Writes an index.
     *
     * @param index  the index, not null
     * @return the document, not null
     */
    public static byte[] encode(PlanIndex index) {
        ObjectNode document = JsonFields.newDocument(PlanIndex.FORMAT).put("version", index.version());
        ArrayNode plans = document.putArray("plans");
        for (ConfirmedPlan plan : index.plans()) {
            ObjectNode entry = plans.addObject()
                    .put("digest", plan.digest().text())
                    .put("operator", plan.operator())
                    .put("confirmed", plan.confirmedMillis())
                    .put("sequence", plan.indexVersion())
                    .put("ended", plan.ended());
            ArrayNode pools = entry.putArray("pools");
            plan.pools().forEach(pool -> pools.add(pool.text()));
        }
        return JsonFields.write(document);
    }

    /**
     * Reads an index.
     *
     * @param bytes  the document, not null
     * @return the index, not null
     * @throws DocumentException if the document is damaged or has a newer format
     */
    public static PlanIndex decode(byte[] bytes) {
        JsonFields fields = JsonFields.parse("plan index", bytes, PlanIndex.FORMAT);
        List<ConfirmedPlan> plans = new ArrayList<>();
        for (JsonFields entry : fields.children("plans")) {
            ConfirmedPlan plan = ConfirmedPlan.of(
                    entry.value("digest", PlanDigest::parse),
                    entry.text("operator"),
                    entry.number("confirmed"),
                    entry.number("sequence"),
                    pools(entry));
            plans.add(entry.required("ended").asBoolean() ? plan.asEnded() : plan);
        }
        return PlanIndex.of(plans, fields.number("version"));
    }

    private static Set<PoolName> pools(JsonFields entry) {
        Set<PoolName> pools = new TreeSet<>();
        for (JsonNode pool : entry.required("pools")) {
            try {
                pools.add(PoolName.of(pool.asText()));
            } catch (IllegalArgumentException e) {
                throw entry.damaged("pools", e.getMessage());
            }
        }
        return pools;
    }
}
