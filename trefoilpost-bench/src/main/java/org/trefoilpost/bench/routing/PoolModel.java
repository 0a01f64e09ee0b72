package org.trefoilpost.bench.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.trefoilpost.decision.admission.AdmissionRequest;
import org.trefoilpost.model.DataCentreName;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.RackName;
import org.trefoilpost.model.RegionName;
import org.trefoilpost.model.WorkerId;
import org.trefoilpost.model.request.RequestClass;
import org.trefoilpost.model.verdict.RefusalReason;
import org.trefoilpost.model.worker.Resources;
import org.trefoilpost.model.worker.Worker;

/**
 * One pool, its workers and the entries in front of it, in virtual time.
 */
public final class PoolModel {
    private static final int WORKERS = 8;
    private static final int WORKERS_PER_RACK = 4;
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;
    private static final int DATA_CENTRES = 2;
    private static final long REPORT_MILLIS = 250;
    private static final long SAMPLE_MILLIS = 10;
    private static final long FAILURE_MILLIS = 5_000;
    private static final long DEADLINE_MILLIS = 5_000;
    private static final long BULK_DEADLINE_MILLIS = 20_000;
    private static final double URGENT_SHARE = 0.1;
    private static final double BULK_SHARE = 0.3;
    private static final double CANCELLED_SHARE = 0.8;

    private final Scenario scenario;
    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final List<Worker> workers = new ArrayList<>();
    private final Map<WorkerId, ModelWorker> models = new HashMap<>();
    private final List<ModelEntry> entries = new ArrayList<>();
    private final ModelResult result;
    private final int entryCount;
    private final long runMillis;
    private WorkerId failing;
    private long nextId;

    private PoolModel(Scenario scenario, int entryCount, long runMillis, long seed) {
        this.scenario = scenario;
        this.entryCount = entryCount;
        this.runMillis = runMillis;
        this.random = new SplittableRandom(seed);
        this.result = new ModelResult(runMillis);
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = worker(i);
            workers.add(worker);
            models.put(worker.id(), new ModelWorker(worker, time, random.split()));
        }
    }

    /**
     * Runs a scenario under a policy.
     *
     * @param scenario  the scenario, not null
     * @param kind  the policy, not null
     * @param entries  the number of entries, more than 0
     * @param runMillis  the time to run in milliseconds of virtual time
     * @param seed  the seed of all random numbers
     * @return what was counted, not null
     */
    public static ModelResult run(Scenario scenario, PolicyKind kind, int entries, long runMillis, long seed) {
        PoolModel model = new PoolModel(scenario, entries, runMillis, seed);
        model.start(kind);
        model.time.runUntil(runMillis);
        return model.result;
    }

    VirtualTime time() {
        return time;
    }

    int entryCount() {
        return entryCount;
    }

    List<Worker> workers() {
        return workers;
    }

    List<ModelEntry> entries() {
        return entries;
    }

    ModelWorker worker(WorkerId id) {
        return models.get(id);
    }

    void attempted(boolean first, Worker worker) {
        boolean late = time.nowMillis() >= FAILURE_MILLIS;
        result.attempted(first, worker.id().equals(failing), late);
    }

    void started(ModelCall call) {
        result.firstStart(call.request().requestClass(), time.nowMillis() - call.arrivedMillis());
    }

    void answered(ModelCall call) {
        result.answered(call.request().requestClass(), time.nowMillis() - call.arrivedMillis());
    }

    void rejected() {
        result.rejected();
    }

    void refused(RefusalReason reason) {
        result.refused(reason);
    }

    void uncertain() {
        result.uncertain();
    }

    private void start(PolicyKind kind) {
        for (int i = 0; i < entryCount; i++) {
            entries.add(new ModelEntry(this, kind, i, dataCentre(i), random.split()));
        }
        for (int i = 0; i < entryCount; i++) {
            ModelEntry entry = entries.get(i);
            time.after(REPORT_MILLIS * i / entryCount, () -> report(entry));
        }
        fail();
        time.after(0, this::arrive);
        time.after(0, this::sample);
    }

    private void fail() {
        ModelWorker first = models.get(workers.get(0).id());
        switch (scenario) {
            case SLOW_WORKER:
                first.slow(true);
                break;
            case FAIL_FAST:
                first.failing(true);
                failing = first.worker().id();
                break;
            case RACK_GONE:
                time.after(runMillis / 2, this::rackGoes);
                break;
            case CANCEL_WAVE:
                time.after(runMillis / 2, () -> entries.forEach(entry -> entry.cancel(random, CANCELLED_SHARE)));
                break;
            default:
                break;
        }
    }

    private void rackGoes() {
        for (int i = 0; i < WORKERS_PER_RACK; i++) {
            models.get(workers.get(i).id()).goAway();
        }
    }

    private void report(ModelEntry entry) {
        entry.report();
        time.after(REPORT_MILLIS, () -> report(entry));
    }

    private void sample() {
        int idle = models.values().stream().mapToInt(ModelWorker::idleSlots).sum();
        int waiting = entries.stream().mapToInt(ModelEntry::queued).sum();
        result.sample(idle, waiting);
        time.after(SAMPLE_MILLIS, this::sample);
    }

    /** Lets the requests of this millisecond arrive, at each entry up to twice as many as at the first. */
    private void arrive() {
        double perMillis = scenario.load() * WORKERS * SLOTS / ModelWorker.SERVICE_MILLIS;
        int count = poisson(perMillis);
        for (int i = 0; i < count; i++) {
            result.arrived();
            entries.get(anyEntry()).arrive(call());
        }
        time.after(1, this::arrive);
    }

    private int anyEntry() {
        int index = random.nextInt(entryCount);
        double weight = entryCount == 1 ? 1 : 0.5 + 0.5 * index / (entryCount - 1);
        return random.nextDouble() < weight ? index : anyEntry();
    }

    private ModelCall call() {
        double draw = random.nextDouble();
        RequestClass requestClass = RequestClass.NORMAL;
        if (draw < URGENT_SHARE) {
            requestClass = RequestClass.URGENT;
        } else if (draw < URGENT_SHARE + BULK_SHARE) {
            requestClass = RequestClass.BULK;
        }
        long patience = requestClass == RequestClass.BULK ? BULK_DEADLINE_MILLIS : DEADLINE_MILLIS;
        nextId++;
        AdmissionRequest request = AdmissionRequest.of(nextId, requestClass, time.nowMillis() + patience);
        return new ModelCall(request, random.nextBoolean(), time.nowMillis());
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = random.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= random.nextDouble();
            count++;
        }
        return count;
    }

    private static Worker worker(int index) {
        return Worker.builder(WorkerId.of("w" + index))
                .rack(RackName.of("r" + index / WORKERS_PER_RACK))
                .dataCentre(dataCentre(index / WORKERS_PER_RACK))
                .region(RegionName.of("region"))
                .endpoint(Endpoint.of("127.0.0.1", 1))
                .resources(Resources.of(1, 1, 0, SLOTS))
                .maxConnections(CONNECTIONS)
                .build();
    }

    private static DataCentreName dataCentre(int index) {
        return DataCentreName.of("dc" + index % DATA_CENTRES);
    }
}
