package org.trefoilpost.decision.job.advice;

import java.util.Arrays;
import org.trefoilpost.decision.job.QueueConfig.AdvicePolicy;

/**
 * Chooses how many workers a request for placement advice names, of those that have not been asked about a step.
 *
 * <p>Each worker named makes the answer later and the chance greater that enough of them may run the step. The number with the
 * least expected time for each worker found is chosen, within a limit that keeps long requests from delaying other steps. The
 * chance of each worker is that with which the step may run on it if it may run on none of those named before.
 */
public final class RequestSize {
    /** The maximum number of workers that the service accepts in a request. */
    public static final int MAX_WORKERS = 100;

    private final AdvicePolicy policy;
    private final double share;

    private RequestSize(AdvicePolicy policy, double share) {
        this.policy = policy;
        this.share = share;
    }

    /**
     * Obtains an instance.
     *
     * @param policy  the timing of the requests, not null
     * @param share  the expected share of workers that may run a step, greater than 0 and less than 1
     * @return the instance, not null
     */
    public static RequestSize of(AdvicePolicy policy, double share) {
        return new RequestSize(policy, share);
    }

    /**
     * Returns the largest number of workers to name in a request for a step each of whose tasks can start by itself: as many as
     * take the time of one request without any, but never fewer than the best number for one task.
     *
     * @return the number, from 1 to {@link #MAX_WORKERS}
     */
    public int limit() {
        long withinFixedTime = policy.perWorkerMillis() == 0
                ? MAX_WORKERS
                : Math.min(MAX_WORKERS, policy.callMillis() / policy.perWorkerMillis());
        return Math.max((int) withinFixedTime, best(1, equalChances(), false));
    }

    /**
     * Returns how many workers to name for tasks that can start one by one.
     *
     * @param needed  the number of workers that the tasks need, positive
     * @param chances  the chances of the workers that can be named, in the order in which they are named, not empty
     * @return the number, from 1 to the number of chances
     */
    public int forAny(int needed, double[] chances) {
        return Math.min(limit(), best(needed, chances, false));
    }

    /**
     * Returns how many workers to name for tasks that can only start together.
     *
     * @param needed  the number of workers that the tasks need, positive
     * @param chances  the chances of the workers that can be named, in the order in which they are named, not empty
     * @return the number, from 1 to the number of chances
     */
    public int forAll(int needed, double[] chances) {
        return best(needed, chances, true);
    }

    /**
     * Returns the expected time until a worker is found for a step, with as many requests as that takes.
     *
     * @return the time in milliseconds, positive
     */
    public double millisForOne() {
        int named = best(1, equalChances(), false);
        return Math.max(1, policy.durationMillis(named)) / (1 - Math.pow(1 - share, named));
    }

    private double[] equalChances() {
        double[] chances = new double[MAX_WORKERS];
        Arrays.fill(chances, share);
        return chances;
    }

    private int best(int needed, double[] chances, boolean together) {
        int most = Math.min(chances.length, MAX_WORKERS);
        int wanted = Math.min(needed, most);
        // The probabilities that a number of the workers named so far may run the step; the last one stands for all
        // that are wanted.
        double[] found = new double[wanted + 1];
        found[0] = 1;
        int best = most;
        double bestYield = 0;
        for (int named = 1; named <= most; named++) {
            addWorker(found, chances[named - 1]);
            double yield = (together ? found[wanted] : mean(found)) / Math.max(1, policy.durationMillis(named));
            if (yield > bestYield) {
                best = named;
                bestYield = yield;
            }
        }
        return best;
    }

    private static void addWorker(double[] found, double chance) {
        int last = found.length - 1;
        found[last] += found[last - 1] * chance;
        for (int i = last - 1; i > 0; i--) {
            found[i] = found[i] * (1 - chance) + found[i - 1] * chance;
        }
        found[0] *= 1 - chance;
    }

    private static double mean(double[] found) {
        double mean = 0;
        for (int i = 1; i < found.length; i++) {
            mean += i * found[i];
        }
        return mean;
    }
}
