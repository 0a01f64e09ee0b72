package org.trefoilpost.entry.fleet;

import org.trefoilpost.decision.plan.PlanDigest;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;

/**
 * The keys of the fleet's documents in the key-value service.
 */
final class FleetKeys {
    /** The prefix that every entry watches. */
    static final String FLEET_PREFIX = "trefoilpost/fleet/";

    /** The prefix of the racks' inventories. */
    static final String INVENTORY_PREFIX = FLEET_PREFIX + "inventory/";

    /** The prefix of the pools' ledgers. */
    static final String LEDGER_PREFIX = FLEET_PREFIX + "ledger/";

    /** The prefix of the confirmed plans. */
    static final String PLAN_PREFIX = FLEET_PREFIX + "plans/";

    /** The key of the index of confirmed plans. */
    static final String PLAN_INDEX = FLEET_PREFIX + "plan-index";

    /** The prefix of the proposed plans, which nobody watches. */
    static final String PROPOSAL_PREFIX = "trefoilpost/proposals/";

    /** The prefix of the event log's segments. */
    static final String EVENT_SEGMENT_PREFIX = "trefoilpost/events/";

    private FleetKeys() {}

    static String inventory(RackName rack) {
        return INVENTORY_PREFIX + rack;
    }

    static String ledger(PoolName pool) {
        return LEDGER_PREFIX + pool;
    }

    static String plan(PlanDigest plan) {
        return PLAN_PREFIX + plan.text();
    }

    static String proposal(PlanDigest plan) {
        return PROPOSAL_PREFIX + plan.text();
    }

    static String eventSegment(int slot) {
        return EVENT_SEGMENT_PREFIX + slot;
    }
}
