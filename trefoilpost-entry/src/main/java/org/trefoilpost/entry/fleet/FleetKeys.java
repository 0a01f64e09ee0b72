package org.trefoilpost.entry.fleet;

import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;

/**
 * The keys of the fleet's documents in the key-value service.
 */
final class FleetKeys {
    /** The prefix that every entry watches. */
    static final String FLEET = "trefoilpost/fleet/";

    /** The prefix of the racks' inventories. */
    static final String INVENTORY = FLEET + "inventory/";

    /** The prefix of the pools' ledgers. */
    static final String LEDGER = FLEET + "ledger/";

    /** The prefix of the confirmed plans. */
    static final String PLANS = FLEET + "plans/";

    /** The key of the index of confirmed plans. */
    static final String INDEX = FLEET + "plan-index";

    /** The prefix of the proposed plans, which nobody watches. */
    static final String PROPOSALS = "trefoilpost/proposals/";

    /** The prefix of the event log's segments. */
    static final String EVENTS = "trefoilpost/events/";

    private FleetKeys() {}

    static String inventory(RackName rack) {
        return INVENTORY + rack;
    }

    static String ledger(PoolName pool) {
        return LEDGER + pool;
    }

    static String plan(PlanDigest plan) {
        return PLANS + plan.text();
    }

    static String proposal(PlanDigest plan) {
        return PROPOSALS + plan.text();
    }

    static String events(int slot) {
        return EVENTS + slot;
    }
}
