package org.trefoilpost.decision.configuration;

import java.util.OptionalLong;
import java.util.Set;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.capacity.AvailabilityBudget;
import org.trefoilpost.model.capacity.FailureDomain;
import org.trefoilpost.model.configuration.Configuration;
import org.trefoilpost.model.configuration.PoolSettings;

/**
 * Test configurations and change requests.
 */
final class Configurations {
    private Configurations() {}

    /** Returns a configuration of the given number of pools, all with the same floor. */
    static Configuration pools(int count, int floor) {
        Configuration.Builder builder = Configuration.builder();
        for (int index = 0; index < count; index++) {
            builder.pool(pool(index, floor));
        }
        return builder.build();
    }

    static PoolSettings pool(int index, int floor) {
        return PoolSettings.builder(PoolName.of("pool-" + index))
                .budget(AvailabilityBudget.of(floor, FailureDomain.RACK))
                .initialRacks(Set.of(RackName.of("rack-" + index + "a"), RackName.of("rack-" + index + "b")))
                .build();
    }

    static ConfigurationEvent change(String id, Configuration configuration) {
        return ConfigurationEvent.ChangeRequested.of(ChangeId.of(id), configuration, OptionalLong.empty());
    }

    static ConfigurationEvent change(String id, Configuration configuration, long expected) {
        return ConfigurationEvent.ChangeRequested.of(ChangeId.of(id), configuration, OptionalLong.of(expected));
    }
}
