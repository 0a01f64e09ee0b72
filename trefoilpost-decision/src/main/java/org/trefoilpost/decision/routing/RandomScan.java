package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Picks a random candidate that a request allows.
 */
final class RandomScan {
    /** The most candidates inspected for a pick, so that the cost does not grow with the pool. */
    static final int MAX_INSPECTED = 64;

    private RandomScan() {}

    /**
     * Picks the first allowed candidate from a random position onwards, or none if all inspected ones are excluded.
     *
     * <p>When the first candidate is excluded, the others are visited with a random stride that is coprime to the size.
     * With a stride of 1, the neighbour of an excluded candidate would receive its whole share of the picks.
     */
    static int pick(CandidateView candidates, RouteRequest request, RandomGenerator random) {
        int size = candidates.size();
        if (size == 0) {
            return SelectionPolicy.NONE;
        }
        int index = random.nextInt(size);
        if (request.allowsAll() || request.allows(candidates.worker(index))) {
            return index;
        }
        int stride = coprimeStride(size, random);
        int inspections = Math.min(size, MAX_INSPECTED);
        for (int inspection = 1; inspection < inspections; inspection++) {
            index = (index + stride) % size;
            if (request.allows(candidates.worker(index))) {
                return index;
            }
        }
        return SelectionPolicy.NONE;
    }

    private static int coprimeStride(int size, RandomGenerator random) {
        if (size <= 2) {
            return 1;
        }
        int stride = 1 + random.nextInt(size - 1);
        while (greatestCommonDivisor(stride, size) != 1) {
            stride = stride % (size - 1) + 1;
        }
        return stride;
    }

    private static int greatestCommonDivisor(int left, int right) {
        int a = left;
        int b = right;
        while (b != 0) {
            int remainder = a % b;
            a = b;
            b = remainder;
        }
        return a;
    }
}
