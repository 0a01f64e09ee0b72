package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.trefoilpost.decision.job.advice.RequestSize;
import org.trefoilpost.decision.job.advice.VerdictHistory;

/**
 * The workers to name in the next request for advice on a step.
 */
final class AdviceChoice {
    /** Workers whose chances differ by no more than this are named in the order of preference. */
    private static final double CHANCE_TOLERANCE = 0.1;

    private final JobStepState step;
    private final Set<PoolWorker> excluded;
    private final RequestSize size;
    private final Supplier<VerdictHistory.Prediction> predictions;
    private final long nowMillis;
    private final List<PoolWorker> suiting = new ArrayList<>();

    /**
     * Constructs a choice.
     *
     * @param workers  all workers of the pool, not null
     * @param excluded  the workers that are not to be counted on, as they are reserved for others, not null
     * @param predictions  gives the expected advice on the workers that have not been asked about, not null
     */
    AdviceChoice(
            JobStepState step,
            Iterable<PoolWorker> workers,
            Set<PoolWorker> excluded,
            RequestSize size,
            Supplier<VerdictHistory.Prediction> predictions,
            long nowMillis) {
        this.step = step;
        this.excluded = excluded;
        this.size = size;
        this.predictions = predictions;
        this.nowMillis = nowMillis;
        for (PoolWorker worker : workers) {
            if (worker.suits(step.spec, nowMillis)) {
                suiting.add(worker);
            }
        }
        suiting.sort(preference(step));
    }

    private static Comparator<PoolWorker> preference(JobStepState step) {
        String rack = step.spec.preferredRack();
        return Comparator.comparing(
                        (PoolWorker worker) -> !worker.registration.rack().equals(rack))
                .thenComparing(worker -> worker.freeResources().cpuMillis(), Comparator.reverseOrder());
    }

    /**
     * Returns the request for a number of tasks, empty if no worker is worth asking about at present.
     *
     * @param tasks  the number of tasks that could start
     * @param policy  the timing of requests, not null
     */
    Optional<Named> forTasks(long tasks, QueueConfig.AdvicePolicy policy) {
        Optional<Named> named = step.spec.gang() ? forGang(tasks, policy) : forSeparateTasks(tasks);
        return named.or(this::firstAllowedWorker);
    }

    /**
     * Returns the request that asks again about the worker asked about least recently, empty unless none is allowed.
     */
    Optional<Named> recheck() {
        if (!suiting.stream().allMatch(step.advice::denies)) {
            return Optional.empty();
        }
        return suiting.stream()
                .min(Comparator.comparingLong(step.advice::answeredMillis))
                .map(worker -> new Named(List.of(worker), Purpose.RECHECK));
    }

    private Optional<Named> forSeparateTasks(long tasks) {
        long missing = tasks;
        for (PoolWorker worker : suiting) {
            missing -= step.advice.hasTicket(worker, nowMillis) ? room(worker) : 0;
        }
        if (missing <= 0) {
            return Optional.empty();
        }
        List<PoolWorker> renewable = suiting.stream()
                .filter(worker ->
                        step.advice.allows(worker) && !step.advice.hasTicket(worker, nowMillis) && room(worker) > 0)
                .toList();
        if (!renewable.isEmpty()) {
            int count = Math.min(size.limit(), workersFor(missing, renewable));
            return Optional.of(new Named(renewable.subList(0, count), Purpose.RENEWAL));
        }
        List<PoolWorker> unknown = unknownWithRoom();
        return unknown.isEmpty() ? Optional.empty() : Optional.of(discovery(workersFor(missing, unknown), unknown));
    }

    /**
     * Finds enough workers first, and then renews the tickets that would expire before all are there.
     */
    private Optional<Named> forGang(long tasks, QueueConfig.AdvicePolicy policy) {
        List<PoolWorker> allowed = suiting.stream()
                .filter(worker -> step.advice.allows(worker) && room(worker) > 0)
                .toList();
        long missing = tasks - allowed.stream().mapToLong(this::room).sum();
        if (missing > 0) {
            List<PoolWorker> unknown = likeliestFirst(unknownWithRoom());
            return unknown.isEmpty()
                    ? Optional.empty()
                    : Optional.of(first(size.forAll(workersFor(missing, unknown), chances(unknown)), unknown));
        }
        List<PoolWorker> members = allowed.subList(0, workersFor(tasks, allowed));
        if (members.stream().allMatch(worker -> step.advice.hasTicket(worker, nowMillis))) {
            return Optional.empty();
        }
        long endMillis = nowMillis + policy.durationMillis(members.size());
        List<PoolWorker> expiring = members.stream()
                .filter(worker -> !step.advice.hasTicket(worker, endMillis))
                .limit(RequestSize.MAX_WORKERS)
                .toList();
        return Optional.of(new Named(expiring, Purpose.RENEWAL));
    }

    /**
     * Returns a request that finds a first worker on which the step is allowed, though none has room at present.
     */
    private Optional<Named> firstAllowedWorker() {
        List<PoolWorker> unknown =
                suiting.stream().filter(worker -> !step.advice.isKnown(worker)).toList();
        return suiting.stream().anyMatch(step.advice::allows) || unknown.isEmpty()
                ? Optional.empty()
                : Optional.of(discovery(1, unknown));
    }

    /**
     * Returns the request that finds a number of workers for tasks that can start one by one.
     */
    private Named discovery(int needed, List<PoolWorker> unknown) {
        if (needed == 1) {
            return discoveryOfOne(unknown);
        }
        List<PoolWorker> ordered = likeliestFirst(unknown);
        return first(size.forAny(needed, chances(ordered)), ordered);
    }

    /**
     * Names the workers one by one, each for the case that the step is allowed on none of those before it.
     */
    private Named discoveryOfOne(List<PoolWorker> unknown) {
        VerdictHistory.Prediction prediction = predictions.get();
        List<PoolWorker> left = new ArrayList<>(unknown);
        List<PoolWorker> ordered = new ArrayList<>();
        double[] chances = new double[Math.min(size.limit(), unknown.size())];
        for (int i = 0; i < chances.length; i++) {
            PoolWorker next = likeliest(left, prediction);
            chances[i] = prediction.chance(next.id);
            prediction.suppose(next.id, false);
            left.remove(next);
            ordered.add(next);
        }
        return first(size.forAny(1, chances), ordered);
    }

    private static PoolWorker likeliest(List<PoolWorker> workers, VerdictHistory.Prediction prediction) {
        double highest = workers.stream()
                .mapToDouble(worker -> prediction.chance(worker.id))
                .max()
                .orElseThrow();
        return workers.stream()
                .filter(worker -> prediction.chance(worker.id) >= highest - CHANCE_TOLERANCE)
                .findFirst()
                .orElseThrow();
    }

    private List<PoolWorker> likeliestFirst(List<PoolWorker> workers) {
        VerdictHistory.Prediction prediction = predictions.get();
        return workers.stream()
                .sorted(Comparator.comparingLong(
                        worker -> -Math.round(prediction.chance(worker.id) / CHANCE_TOLERANCE)))
                .toList();
    }

    private double[] chances(List<PoolWorker> workers) {
        VerdictHistory.Prediction prediction = predictions.get();
        return workers.stream()
                .mapToDouble(worker -> prediction.chance(worker.id))
                .toArray();
    }

    private static Named first(int count, List<PoolWorker> workers) {
        return new Named(workers.subList(0, count), Purpose.DISCOVERY);
    }

    private List<PoolWorker> unknownWithRoom() {
        return suiting.stream()
                .filter(worker -> !step.advice.isKnown(worker) && room(worker) > 0)
                .toList();
    }

    /**
     * Returns how many of the workers, from the first on, have room for a number of tasks, at least one.
     */
    private int workersFor(long tasks, List<PoolWorker> workers) {
        long missing = tasks;
        int count = 0;
        while (count < workers.size() && (missing > 0 || count == 0)) {
            missing -= room(workers.get(count));
            count++;
        }
        return count;
    }

    private long room(PoolWorker worker) {
        if (excluded.contains(worker)) {
            return 0;
        }
        long room = step.spec.reservedDemand().timesIn(worker.freeResources());
        int limit = step.spec.maxPerWorker();
        return limit == 0 ? room : Math.max(0, Math.min(room, limit - worker.countTasksOf(step)));
    }

    /**
     * What a request is for.
     */
    enum Purpose {
        /** To find workers on which the step is allowed. */
        DISCOVERY,
        /** To renew tickets. */
        RENEWAL,
        /** To ask about a worker again on which the step was not allowed. */
        RECHECK;
    }

    /**
     * The workers named in a request.
     */
    record Named(List<PoolWorker> workers, Purpose purpose) {}
}
