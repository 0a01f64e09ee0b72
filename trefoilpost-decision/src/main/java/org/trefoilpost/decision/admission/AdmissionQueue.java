package org.trefoilpost.decision.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.verdict.RefusalReason;

/**
 * The requests of one pool that wait for a slot at one entry.
 *
 * <p>Urgent requests go before normal ones and those before bulk ones, which keep a share of the starts; within a class
 * the earliest deadline goes first. A refusal is final at the moment it is returned. One thread owns a queue.
 */
public final class AdmissionQueue {
    private static final double MIN_JITTER_FACTOR = 0.5;
    /** The credit at which a bulk request goes first, less the rounding of its sum. */
    private static final double MIN_CREDIT_FOR_BULK = 1 - 1e-9;

    private AdmissionSettings settings;
    private final TeamQuotas quotas;
    private final RandomGenerator random;
    private final ServiceTimeEstimate serviceTime;
    private final Map<RequestClass, DeadlineQueue> queues = new EnumMap<>(RequestClass.class);
    private final Map<Long, AdmissionRequest> queued = new HashMap<>();
    private final Map<Long, AdmissionRequest> started = new HashMap<>();
    private int limit;
    private double bulkCredit;

    private AdmissionQueue(AdmissionSettings settings, TeamQuotas quotas, RandomGenerator random) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.quotas = Objects.requireNonNull(quotas, "quotas");
        this.random = Objects.requireNonNull(random, "random");
        this.serviceTime = new ServiceTimeEstimate(settings.initialServiceMillis());
        for (RequestClass requestClass : RequestClass.values()) {
            queues.put(requestClass, new DeadlineQueue());
        }
    }

    /**
     * Obtains an empty queue that starts nothing until it gets a limit.
     *
     * @param settings  the limits of the queue, not null
     * @param quotas  the teams' quotas, shared by the pools of an entry, not null
     * @param random  the source of random numbers, not null
     * @return the queue, not null
     */
    public static AdmissionQueue of(AdmissionSettings settings, TeamQuotas quotas, RandomGenerator random) {
        return new AdmissionQueue(settings, quotas, random);
    }

    /**
     * Replaces the limits; requests that wait already stay.
     *
     * @param newSettings  the limits, not null
     */
    public void settings(AdmissionSettings newSettings) {
        this.settings = Objects.requireNonNull(newSettings, "settings");
    }

    /**
     * Sets the requests that may be started at a time.
     *
     * @param newLimit  the requests, not negative
     */
    public void limit(int newLimit) {
        this.limit = newLimit;
    }

    /**
     * Offers a request that arrives.
     *
     * @param request  the request, not null
     * @param nowMillis  the present time in milliseconds
     * @return the refusals that result: of this request, or of another that made room for it; empty if it waits
     * @throws IllegalArgumentException if a request with this number waits or is started
     */
    public List<Refusal> offer(AdmissionRequest request, long nowMillis) {
        if (queued.containsKey(request.id()) || started.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " was offered before");
        }
        Optional<RefusalReason> reason = reasonToRefuse(request, nowMillis);
        if (reason.isPresent()) {
            return List.of(refusal(request, reason.get()));
        }
        List<Refusal> refusals = List.of();
        if (queued.size() >= settings.maxQueued()) {
            Optional<AdmissionRequest> displaced = requestToDisplace(request.requestClass());
            if (displaced.isEmpty()) {
                return List.of(refusal(request, RefusalReason.QUEUE_FULL));
            }
            refusals = List.of(refusal(displaced.get(), RefusalReason.QUEUE_FULL));
            remove(displaced.get());
        }
        request.team().ifPresent(quotas::requestArrived);
        enqueue(request);
        return refusals;
    }

    /**
     * Starts the next request, if a request waits and the limit allows.
     *
     * <p>Call {@link #expire} first when a started request has ended, so that no slot goes to a request that is late.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the request, not null, empty if none may start
     */
    public Optional<AdmissionRequest> poll(long nowMillis) {
        if (started.size() >= limit || queued.isEmpty()) {
            return Optional.empty();
        }
        RequestClass next = nextClass();
        AdmissionRequest request = queues.get(next).first();
        if (request.deadlineMillis() <= nowMillis) {
            return Optional.empty();
        }
        updateBulkCredit(next);
        dequeue(request);
        started.put(request.id(), request);
        return Optional.of(request);
    }

    /**
     * Puts a started request back, because no worker had a free slot or its attempt is to be repeated.
     *
     * @param id  the request's number
     */
    public void requeue(long id) {
        AdmissionRequest request = started.remove(id);
        if (request != null) {
            enqueue(request);
        }
    }

    /**
     * Records that a started request ended.
     *
     * @param id  the request's number
     */
    public void requestEnded(long id) {
        AdmissionRequest request = started.remove(id);
        if (request != null) {
            request.team().ifPresent(quotas::requestEnded);
        }
    }

    /**
     * Records the time that a worker took for a whole answer.
     *
     * @param serviceMillis  the time in milliseconds, not negative
     */
    public void recordServiceTime(long serviceMillis) {
        serviceTime.record(serviceMillis);
    }

    /**
     * Withdraws a waiting request that its caller cancelled.
     *
     * @param id  the request's number
     * @return true if the request waited, so that it will not run
     */
    public boolean cancel(long id) {
        AdmissionRequest request = queued.get(id);
        if (request == null) {
            return false;
        }
        remove(request);
        return true;
    }

    /**
     * Refuses the waiting requests that can no longer be served before their deadlines.
     *
     * @param nowMillis  the present time in milliseconds
     * @return the refusals, not null
     */
    public List<Refusal> expire(long nowMillis) {
        List<Refusal> refusals = new ArrayList<>();
        for (DeadlineQueue queue : queues.values()) {
            AdmissionRequest first = queue.first();
            while (first != null && latestStartMillis(first) <= nowMillis) {
                refusals.add(refusal(first, RefusalReason.DEADLINE_UNREACHABLE));
                remove(first);
                first = queue.first();
            }
        }
        return refusals;
    }

    /**
     * Returns when {@link #expire} is next due.
     *
     * @return the time in milliseconds, empty if no request waits
     */
    public OptionalLong nextExpiryMillis() {
        OptionalLong next = OptionalLong.empty();
        for (DeadlineQueue queue : queues.values()) {
            AdmissionRequest first = queue.first();
            if (first != null && (next.isEmpty() || latestStartMillis(first) < next.getAsLong())) {
                next = OptionalLong.of(latestStartMillis(first));
            }
        }
        return next;
    }

    /**
     * Returns the requests that wait.
     *
     * @return the requests, not negative
     */
    public int queued() {
        return queued.size();
    }

    /**
     * Returns the requests that are started and have not ended.
     *
     * @return the requests, not negative
     */
    public int started() {
        return started.size();
    }

    /**
     * Returns the time after which a refused caller may come back: the time in which the queue drains, with jitter.
     *
     * @return the time in milliseconds, not negative
     */
    public long retryAfterMillis() {
        if (limit == 0) {
            return jittered(settings.maxRetryAfterMillis());
        }
        double drainMillis = (queued.size() + started.size()) * serviceTime.meanMillis() / limit;
        return jittered(drainMillis);
    }

    private long jittered(double millis) {
        double jitter = MIN_JITTER_FACTOR + random.nextDouble();
        double bounded = Math.max(settings.minRetryAfterMillis(), millis * jitter);
        return (long) Math.min(settings.maxRetryAfterMillis(), bounded);
    }

    private Optional<RefusalReason> reasonToRefuse(AdmissionRequest request, long nowMillis) {
        if (request.deadlineMillis() <= nowMillis) {
            return Optional.of(RefusalReason.DEADLINE_PAST);
        }
        if (request.team().isPresent() && !quotas.allows(request.team().get(), nowMillis)) {
            return Optional.of(RefusalReason.QUOTA_EXCEEDED);
        }
        boolean reachable = startsAtOnce() || expectedEndMillis(request, nowMillis) <= request.deadlineMillis();
        return reachable ? Optional.empty() : Optional.of(RefusalReason.DEADLINE_UNREACHABLE);
    }

    private boolean startsAtOnce() {
        return queued.isEmpty() && started.size() < limit;
    }

    private long expectedEndMillis(AdmissionRequest request, long nowMillis) {
        if (limit == 0) {
            return nowMillis + serviceTime.upperEstimateMillis();
        }
        double waitMillis = (requestsAhead(request) + 1) * serviceTime.meanMillis() / limit;
        return nowMillis + Math.round(waitMillis) + serviceTime.upperEstimateMillis();
    }

    /** Returns the waiting requests that start before a request, as far as is known at its arrival. */
    private double requestsAhead(AdmissionRequest request) {
        RequestClass requestClass = request.requestClass();
        int higher = 0;
        for (RequestClass other : RequestClass.values()) {
            higher += other.compareTo(requestClass) < 0 ? queues.get(other).size() : 0;
        }
        int own = queues.get(requestClass).rank(request);
        double share = settings.bulkShare();
        if (requestClass == RequestClass.BULK) {
            return share == 0 ? higher + own : Math.min(higher + own, own / share);
        }
        int bulk = queues.get(RequestClass.BULK).size();
        return higher + own + Math.min(bulk, (higher + own) * share / (1 - share));
    }

    private RequestClass nextClass() {
        boolean bulkWaits = queues.get(RequestClass.BULK).size() > 0;
        if (bulkWaits && bulkCredit >= MIN_CREDIT_FOR_BULK) {
            return RequestClass.BULK;
        }
        for (RequestClass requestClass : RequestClass.values()) {
            if (queues.get(requestClass).size() > 0) {
                return requestClass;
            }
        }
        throw new IllegalStateException("the queue is empty");
    }

    private void updateBulkCredit(RequestClass next) {
        boolean bulkWaits = queues.get(RequestClass.BULK).size() > 0;
        bulkCredit = bulkWaits ? bulkCredit + settings.bulkShare() : 0;
        if (next == RequestClass.BULK) {
            bulkCredit = Math.max(0, bulkCredit - 1);
        }
    }

    /** Finds the request that makes room for one of a class: the last of the lowest class that is below it. */
    private Optional<AdmissionRequest> requestToDisplace(RequestClass arriving) {
        int bulkPlaces = (int) Math.ceil(settings.maxQueued() * settings.bulkShare());
        DeadlineQueue bulk = queues.get(RequestClass.BULK);
        if (arriving != RequestClass.BULK && bulk.size() > bulkPlaces) {
            return Optional.of(bulk.last());
        }
        DeadlineQueue normal = queues.get(RequestClass.NORMAL);
        boolean displacesNormal = arriving == RequestClass.URGENT && normal.size() > 0;
        return displacesNormal ? Optional.of(normal.last()) : Optional.empty();
    }

    /** Returns when a waiting request is refused; with nothing started, there is no fresh service time to go by. */
    private long latestStartMillis(AdmissionRequest request) {
        return request.deadlineMillis() - (started.isEmpty() ? 0 : serviceTime.upperEstimateMillis());
    }

    private Refusal refusal(AdmissionRequest request, RefusalReason reason) {
        return Refusal.of(request, reason, retryAfterMillis());
    }

    private void enqueue(AdmissionRequest request) {
        queues.get(request.requestClass()).add(request);
        queued.put(request.id(), request);
    }

    private void dequeue(AdmissionRequest request) {
        queues.get(request.requestClass()).remove(request);
        queued.remove(request.id());
    }

    private void remove(AdmissionRequest request) {
        dequeue(request);
        request.team().ifPresent(quotas::requestEnded);
    }
}
