package org.trefoilpost.decision.dispatch;

import java.util.random.RandomGenerator;
import org.trefoilpost.decision.admission.AdmissionQueue;
import org.trefoilpost.decision.retry.RetryBudget;
import org.trefoilpost.decision.retry.RetryPolicy;
import org.trefoilpost.decision.routing.PoolRouter;
import org.trefoilpost.model.DataCentreName;

/**
 * Builder of pool dispatchers.
 */
public final class PoolDispatcherBuilder {
    DataCentreName ownDataCentre;
    PoolRouter router;
    AdmissionQueue admission;
    RetryPolicy retryPolicy = RetryPolicy.defaults();
    RetryBudget retryBudget = RetryBudget.ofDefaults();
    RandomGenerator random;

    PoolDispatcherBuilder() {}

    /**
     * Sets the data centre of the entry.
     *
     * @param dataCentre  the data centre, not null
     * @return this builder, not null
     */
    public PoolDispatcherBuilder ownDataCentre(DataCentreName dataCentre) {
        this.ownDataCentre = dataCentre;
        return this;
    }

    /**
     * Sets the router.
     *
     * @param newRouter  the router of the pool, not null
     * @return this builder, not null
     */
    public PoolDispatcherBuilder router(PoolRouter newRouter) {
        this.router = newRouter;
        return this;
    }

    /**
     * Sets the admission queue.
     *
     * @param newAdmission  the queue of the pool, not null
     * @return this builder, not null
     */
    public PoolDispatcherBuilder admission(AdmissionQueue newAdmission) {
        this.admission = newAdmission;
        return this;
    }

    /**
     * Sets the retry budget.
     *
     * @param newBudget  the budget of the pool, not null
     * @return this builder, not null
     */
    public PoolDispatcherBuilder retryBudget(RetryBudget newBudget) {
        this.retryBudget = newBudget;
        return this;
    }

    /**
     * Sets the source of random numbers.
     *
     * @param newRandom  the source, not null
     * @return this builder, not null
     */
    public PoolDispatcherBuilder random(RandomGenerator newRandom) {
        this.random = newRandom;
        return this;
    }

    /**
     * Builds the dispatcher.
     *
     * @return the dispatcher, not null
     * @throws NullPointerException if the data centre, router, queue or source of random numbers is missing
     */
    public PoolDispatcher build() {
        return new PoolDispatcher(this);
    }
}
