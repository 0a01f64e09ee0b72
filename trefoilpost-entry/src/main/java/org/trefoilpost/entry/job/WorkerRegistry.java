package org.trefoilpost.entry.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.trefoilpost.decision.job.Decision;
import org.trefoilpost.decision.job.RegisteredWorker;

/**
 * The workers that the platform's registry lists.
 */
final class WorkerRegistry implements StoreMirror.Listener {
    private final JobContext context;
    private final StoreMirror mirror;
    private final Runnable onChange;
    private final Map<String, RegisteredWorker> reports = new HashMap<>();

    WorkerRegistry(JobContext context, LongSupplier pauseMillis, Runnable onChange) {
        this.context = context;
        this.onChange = onChange;
        this.mirror = new StoreMirror(context.ports().formats().workerPrefix(), context, pauseMillis, this);
    }

    void start() {
        mirror.start();
    }

    /**
     * Reads all entries again, and then runs something.
     */
    void refresh(Runnable done) {
        mirror.refresh(done);
    }

    boolean isLoaded() {
        return mirror.isLoaded();
    }

    long reconnectedMillis() {
        return mirror.reconnectedMillis();
    }

    Collection<RegisteredWorker> workersOfPool(String pool) {
        List<RegisteredWorker> workers = new ArrayList<>();
        for (RegisteredWorker report : reports.values()) {
            if (report.pool().equals(pool)) {
                workers.add(report);
            }
        }
        return workers;
    }

    @Override
    public void reloaded() {
        reports.clear();
        mirror.items().values().forEach(this::put);
    }

    @Override
    public void itemChanged(String key, Optional<StorePort.Item> item) {
        if (item.isPresent()) {
            put(item.get());
        } else {
            RegisteredWorker gone = reports.remove(
                    key.substring(context.ports().formats().workerPrefix().length()));
            if (gone != null) {
                context.ports().workers().closeConnections(gone.address());
            }
        }
    }

    @Override
    public void changesApplied() {
        onChange.run();
    }

    private void put(StorePort.Item item) {
        Optional<RegisteredWorker> report = context.ports().formats().worker(item);
        String id =
                item.key().substring(context.ports().formats().workerPrefix().length());
        if (report.isPresent()) {
            reports.put(id, report.get());
        } else {
            reports.remove(id);
            context.logDecision(Decision.failure("registry-entry-unreadable")
                    .with("worker", id)
                    .with("revision", item.revision())
                    .with("bytes", item.value().length));
        }
    }
}
