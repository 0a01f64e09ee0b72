package org.trefoilpost.decision.routing;

import java.util.random.RandomGenerator;

/**
 * Picks a random candidate that a request allows.
 */
final class RandomScan {
    /** The most candidates looked at, so that a pick costs the same in a pool of any size. */
    static final int MAX_INSPECTED = 64;

    private RandomScan() {}

    /**
     * Picks a candidate: the first allowed one from a random position onwards.
     *
     * <p>When the first position is not allowed, the others are visited in steps that are coprime to the size, so that
     * the neighbour of an excluded candidate does not take its whole share.
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
        int step = coprimeStep(size, random);
        int looks = Math.min(size, MAX_INSPECTED);
        for (int look = 1; look < looks; look++) {
            index = (index + step) % size;
            if (request.allows(candidates.worker(index))) {
                return index;
            }
        }
        return SelectionPolicy.NONE;
    }

    private static int coprimeStep(int size, RandomGenerator random) {
        if (size <= 2) {
            return 1;
        }
        int step = 1 + random.nextInt(size - 1);
        while (greatestCommonDivisor(step, size) != 1) {
            step = step % (size - 1) + 1;
        }
        return step;
    }

    private static int greatestCommonDivisor(int left, int right) {
        int a = left;
        int b = right;
        while (b != 0) {
            int rest = a % b;
            a = b;
            b = rest;
        }
        return a;
    }
}
