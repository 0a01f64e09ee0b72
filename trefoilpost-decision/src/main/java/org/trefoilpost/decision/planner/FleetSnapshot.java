package org.trefoilpost.decision.planner;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.decision.inventory.InventoryView;
import org.trefoilpost.decision.inventory.PoolView;
import org.trefoilpost.decision.ledger.BudgetFigures;
import org.trefoilpost.decision.ledger.BudgetLedger;
import org.trefoilpost.decision.plan.PlanVersions;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.capacity.PlanMeasureWeights;

/**
 * The state of the fleet that a plan is computed from: inventory, budgets, ledgers, weights, estimates and versions.
 */
public final class FleetSnapshot {
    private static final AvailabilityBudget NO_BUDGET = AvailabilityBudget.of(0, FailureDomain.NONE);

    private final InventoryView inventory;
    private final Map<PoolName, AvailabilityBudget> budgets;
    private final Map<PoolName, BudgetLedger> ledgers;
    private final PlanMeasureWeights weights;
    private final WaveEstimates estimates;
    private final long configurationVersion;
    private final long indexVersion;

    private FleetSnapshot(Builder builder) {
        this.inventory = Objects.requireNonNull(builder.inventory, "inventory");
        this.budgets = Map.copyOf(builder.budgets);
        this.ledgers = Map.copyOf(builder.ledgers);
        this.weights = Objects.requireNonNull(builder.weights, "weights");
        this.estimates = Objects.requireNonNull(builder.estimates, "estimates");
        this.configurationVersion = builder.configurationVersion;
        this.indexVersion = builder.indexVersion;
    }

    /**
     * Returns a builder of a snapshot without planned stops.
     *
     * @param inventory  the pools and their members, not null
     * @param budgets  the budget of each pool, not null
     * @return the builder, not null
     */
    public static Builder builder(InventoryView inventory, Map<PoolName, AvailabilityBudget> budgets) {
        return new Builder(inventory, budgets);
    }

    /**
     * Returns the pools and their members.
     *
     * @return the inventory, not null
     */
    public InventoryView inventory() {
        return inventory;
    }

    /**
     * Returns the budget of a pool.
     *
     * @param pool  the pool, not null
     * @return the budget, not null, with floor 0 and no reserve if the configuration has none for the pool
     */
    public AvailabilityBudget budget(PoolName pool) {
        return budgets.getOrDefault(pool, NO_BUDGET);
    }

    /**
     * Returns the pools that have a budget.
     *
     * @return the pools, unmodifiable, not null
     */
    public Set<PoolName> budgetedPools() {
        return budgets.keySet();
    }

    /**
     * Returns the ledger of a pool.
     *
     * @param pool  the pool, not null
     * @return the ledger, not null, empty if there is none
     */
    public BudgetLedger ledger(PoolName pool) {
        BudgetLedger ledger = ledgers.get(pool);
        return ledger != null ? ledger : BudgetLedger.empty(pool);
    }

    /**
     * Returns the weights of the measures.
     *
     * @return the weights, not null
     */
    public PlanMeasureWeights weights() {
        return weights;
    }

    /**
     * Returns how long workers are expected to be out of service.
     *
     * @return the estimates, not null
     */
    public WaveEstimates estimates() {
        return estimates;
    }

    /**
     * Returns the current budget figures of a pool.
     *
     * @param pool  the pool, not null
     * @return the figures, not null
     */
    public BudgetFigures figures(PoolName pool) {
        return ledger(pool).figures(inventory.pool(pool), budget(pool));
    }

    /**
     * Returns the versions of the documents that a plan for some pools is computed from.
     *
     * @param pools  the pools that the plan touches, not null
     * @return the versions, not null
     */
    public PlanVersions versions(Set<PoolName> pools) {
        Map<RackName, Long> racks = new TreeMap<>();
        Map<PoolName, Long> versions = new TreeMap<>();
        for (PoolName pool : pools) {
            PoolView view = inventory.pool(pool);
            view.members().forEach(member -> racks.put(member.rack(), view.rackVersion(member.rack())));
            versions.put(pool, ledger(pool).version());
        }
        return PlanVersions.of(configurationVersion, indexVersion, racks, versions);
    }

    /**
     * Returns the versions and the weights.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return "configuration " + configurationVersion + ", index " + indexVersion + ", " + weights;
    }

    /**
     * Builds snapshots.
     */
    public static final class Builder {
        private final InventoryView inventory;
        private final Map<PoolName, AvailabilityBudget> budgets;
        private Map<PoolName, BudgetLedger> ledgers = Map.of();
        private PlanMeasureWeights weights = PlanMeasureWeights.of(1, 1, 1);
        private WaveEstimates estimates = WaveEstimates.DEFAULT;
        private long configurationVersion;
        private long indexVersion;

        private Builder(InventoryView inventory, Map<PoolName, AvailabilityBudget> budgets) {
            this.inventory = inventory;
            this.budgets = budgets;
        }

        /**
         * Sets the ledgers.
         *
         * @param newLedgers  the ledger of each pool that has one, not null
         * @return this builder, not null
         */
        public Builder ledgers(Map<PoolName, BudgetLedger> newLedgers) {
            this.ledgers = newLedgers;
            return this;
        }

        /**
         * Sets the weights of the measures.
         *
         * @param newWeights  the weights, not null
         * @return this builder, not null
         */
        public Builder weights(PlanMeasureWeights newWeights) {
            this.weights = newWeights;
            return this;
        }

        /**
         * Sets how long workers are expected to be out of service.
         *
         * @param newEstimates  the estimates, not null
         * @return this builder, not null
         */
        public Builder estimates(WaveEstimates newEstimates) {
            this.estimates = newEstimates;
            return this;
        }

        /**
         * Sets the versions of the configuration and of the index of confirmed plans.
         *
         * @param configuration  the version of the configuration
         * @param index  the version of the index
         * @return this builder, not null
         */
        public Builder versions(long configuration, long index) {
            this.configurationVersion = configuration;
            this.indexVersion = index;
            return this;
        }

        /**
         * Builds the snapshot.
         *
         * @return the snapshot, not null
         */
        public FleetSnapshot build() {
            return new FleetSnapshot(this);
        }
    }
}
