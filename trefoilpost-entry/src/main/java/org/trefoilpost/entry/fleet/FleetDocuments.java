package org.trefoilpost.entry.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.trefoilpost.decision.inventory.DocumentException;
import org.trefoilpost.decision.inventory.RackInventory;
import org.trefoilpost.decision.inventory.RackInventoryCodec;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.ledger.BudgetLedgerCodec;
import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.decision.plan.PlanIndex;
import org.trefoilpost.decision.plan.PlanIndexCodec;
import org.trefoilpost.decision.wave.WaveState;
import org.trefoilpost.decision.wave.WaveStateCodec;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.platform.StoredValue;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;

/**
 * The fleet's documents as this entry last read them. The duty's thread owns it.
 *
 * <p>A document that cannot be read is reported and left untouched; the rest goes on.
 */
final class FleetDocuments {
    private static final EventLog LOG = EventLog.of(FleetDocuments.class);

    private final Map<RackName, Versioned<RackInventory>> inventories = new TreeMap<>();
    private final Map<PoolName, Versioned<BudgetLedger>> ledgers = new TreeMap<>();
    private final Map<PlanDigest, Versioned<WaveState>> plans = new TreeMap<>();
    private final Map<String, Long> unreadableKeys = new HashMap<>();
    private long changeCount;
    private Versioned<PlanIndex> planIndex = Versioned.of(PlanIndex.empty(), 0);

    /**
     * Takes in a value as read.
     *
     * @param value  the value, not null
     */
    void put(StoredValue value) {
        changeCount++;
        String key = value.key();
        try {
            if (key.startsWith(FleetKeys.INVENTORY_PREFIX)) {
                RackInventory inventory = RackInventoryCodec.decode(value.bytes());
                inventories.put(inventory.rack(), Versioned.of(inventory, value.revision()));
            } else if (key.startsWith(FleetKeys.LEDGER_PREFIX)) {
                BudgetLedger ledger = BudgetLedgerCodec.decode(value.bytes());
                ledgers.put(ledger.pool(), Versioned.of(ledger, value.revision()));
            } else if (key.startsWith(FleetKeys.PLAN_PREFIX)) {
                WaveState state = WaveStateCodec.decode(value.bytes());
                plans.put(state.plan().digest(), Versioned.of(state, value.revision()));
            } else if (key.equals(FleetKeys.PLAN_INDEX)) {
                planIndex = Versioned.of(PlanIndexCodec.decode(value.bytes()), value.revision());
            }
            unreadableKeys.remove(key);
        } catch (DocumentException e) {
            logUnreadableOnce(value, e);
        }
    }

    /**
     * Takes in that a key no longer exists.
     *
     * @param key  the key, not null
     */
    void remove(String key) {
        changeCount++;
        inventories.keySet().removeIf(rack -> FleetKeys.inventory(rack).equals(key));
        ledgers.keySet().removeIf(pool -> FleetKeys.ledger(pool).equals(key));
        plans.keySet().removeIf(plan -> FleetKeys.plan(plan).equals(key));
        unreadableKeys.remove(key);
    }

    /**
     * Takes in a plan's state as this entry wrote it.
     *
     * @param plan  the state with its revision, not null
     */
    void put(Versioned<WaveState> plan) {
        changeCount++;
        plans.put(plan.document().plan().digest(), plan);
    }

    /**
     * Returns how often a document changed.
     *
     * @return the number, which grows with each change
     */
    long changeCount() {
        return changeCount;
    }

    /**
     * Returns the keys of the documents that could not be read.
     *
     * @return the keys, not null
     */
    Collection<String> unreadableKeys() {
        return unreadableKeys.keySet();
    }

    Map<RackName, Versioned<RackInventory>> inventories() {
        return inventories;
    }

    Map<PoolName, Versioned<BudgetLedger>> ledgers() {
        return ledgers;
    }

    Map<PlanDigest, Versioned<WaveState>> plans() {
        return plans;
    }

    Optional<Versioned<WaveState>> plan(String key) {
        return plans.values().stream()
                .filter(plan -> FleetKeys.plan(plan.document().plan().digest()).equals(key))
                .findFirst();
    }

    Versioned<PlanIndex> planIndex() {
        return planIndex;
    }

    Versioned<BudgetLedger> ledger(PoolName pool) {
        return ledgers.getOrDefault(pool, Versioned.of(BudgetLedger.empty(pool), 0));
    }

    Optional<Versioned<RackInventory>> inventory(RackName rack) {
        return Optional.ofNullable(inventories.get(rack));
    }

    /**
     * Returns the documents of a map without their revisions.
     *
     * @param <K>  the type of the keys
     * @param <T>  the type of the documents
     * @param versioned  the documents, not null
     * @return the documents, not null
     */
    static <K, T> Map<K, T> withoutRevisions(Map<K, Versioned<T>> versioned) {
        Map<K, T> plain = new TreeMap<>();
        versioned.forEach((key, value) -> plain.put(key, value.document()));
        return plain;
    }

    private void logUnreadableOnce(StoredValue value, DocumentException fault) {
        Long reported = unreadableKeys.put(value.key(), value.revision());
        if (reported == null || reported != value.revision()) {
            LOG.error(LogEvent.of("document-unreadable")
                    .with("key", value.key())
                    .with("fault", fault.fault())
                    .with("detail", fault.getMessage()));
        }
    }
}
