package org.trefoilpost.decision.job.team;

import java.util.function.LongBinaryOperator;
import org.trefoilpost.decision.job.ResourceAmount;

/**
 * Arithmetic on amounts of resources, component by component.
 */
final class Amounts {
    /** The limit of a component that a cap does not limit; sums of many such limits do not overflow. */
    private static final long UNLIMITED = 1L << 50;

    private Amounts() {}

    /**
     * Returns the limits that a cap sets, in which a component of 0 is not limited.
     */
    static ResourceAmount limitOf(ResourceAmount cap) {
        return combine(cap, cap, (component, ignored) -> component == 0 ? UNLIMITED : component);
    }

    /**
     * Returns an amount with 0 in the components that a limit does not limit.
     */
    static ResourceAmount limited(ResourceAmount amount, ResourceAmount limit) {
        return combine(amount, limit, (component, bound) -> bound >= UNLIMITED ? 0 : component);
    }

    static ResourceAmount min(ResourceAmount a, ResourceAmount b) {
        return combine(a, b, Math::min);
    }

    static ResourceAmount max(ResourceAmount a, ResourceAmount b) {
        return combine(a, b, Math::max);
    }

    /**
     * Returns the first amount less the second, with 0 in place of negative components.
     */
    static ResourceAmount excess(ResourceAmount a, ResourceAmount b) {
        return combine(a, b, (first, second) -> Math.max(0, first - second));
    }

    static ResourceAmount dividedBy(ResourceAmount amount, long divisor) {
        return combine(amount, amount, (component, ignored) -> component / divisor);
    }

    /**
     * Returns the part of a limit that corresponds to the ratio of a part to a sum, all of it if the sum is 0.
     */
    static ResourceAmount share(ResourceAmount limit, ResourceAmount part, ResourceAmount sum) {
        return new ResourceAmount(
                share(limit.cpuMillis(), part.cpuMillis(), sum.cpuMillis()),
                share(limit.memoryMb(), part.memoryMb(), sum.memoryMb()),
                share(limit.accelerators(), part.accelerators(), sum.accelerators()));
    }

    private static long share(long limit, long part, long sum) {
        return sum <= 0 ? limit : (long) ((double) limit * part / sum);
    }

    /**
     * Returns whether an amount is below a bound in each component that a task needs.
     */
    static boolean isBelow(ResourceAmount amount, ResourceAmount bound, ResourceAmount task) {
        return (task.cpuMillis() == 0 || amount.cpuMillis() < bound.cpuMillis())
                && (task.memoryMb() == 0 || amount.memoryMb() < bound.memoryMb())
                && (task.accelerators() == 0 || amount.accelerators() < bound.accelerators());
    }

    static boolean isNone(ResourceAmount amount) {
        return amount.equals(ResourceAmount.NONE);
    }

    static String text(ResourceAmount amount) {
        return amount.cpuMillis() + "/" + amount.memoryMb() + "/" + amount.accelerators();
    }

    private static ResourceAmount combine(ResourceAmount a, ResourceAmount b, LongBinaryOperator operator) {
        return new ResourceAmount(
                operator.applyAsLong(a.cpuMillis(), b.cpuMillis()),
                operator.applyAsLong(a.memoryMb(), b.memoryMb()),
                operator.applyAsLong(a.accelerators(), b.accelerators()));
    }
}
