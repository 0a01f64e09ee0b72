package org.trefoilpost.decision.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.trefoilpost.decision.job.AdviceChoice.Named;
import org.trefoilpost.decision.job.AdviceChoice.Purpose;
import org.trefoilpost.decision.job.AdviceRequests.Sent;
import org.trefoilpost.decision.job.advice.GoodShare;
import org.trefoilpost.decision.job.advice.PolicyObservations;

/**
 * Requests placement advice for the steps of queues that require it, and stores the tickets received.
 *
 * <p>The service handles the requests of a machine one after the other, so which step is asked about next decides which one
 * starts next: the most urgent one that has no ticket to start with, of those that use the tickets they get. It is chosen when
 * the service is soon to be idle.
 */
final class PlacementAdvice {
    /** The largest part of a ticket's validity that is given up for the time that a start takes to arrive: one of so many. */
    private static final long VALIDITY_PARTS = 4;

    private final PoolState state;
    private final Map<String, PolicyObservations> observationsByQueue = new HashMap<>();
    /** The steps of the present round that need advice, the most urgent first, with the workers that are reserved for others. */
    private final Map<JobStepState, Set<PoolWorker>> waiting = new LinkedHashMap<>();
    /** The steps with tasks that are to leave their worker. */
    private final Set<JobStepState> leaving = new LinkedHashSet<>();

    private final AdviceRequests requests = new AdviceRequests();
    private long round;

    PlacementAdvice(PoolState state) {
        this.state = state;
    }

    /**
     * Returns whether a step can be placed now. One that lacks advice takes part in the choice of the next request.
     *
     * @param reserved  the workers that are reserved for more urgent steps, not null
     */
    boolean isReady(JobStepState step, Set<PoolWorker> reserved, Moment now) {
        if (!isNeeded(step)) {
            return true;
        }
        step.advice.retain(worker -> state.workers.get(worker.id) == worker);
        waiting.put(step, Set.copyOf(reserved));
        return step.advice.hasTicket(now.steadyMillis(), worker -> true);
    }

    /**
     * Has advice requested for a task that is to leave its worker.
     */
    void wantOtherWorker(JobStepState step) {
        if (isNeeded(step)) {
            leaving.add(step);
        }
    }

    private static boolean isNeeded(JobStepState step) {
        return isNeeded(step.occurrence.job);
    }

    private static boolean isNeeded(JobState job) {
        return job.queue != null && job.queue.advice().isPresent();
    }

    /**
     * Returns whether the advice permits a step to run on a worker, and there is a valid ticket.
     */
    boolean allows(JobStepState step, PoolWorker worker, long nowMillis) {
        return !isNeeded(step) || step.advice.hasTicket(worker, nowMillis);
    }

    /**
     * Returns whether a step may wait for a worker: it is allowed there, and if there is no valid ticket, one can be had.
     */
    boolean mayAwait(JobStepState step, PoolWorker worker, long nowMillis) {
        return allows(step, worker, nowMillis) || requests.isAnswering() && step.advice.allows(worker);
    }

    /**
     * Ends a round of placements: requests advice for steps that need it, until the service has enough to do.
     */
    void requestNext(Moment now) {
        if (requests.mayAdd(now)) {
            Map<JobStepState, Set<PoolWorker>> steps = new LinkedHashMap<>();
            leaving.forEach(step -> steps.put(step, Set.of()));
            waiting.forEach(steps::putIfAbsent);
            steps.keySet().removeIf(step -> requests.awaitedFor(step).isPresent());
            List<Map.Entry<JobStepState, Set<PoolWorker>>> ordered = new ArrayList<>(steps.entrySet());
            ordered.sort(Comparator.comparingInt((Map.Entry<JobStepState, Set<PoolWorker>> entry) ->
                            entry.getKey().advice.unusedRenewals())
                    .thenComparing(entry -> hasUsableTicket(entry.getKey(), now.steadyMillis())));
            requestWhileDue(ordered, (step, reserved) -> nextWorkers(step, reserved, now), now);
            requestWhileDue(ordered, (step, reserved) -> workerToRecheck(step, reserved, now), now);
        }
        round++;
        waiting.clear();
        leaving.clear();
    }

    /**
     * Returns the number of rounds that have ended.
     */
    long round() {
        return round;
    }

    /**
     * Returns the requests that were sent.
     */
    AdviceRequests requests() {
        return requests;
    }

    /**
     * Returns the time in milliseconds that the service takes by its policy until a worker is found for a step of a job.
     */
    double stepMillis(JobState job) {
        PolicyObservations observations = observations(job);
        QueueConfig.AdvicePolicy policy = job.queue.advice().orElseThrow();
        return observations.stepCost().millis(observations.requestSize(policy).millisForOne());
    }

    /**
     * Returns the time in milliseconds that the service takes by its policy until a step can start, without requests that were
     * sent.
     *
     * @param stepMillis  the time for a step that has not been asked about
     */
    double neededMillis(JobStepState step, double stepMillis, Moment now) {
        if (step.hasStarted() || hasUsableTicket(step, now.steadyMillis())) {
            return 0;
        }
        Optional<Sent> sent = requests.awaitedFor(step);
        if (sent.isPresent()) {
            return Math.max(0, stepMillis - sent.get().request().durationMillis());
        }
        boolean denied =
                !state.workers.isEmpty() && state.workers.values().stream().allMatch(step.advice::denies);
        if (denied) {
            return 0;
        }
        return step.advice.allowsAny() ? policy(step).durationMillis(1) : stepMillis;
    }

    /**
     * Sends requests for the first steps for which there are workers to name, one for each, until the service has enough to do.
     */
    private void requestWhileDue(
            List<Map.Entry<JobStepState, Set<PoolWorker>>> steps,
            BiFunction<JobStepState, Set<PoolWorker>, Optional<Named>> choose,
            Moment now) {
        Iterator<Map.Entry<JobStepState, Set<PoolWorker>>> left = steps.iterator();
        while (left.hasNext() && requests.mayAdd(now)) {
            Map.Entry<JobStepState, Set<PoolWorker>> entry = left.next();
            choose.apply(entry.getKey(), entry.getValue()).ifPresent(named -> {
                request(entry.getKey(), named, now);
                left.remove();
            });
        }
    }

    private Optional<Named> nextWorkers(JobStepState step, Set<PoolWorker> reserved, Moment now) {
        return leaving.contains(step) || state.teamGate.hasRoom(step)
                ? choice(step, reserved, now).forTasks(tasks(step, now), policy(step))
                : Optional.empty();
    }

    private Optional<Named> workerToRecheck(JobStepState step, Set<PoolWorker> reserved, Moment now) {
        return step.advice.isRecheckDue(now.steadyMillis())
                ? choice(step, reserved, now).recheck()
                : Optional.empty();
    }

    private static boolean hasUsableTicket(JobStepState step, long nowMillis) {
        return step.advice.hasTicket(
                nowMillis, worker -> step.spec.reservedDemand().fitsIn(worker.freeResources()));
    }

    /**
     * Returns how many more machines the pool needs to have a worker for a step that is allowed on none of the present ones, 0 if
     * there is no such step.
     */
    int missingMachines() {
        int missing = advisedSteps()
                .filter(PlacementAdvice::mayNeedWorker)
                .mapToInt(this::missingMachines)
                .max()
                .orElse(0);
        return Math.min(missing, state.workers.size());
    }

    /**
     * Returns the identifiers of the workers that the pool is to keep for waiting steps. What advice has told about a worker is of
     * no use once the worker has left.
     */
    Set<String> awaitedWorkers() {
        Set<String> awaited = new HashSet<>();
        advisedSteps()
                .filter(PlacementAdvice::waitsForWorker)
                .flatMap(this::awaitedWorkers)
                .forEach(worker -> awaited.add(worker.id));
        return awaited;
    }

    private Stream<JobStepState> advisedSteps() {
        return state.openJobs.values().stream()
                .filter(PlacementAdvice::isNeeded)
                .flatMap(job -> job.openOccurrences().stream())
                .flatMap(occurrence -> Stream.of(occurrence.steps))
                .filter(step -> step.readyMillis != JobStepState.NOT_READY);
    }

    /**
     * Returns whether a task of a step waits for a worker, or lasts and may have to leave its own.
     */
    private static boolean mayNeedWorker(JobStepState step) {
        return step.spec.longRunning() && !step.ended() || waitsForWorker(step);
    }

    private static boolean waitsForWorker(JobStepState step) {
        return waitingTasks(step).findAny().isPresent();
    }

    private static Stream<JobTaskState> waitingTasks(JobStepState step) {
        return Stream.of(step.tasks).filter(task -> !task.done && task.runs.isEmpty());
    }

    private int missingMachines(JobStepState step) {
        List<PoolWorker> candidates = candidates(step).toList();
        boolean denied = candidates.stream().allMatch(step.advice::denies);
        GoodShare share = observations(step.occurrence.job).goodShare();
        return denied && share.mayAllowOthers(candidates.size()) ? share.workersForOne() : 0;
    }

    /**
     * Returns the workers that a step's request names, one for each waiting task on which the step is allowed, and if it has room on
     * none of these, as many others as are likely to have one on which it is allowed.
     */
    private Stream<PoolWorker> awaitedWorkers(JobStepState step) {
        ResourceAmount demand = step.spec.reservedDemand();
        Predicate<PoolWorker> hasRoom = worker -> demand.fitsIn(worker.freeResources());
        List<PoolWorker> named = requests.awaitedFor(step).stream()
                .flatMap(sent -> sent.named().workers().stream())
                .toList();
        List<PoolWorker> allowed = candidates(step)
                .filter(step.advice::allows)
                .sorted(Comparator.comparing(hasRoom::test, Comparator.reverseOrder()))
                .limit(waitingTasks(step).count())
                .toList();
        int others = allowed.stream().anyMatch(hasRoom)
                ? 0
                : observations(step.occurrence.job).goodShare().workersForOne();
        Stream<PoolWorker> unknown = candidates(step)
                .filter(worker -> !step.advice.isKnown(worker) && !named.contains(worker))
                .limit(others);
        return Stream.of(named.stream(), allowed.stream(), unknown).flatMap(workers -> workers);
    }

    private Stream<PoolWorker> candidates(JobStepState step) {
        return state.workers.values().stream()
                .filter(worker -> worker.listed && !worker.evacuating && !worker.registration.draining())
                .filter(worker -> step.spec.allowsLabels(worker.registration.labels()));
    }

    private AdviceChoice choice(JobStepState step, Set<PoolWorker> reserved, Moment now) {
        PolicyObservations observations = observations(step.occurrence.job);
        return new AdviceChoice(
                step,
                state.workers.values(),
                reserved,
                observations.requestSize(policy(step)),
                () -> observations.predict(step.advice.verdicts()),
                now.steadyMillis());
    }

    private static QueueConfig.AdvicePolicy policy(JobStepState step) {
        return step.occurrence.job.queue.advice().orElseThrow();
    }

    private PolicyObservations observations(JobState job) {
        return observationsByQueue.computeIfAbsent(job.spec.queue(), queue -> new PolicyObservations());
    }

    /**
     * Returns the number of tasks to find workers for; one if the tasks of the step are only to leave theirs.
     */
    private long tasks(JobStepState step, Moment now) {
        long startable = 0;
        for (JobTaskState task : step.tasks) {
            startable += state.mayStart(task, now.steadyMillis()) ? 1 : 0;
        }
        return Math.max(1, startable);
    }

    private void request(JobStepState step, Named named, Moment now) {
        List<String> names = named.workers().stream().map(worker -> worker.id).toList();
        AdviceRequest request =
                new AdviceRequest(step.name(), names, policy(step).durationMillis(names.size()));
        if (named.purpose() == Purpose.RENEWAL) {
            step.advice.renewalRequested();
        } else if (named.purpose() == Purpose.RECHECK) {
            step.advice.recheckRequested(now.steadyMillis());
        }
        requests.add(new Sent(step, request, named, now.steadyMillis(), false), now);
        state.actions.requestAdvice(request);
    }

    /**
     * Stores what a request has told. The answer to a request that was given up may follow, and is of use like any other.
     */
    void adviceReceived(AdviceRequest request, AdviceResult result, long callMillis, Moment now) {
        requests.ended(request, result, now).ifPresent(sent -> {
            if (result.outcome() == AdviceOutcome.ANSWERED) {
                store(sent, result, callMillis, now);
            }
            state.placementDue = true;
            log(sent, result, callMillis, now);
        });
    }

    private void store(Sent sent, AdviceResult result, long callMillis, Moment now) {
        StepAdvice advice = sent.step().advice;
        boolean knownBefore = advice.allowsAny();
        long validMillis = result.validMillis() > 0
                ? result.validMillis()
                : policy(sent.step()).validMillis();
        // The tickets were made just before the answer was sent, and a start takes about as long to arrive as the
        // answer did.
        long travelMillis = Math.max(0, callMillis - sent.request().durationMillis());
        long expiryMillis = now.steadyMillis() + validMillis - Math.min(travelMillis, validMillis / VALIDITY_PARTS);
        for (PoolWorker worker : sent.named().workers()) {
            String ticket = result.tickets().get(worker.id);
            if (ticket == null) {
                advice.denied(worker, now.steadyMillis());
            } else {
                advice.allowed(worker, ticket, expiryMillis, now.steadyMillis());
            }
        }
        advice.retain(worker -> state.workers.get(worker.id) == worker);
        if (sent.named().purpose() == Purpose.DISCOVERY) {
            observeVerdicts(sent, result);
            if (!knownBefore) {
                observations(sent.step().occurrence.job)
                        .stepCost()
                        .observe(sent.request().durationMillis(), advice.allowsAny());
            }
        }
    }

    private void observeVerdicts(Sent sent, AdviceResult result) {
        PolicyObservations observations = observations(sent.step().occurrence.job);
        long allowed = 0;
        for (PoolWorker worker : sent.named().workers()) {
            boolean isAllowed = result.tickets().containsKey(worker.id);
            observations.verdicts().record(sent.request().step(), worker.id, isAllowed);
            allowed += isAllowed ? 1 : 0;
        }
        observations.goodShare().observe(sent.named().workers().size(), allowed);
    }

    private void log(Sent sent, AdviceResult result, long callMillis, Moment now) {
        boolean answered = result.outcome() == AdviceOutcome.ANSWERED;
        Decision decision = answered ? Decision.of("advice-received") : Decision.failure("advice-failed");
        state.actions.logDecision(decision.with("step", sent.request().step())
                .with("reason", result.outcome().text())
                .with("purpose", sent.named().purpose().name().toLowerCase(Locale.ROOT))
                .with("asked", sent.request().workers().size())
                .with("good", result.tickets().size())
                .with("valid", result.validMillis())
                .with("expected", sent.request().durationMillis())
                .with("call", callMillis)
                .with("age", now.steadyMillis() - sent.requestedMillis())
                .with("late", sent.late())
                .with("awaited", requests.countAwaited()));
    }
}
