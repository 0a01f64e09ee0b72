package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Splits the workers of a pool into as few batches as its budget allows.
 *
 * <p>A set of workers may stop at the same time if the budget holds without them; then every subset of it may, too. For
 * small pools the least number of batches is found exactly, by dynamic programming over all subsets. Larger ones use
 * the better of two greedy orders: by name, and largest failure domain first.
 */
final class PoolPartition {
    /** The most workers that are partitioned exactly; the time grows with 3 to the power of their number. */
    static final int MAX_EXACT_WORKERS = 12;

    private PoolPartition() {}

    /** Returns the batches of the available members that the filter accepts, without members that can't stop at all. */
    static List<List<DraftMember>> of(DraftPool pool, Predicate<DraftMember> filter) {
        List<DraftMember> candidates = pool.members().stream()
                .filter(member -> member.available() && filter.test(member))
                .toList();
        return candidates.size() <= MAX_EXACT_WORKERS
                ? exactPartition(pool, candidates)
                : heuristicPartition(pool, candidates);
    }

    private static List<List<DraftMember>> exactPartition(DraftPool pool, List<DraftMember> all) {
        List<DraftMember> candidates =
                all.stream().filter(member -> pool.headroomWithout(member) >= 0).toList();
        boolean[] admissible = admissible(pool, candidates);
        int fullMask = admissible.length - 1;
        int[] minBatches = new int[fullMask + 1];
        int[] chosenSubset = new int[fullMask + 1];
        Arrays.fill(minBatches, Integer.MAX_VALUE / 2);
        minBatches[0] = 0;
        for (int mask = 1; mask <= fullMask; mask++) {
            int lowestBit = Integer.lowestOneBit(mask);
            for (int subset = mask; subset > 0; subset = (subset - 1) & mask) {
                boolean usable = (subset & lowestBit) != 0 && admissible[subset];
                if (usable && minBatches[mask ^ subset] + 1 < minBatches[mask]) {
                    minBatches[mask] = minBatches[mask ^ subset] + 1;
                    chosenSubset[mask] = subset;
                }
            }
        }
        List<List<DraftMember>> batches = new ArrayList<>();
        for (int mask = fullMask; mask != 0; mask ^= chosenSubset[mask]) {
            batches.add(members(candidates, chosenSubset[mask]));
        }
        return batches;
    }

    /** Returns for each subset, given as a bit mask of candidates, whether it may stop at the same time. */
    private static boolean[] admissible(DraftPool pool, List<DraftMember> candidates) {
        boolean[] admissible = new boolean[1 << candidates.size()];
        markAdmissible(pool, candidates, 0, 0, admissible);
        return admissible;
    }

    private static void markAdmissible(
            DraftPool pool, List<DraftMember> candidates, int next, int mask, boolean[] admissible) {
        admissible[mask] = true;
        for (int i = next; i < candidates.size(); i++) {
            DraftMember member = candidates.get(i);
            if (pool.headroomWithout(member) >= 0) {
                pool.markUnavailable(member);
                markAdmissible(pool, candidates, i + 1, mask | 1 << i, admissible);
                pool.markAvailable(member);
            }
        }
    }

    private static List<DraftMember> members(List<DraftMember> candidates, int mask) {
        List<DraftMember> members = new ArrayList<>();
        for (int i = 0; i < candidates.size(); i++) {
            if ((mask & 1 << i) != 0) {
                members.add(candidates.get(i));
            }
        }
        return members;
    }

    private static List<List<DraftMember>> heuristicPartition(DraftPool pool, List<DraftMember> candidates) {
        List<List<DraftMember>> byName = greedyPartition(pool, candidates, member -> 0);
        List<List<DraftMember>> largestGroupFirst = greedyPartition(pool, candidates, pool::domainSize);
        return largestGroupFirst.size() <= byName.size() ? largestGroupFirst : byName;
    }

    private static List<List<DraftMember>> greedyPartition(
            DraftPool pool, List<DraftMember> candidates, ToIntFunction<DraftMember> score) {
        List<DraftMember> remaining = new ArrayList<>(candidates);
        List<List<DraftMember>> batches = new ArrayList<>();
        while (!remaining.isEmpty()) {
            List<DraftMember> batch = new ArrayList<>();
            DraftMember best = best(pool, remaining, score);
            while (best != null) {
                pool.markUnavailable(best);
                batch.add(best);
                remaining.remove(best);
                best = best(pool, remaining, score);
            }
            batch.forEach(pool::markAvailable);
            if (batch.isEmpty()) {
                return batches;
            }
            batches.add(batch);
        }
        return batches;
    }

    private static DraftMember best(DraftPool pool, List<DraftMember> remaining, ToIntFunction<DraftMember> score) {
        DraftMember best = null;
        int bestScore = Integer.MIN_VALUE;
        for (DraftMember member : remaining) {
            int memberScore = score.applyAsInt(member);
            if (memberScore > bestScore && pool.headroomWithout(member) >= 0) {
                best = member;
                bestScore = memberScore;
            }
        }
        return best;
    }
}
