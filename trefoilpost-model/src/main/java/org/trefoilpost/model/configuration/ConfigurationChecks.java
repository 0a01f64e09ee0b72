package org.trefoilpost.model.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.capacity.FailureDomain;

/**
 * Finds inconsistencies between the fields of a configuration.
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
                faults.add(fault(
                        pool,
                        field,
                        name.toString(),
                        "is also listed by pool " + owner + ": at most one pool may list it"));
            }
        }
    }

    private static void checkFloor(PoolSettings pool, List<ConfigurationFault> faults) {
        int listedWorkers = pool.initialWorkers().size();
        boolean listsAllWorkers = listedWorkers > 0 && pool.initialRacks().isEmpty();
        int reservedWorkers = pool.budget().reserve() == FailureDomain.NONE ? 0 : 1;
        int floor = pool.budget().floor();
        if (listsAllWorkers && floor > listedWorkers - reservedWorkers) {
            String expected = "at most " + (listedWorkers - reservedWorkers) + " is expected: " + listedWorkers
                    + " workers are listed and a failure of "
                    + pool.budget().reserve().code() + " takes down at least " + reservedWorkers;
            faults.add(fault(pool, "budget.floor", Integer.toString(floor), expected));
        }
    }

    private static void checkLendingPools(
            PoolSettings pool, Configuration configuration, List<ConfigurationFault> faults) {
        if (pool.standingConsent().isEmpty()) {
            return;
        }
        for (PoolName lendingPool : pool.standingConsent().get().lendingPools()) {
            if (lendingPool.equals(pool.name())) {
                faults.add(fault(
                        pool,
                        "standingConsent.lendingPools",
                        lendingPool.text(),
                        "a pool other than this one is expected"));
            } else if (configuration.pool(lendingPool).isEmpty()) {
                String expected = "one of the pools " + configuration.pools().keySet() + " is expected";
                faults.add(fault(pool, "standingConsent.lendingPools", lendingPool.text(), expected));
            }
        }
    }

    private static ConfigurationFault fault(PoolSettings pool, String field, String value, String expected) {
        return ConfigurationFault.of("pools." + pool.name() + "." + field, value, expected);
    }
}
