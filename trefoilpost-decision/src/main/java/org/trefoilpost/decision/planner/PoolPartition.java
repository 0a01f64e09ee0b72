package org.trefoilpost.decision.planner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Splits the workers of a pool into as few batches as its budget allows.
 *
 * <p>A set of workers may stop together if the budget holds without them; every subset of such a set may stop as well.
 * For small pools the least number of batches is found exactly, over all subsets. For larger ones the better of two
 * greedy orders is taken.
 */
final class PoolPartition {
    /** The most workers of a pool that is split exactly. */
    static final int MAX_EXACT_WORKERS = 12;

    private PoolPartition() {}

    /** Returns the batches; workers that can't stop at all are left out. */
    static List<List<DraftMember>> of(DraftPool pool, Predicate<DraftMember> wanted) {
        List<DraftMember> candidates = pool.members().stream()
                .filter(member -> member.available() && wanted.test(member))
                .toList();
        return candidates.size() <= MAX_EXACT_WORKERS
                ? exactPartition(pool, candidates)
                : heuristicPartition(pool, candidates);
    }

    private static List<List<DraftMember>> exactPartition(DraftPool pool, List<DraftMember> all) {
        List<DraftMember> candidates =
                all.stream().filter(member -> pool.headroomWithout(member) >= 0).toList();
        boolean[] admissible = admissible(pool, candidates);
        int full = admissible.length - 1;
        int[] least = new int[full + 1];
        int[] choice = new int[full + 1];
        Arrays.fill(least, Integer.MAX_VALUE / 2);
        least[0] = 0;
        for (int mask = 1; mask <= full; mask++) {
            int lowest = Integer.lowestOneBit(mask);
            for (int subset = mask; subset > 0; subset = (subset - 1) & mask) {
                boolean usable = (subset & lowest) != 0 && admissible[subset];
                if (usable && least[mask ^ subset] + 1 < least[mask]) {
                    least[mask] = least[mask ^ subset] + 1;
                    choice[mask] = subset;
                }
            }
        }
        List<List<DraftMember>> batches = new ArrayList<>();
        for (int mask = full; mask != 0; mask ^= choice[mask]) {
            batches.add(members(candidates, choice[mask]));
        }
        return batches;
    }

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
        List<DraftMember> left = new ArrayList<>(candidates);
        List<List<DraftMember>> batches = new ArrayList<>();
        while (!left.isEmpty()) {
            List<DraftMember> batch = new ArrayList<>();
            DraftMember best = best(pool, left, score);
            while (best != null) {
                pool.markUnavailable(best);
                batch.add(best);
                left.remove(best);
                best = best(pool, left, score);
            }
            batch.forEach(pool::markAvailable);
            if (batch.isEmpty()) {
                return batches;
            }
            batches.add(batch);
        }
        return batches;
    }

    private static DraftMember best(DraftPool pool, List<DraftMember> left, ToIntFunction<DraftMember> score) {
        DraftMember best = null;
        int bestScore = Integer.MIN_VALUE;
        for (DraftMember member : left) {
            int memberScore = score.applyAsInt(member);
            if (memberScore > bestScore && pool.headroomWithout(member) >= 0) {
                best = member;
                bestScore = memberScore;
            }
        }
        return best;
    }
}
