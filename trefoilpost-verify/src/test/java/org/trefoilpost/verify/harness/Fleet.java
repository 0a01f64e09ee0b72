package org.trefoilpost.verify.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.platform.PlatformServer;
import org.trefoilpost.standins.platform.PlatformSettings;
import org.trefoilpost.standins.relay.RelayServer;
import org.trefoilpost.standins.relay.RelaySettings;
import org.trefoilpost.standins.worker.WorkerFleet;
import org.trefoilpost.standins.worker.WorkerServer;
import org.trefoilpost.standins.worker.WorkerSettings;

/**
 * A platform, the workers of one pool and the entries, which reach the platform through relays.
 */
public final class Fleet implements AutoCloseable {
    /** The operators' token. */
    public static final String TOKEN = "operators-only";

    private static final int PER_RACK = 4;
    private static final int PROBES_PER_WORKER = 2;

    private final Path runLog;
    private final String pool;
    private final PlatformServer platform;
    private final WorkerFleet workers;
    private final List<EntryProcess> entries = new CopyOnWriteArrayList<>();
    private final List<RelayServer> relays = new ArrayList<>();

    private Fleet(String pool, Path runLog, PlatformServer platform, WorkerFleet workers) {
        this.pool = pool;
        this.runLog = runLog;
        this.platform = platform;
        this.workers = workers;
    }

    /**
     * Starts a fleet without entries.
     *
     * @param pool  the pool of the workers, not null
     * @param workerCount  how many workers there are, four to a rack
     * @return the fleet, not null
     */
    public static Fleet start(String pool, int workerCount) {
        try {
            Path log = Files.createTempFile("run-log", ".jsonl");
            PlatformServer platform = PlatformServer.start(new PlatformSettings().listLagMillis(300));
            WorkerSettings settings = new WorkerSettings()
                    .platform(platform.endpoint())
                    .runLog(log)
                    .times(5, 200);
            return new Fleet(pool, log, platform, WorkerFleet.start(settings, workerCount, pool, PER_RACK));
        } catch (IOException e) {
            throw new UncheckedIOException("the stand-ins could not start", e);
        }
    }

    /**
     * Starts entries and waits until they run.
     *
     * @param count  how many
     * @return the entries started, not null
     */
    public List<EntryProcess> startEntries(int count) {
        List<EntryProcess> started = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            started.add(launch("e" + (entries.size() + started.size() + 1)));
        }
        started.forEach(EntryProcess::awaitRunning);
        entries.addAll(started);
        return started;
    }

    /**
     * Starts an entry of a given name, at new addresses.
     *
     * @param id  the entry's name, not null
     * @return the entry, not null
     */
    public EntryProcess startEntry(String id) {
        EntryProcess entry = launch(id).awaitRunning();
        entries.add(entry);
        return entry;
    }

    private EntryProcess launch(String id) {
        try {
            RelayServer relay = RelayServer.start(new RelaySettings().target(platform.endpoint()));
            relays.add(relay);
            return EntryProcess.start(id, relay.endpoint(), "--operator-token", TOKEN, "--peer-secret", "between-us");
        } catch (IOException e) {
            throw new UncheckedIOException("the relay could not start", e);
        }
    }

    /**
     * Puts a configuration in force that gives every rack to the pool, and waits until all entries serve it.
     *
     * @param floor  the pool's floor
     */
    public void configure(int floor) {
        HttpResponse<String> answer =
                Operator.at(entries.get(0)).call("PUT", "/v1/configuration", configuration(floor));
        if (answer.statusCode() != 200) {
            throw new AssertionError("the configuration was refused: " + answer.body());
        }
        awaitServing();
    }

    /**
     * Waits until every running entry is ready, sees the others and knows the whole pool.
     */
    public void awaitServing() {
        List<EntryProcess> running = running();
        for (EntryProcess entry : running) {
            Operator operator = Operator.at(entry);
            Waits.until(
                    () -> entry.id() + " serves: " + operator.get("/v1/status") + operator.get("/v1/pools"),
                    () -> operator.isReady()
                            && operator.get("/v1/status").path("peers").size() >= running.size() - 1
                            && usable(operator) == workers.workers().size());
        }
    }

    /**
     * Waits until every running entry sends requests to every worker and all of them are answered.
     *
     * <p>Requests are sent for this, because ejected workers are probed with requests only.
     */
    public void awaitEveryWorkerServes() {
        for (EntryProcess entry : running()) {
            Operator operator = Operator.at(entry);
            Set<String> serving = new TreeSet<>();
            List<CallerAnswer> latest = new ArrayList<>();
            Waits.until(
                    () -> entry.id() + " sends requests to all " + workers().size() + " workers: it sent some to "
                            + serving + ", has ejected " + operator.ejectedWorkers() + ", and answered " + latest,
                    () -> {
                        latest.clear();
                        latest.addAll(probe(entry));
                        if (operator.ejectedWorkers() > 0 || !latest.stream().allMatch(CallerAnswer::isAnswered)) {
                            serving.clear();
                            return false;
                        }
                        latest.forEach(answer ->
                                serving.add(answer.body().path("worker").asText()));
                        return serving.size() == workers().size();
                    });
        }
    }

    private List<CallerAnswer> probe(EntryProcess entry) {
        List<CompletableFuture<CallerAnswer>> sent = new ArrayList<>();
        for (int i = 0; i < PROBES_PER_WORKER * workers().size(); i++) {
            sent.add(CallerClient.send(entry, CallerRequest.to(pool)));
        }
        return sent.stream().map(CompletableFuture::join).toList();
    }

    private int usable(Operator operator) {
        JsonNode report = operator.get("/v1/pools/" + pool);
        return report.path("usable").asInt();
    }

    /**
     * Returns a configuration of the pool as YAML.
     *
     * @param floor  the pool's floor
     * @return the text, not null
     */
    public String configuration(int floor) {
        List<String> racks = new ArrayList<>();
        for (int i = 0; i * PER_RACK < workers.workers().size(); i++) {
            racks.add(pool + "-r" + (i + 1));
        }
        return "pools:\n  " + pool + ":\n    budget: {floor: " + floor + ", reserve: none}\n    initialRacks: " + racks
                + "\n    maxBodyBytes: 65536\nweights: {bufferCost: 3, rollOutTime: 1, moves: 1}\n";
    }

    /** Switches the faults of the platform off. */
    public void clearStoreFaults() {
        Http.faults(platform.endpoint(), "{'down':false,'silent':false,'latencyMillis':0,'loseAnswers':0}");
    }

    /** Switches the faults of the platform and of every worker off. */
    public void clearFaults() {
        clearStoreFaults();
        workers.workers()
                .forEach(worker -> Http.faults(
                        worker.endpoint(),
                        "{'slowMillis':0,'failFast':false,'breakAnswers':0,'hang':false,'rejectAll':false}"));
    }

    public String pool() {
        return pool;
    }

    public Endpoint platform() {
        return platform.endpoint();
    }

    public List<WorkerServer> workers() {
        return workers.workers();
    }

    public List<EntryProcess> entries() {
        return List.copyOf(entries);
    }

    public List<EntryProcess> running() {
        return entries.stream().filter(EntryProcess::isAlive).toList();
    }

    public RunLogs runLogs() {
        return RunLogs.read(runLog);
    }

    @Override
    public void close() {
        entries.forEach(EntryProcess::close);
        relays.forEach(RelayServer::close);
        workers.close();
        platform.close();
        try {
            Files.deleteIfExists(runLog);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
