package org.trefoilpost.model.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.capacity.FailureDomain;

/**
 * Finds the contradictions between the fields of a configuration.
 */
final class ConfigurationChecks {
    private ConfigurationChecks() {}

    static List<ConfigurationFault> findFaults(Configuration configuration) {
        List<ConfigurationFault> faults = new ArrayList<>();
        Map<Object, PoolName> owners = new HashMap<>();
        for (PoolSettings pool : configuration.pools().values()) {
            checkListedByOnePool(pool, "initialRacks", pool.initialRacks(), owners, faults);
            checkListedByOnePool(pool, "initialWorkers", pool.initialWorkers(), owners, faults);
            checkFloor(pool, faults);
            checkLendingPools(pool, configuration, faults);
        }
        return faults;
    }

    private static void checkListedByOnePool(
            PoolSettings pool,
            String field,
            SortedSet<?> names,
            Map<Object, PoolName> owners,
            List<ConfigurationFault> faults) {
        for (Object name : names) {
            PoolName owner = owners.putIfAbsent(name, pool.name());
            if (owner != null) {
                faults.add(fault(pool, field, name.toString(), "one pool only, and pool " + owner + " lists it too"));
            }
        }
    }

    private static void checkFloor(PoolSettings pool, List<ConfigurationFault> faults) {
        int listed = pool.initialWorkers().size();
        boolean allListed = listed > 0 && pool.initialRacks().isEmpty();
        int reserved = pool.budget().reserve() == FailureDomain.NONE ? 0 : 1;
        int floor = pool.budget().floor();
        if (allListed && floor > listed - reserved) {
            String allowed =
                    "at most " + (listed - reserved) + ", as " + listed + " workers are listed and a failure of "
                            + pool.budget().reserve().code() + " takes at least " + reserved;
            faults.add(fault(pool, "budget.floor", Integer.toString(floor), allowed));
        }
    }

    private static void checkLendingPools(
            PoolSettings pool, Configuration configuration, List<ConfigurationFault> faults) {
        if (pool.standingConsent().isEmpty()) {
            return;
        }
        for (PoolName lender : pool.standingConsent().get().lendingPools()) {
            if (lender.equals(pool.name())) {
                faults.add(fault(pool, "standingConsent.lendingPools", lender.text(), "a pool can't lend to itself"));
            } else if (configuration.pool(lender).isEmpty()) {
                String allowed = "one of the pools " + configuration.pools().keySet() + " is expected";
                faults.add(fault(pool, "standingConsent.lendingPools", lender.text(), allowed));
            }
        }
    }

    private static ConfigurationFault fault(PoolSettings pool, String field, String value, String allowed) {
        return ConfigurationFault.of("pools." + pool.name() + "." + field, value, allowed);
    }
}
