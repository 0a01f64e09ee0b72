package org.trefoilpost.decision.job.team;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * The shares of teams in the capacity of a pool, by weighted max-min fairness over the dominant resource: the one of
 * which a team demands the largest part of the pool.
 *
 * <p>The shares rise in proportion to the weights until a resource is used up. Teams that do not demand that resource
 * rise on. A team that demands less than its share leaves the rest to the others.
 */
public final class TeamShares {
    private static final int RESOURCES = 3;
    /** Halvings of the interval that contains the level of the shares; leaves an error far below that of a task. */
    private static final int BISECTION_STEPS = 40;

    private static final double FULL = 1.0;

    private final ResourceAmount capacity;
    private final Map<String, Double> shares = new HashMap<>();

    private TeamShares(ResourceAmount capacity) {
        this.capacity = capacity;
    }

    /**
     * Computes the shares.
     *
     * @param capacity  the capacity that the teams share, not null
     * @param demands  the demands by team, not null
     * @return the shares, not null
     */
    public static TeamShares of(ResourceAmount capacity, Map<String, TeamDemand> demands) {
        TeamShares result = new TeamShares(capacity);
        List<Filling> rising = new ArrayList<>();
        demands.forEach((team, demand) -> rising.add(new Filling(team, demand.weight(), result.parts(demand.total()))));
        double[] left = {FULL, FULL, FULL};
        while (!rising.isEmpty()) {
            double level = highestLevel(rising, left);
            if (level == Double.POSITIVE_INFINITY) {
                rising.forEach(filling -> result.shares.put(filling.team, FULL));
                break;
            }
            int full = fullestResource(rising, left, level);
            for (Filling filling : List.copyOf(rising)) {
                if (filling.parts[full] > 0) {
                    result.shares.put(filling.team, Math.min(FULL, level * filling.weight));
                    for (int resource = 0; resource < RESOURCES; resource++) {
                        left[resource] = Math.max(0, left[resource] - filling.usedAt(level, resource));
                    }
                    rising.remove(filling);
                }
            }
        }
        return result;
    }

    private static double highestLevel(List<Filling> rising, double[] left) {
        double high = 0;
        for (Filling filling : rising) {
            high = Math.max(high, filling.dominantPart() / filling.weight);
        }
        if (fits(rising, left, high)) {
            return Double.POSITIVE_INFINITY;
        }
        double low = 0;
        for (int i = 0; i < BISECTION_STEPS; i++) {
            double middle = (low + high) / 2;
            if (fits(rising, left, middle)) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    private static boolean fits(List<Filling> rising, double[] left, double level) {
        for (int resource = 0; resource < RESOURCES; resource++) {
            if (used(rising, level, resource) > left[resource]) {
                return false;
            }
        }
        return true;
    }

    private static int fullestResource(List<Filling> rising, double[] left, double level) {
        int fullest = 0;
        double largestExcess = Double.NEGATIVE_INFINITY;
        for (int resource = 0; resource < RESOURCES; resource++) {
            double excess = used(rising, level, resource) - left[resource];
            if (excess > largestExcess) {
                largestExcess = excess;
                fullest = resource;
            }
        }
        return fullest;
    }

    private static double used(List<Filling> rising, double level, int resource) {
        double used = 0;
        for (Filling filling : rising) {
            used += filling.usedAt(level, resource);
        }
        return used;
    }

    /**
     * Returns the share that a team is entitled to, as a part of the pool's capacity.
     *
     * @param team  the team's name, not null
     * @return the share, 1 if nothing limits the team
     */
    public double share(String team) {
        return shares.getOrDefault(team, FULL);
    }

    /**
     * Returns the part of the pool that an amount takes of its dominant resource.
     *
     * @param amount  the amount, not null
     * @return the part, not negative
     */
    public double dominantPart(ResourceAmount amount) {
        return dominant(parts(amount));
    }

    /**
     * Returns whether the pool is too full for all that a team demands.
     *
     * @param team  the team's name, not null
     * @return true if the team's share limits it
     */
    public boolean isLimited(String team) {
        return share(team) < FULL;
    }

    private double[] parts(ResourceAmount amount) {
        return new double[] {
            part(amount.cpuMillis(), capacity.cpuMillis()),
            part(amount.memoryMb(), capacity.memoryMb()),
            part(amount.accelerators(), capacity.accelerators())
        };
    }

    private static double part(long amount, long whole) {
        return (double) amount / Math.max(1, whole);
    }

    private static double dominant(double[] parts) {
        return Math.max(parts[0], Math.max(parts[1], parts[2]));
    }

    /**
     * A team whose share is rising, with the parts of the pool's resources that it demands.
     */
    private record Filling(String team, double weight, double[] parts) {
        double dominantPart() {
            return dominant(parts);
        }

        double usedAt(double level, int resource) {
            double dominantPart = dominantPart();
            return dominantPart == 0 ? 0 : Math.min(1, level * weight / dominantPart) * parts[resource];
        }
    }
}
