package org.trefoilpost.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.standins.platform.PlatformServer;
import org.trefoilpost.standins.platform.PlatformSettings;
import org.trefoilpost.standins.worker.WorkerFleet;
import org.trefoilpost.standins.worker.WorkerSettings;

/**
 * Entry processes before a platform stand-in in this process, with workers that either serve or are only listed.
 */
final class MeasuredFleet implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PER_RACK = 4;
    private static final int MAX_WAITS = 240;
    private static final long WAIT_MILLIS = 500;

    private final PlatformServer platform;
    private final List<WorkerFleet> workers = new ArrayList<>();
    private final List<MeasuredEntry> entries = new ArrayList<>();

    private MeasuredFleet(PlatformServer platform) {
        this.platform = platform;
    }

    /**
     * Starts a platform without limits and no workers.
     *
     * @return the fleet, not null
     * @throws IOException if no endpoint can be bound
     */
    static MeasuredFleet start() throws IOException {
        return new MeasuredFleet(PlatformServer.start(new PlatformSettings().goneAfterMillis(0)));
    }

    /** Starts worker stand-ins that serve requests at once, and returns the first one's address. */
    Endpoint serve(int count, int slots) throws IOException {
        WorkerSettings settings = new WorkerSettings()
                .platform(platform.endpoint())
                .limits(slots, slots)
                .times(0, 300);
        WorkerFleet fleet = WorkerFleet.start(settings, count, "w", PER_RACK);
        workers.add(fleet);
        return fleet.workers().get(0).endpoint();
    }

    /** Lists workers with the platform that nothing serves. */
    void list(int count) {
        for (int worker = 1; worker <= count; worker++) {
            String body = String.format(
                    Locale.ROOT,
                    "{\"id\":\"w-%d\",\"rack\":\"w-r%d\",\"dataCentre\":\"dc1\",\"region\":\"region1\","
                            + "\"endpoint\":\"127.0.0.1:9\",\"incarnation\":1,\"state\":\"live\",\"cores\":32,"
                            + "\"memoryMb\":131072,\"accelerators\":1,\"slots\":8,\"connections\":64}",
                    worker,
                    1 + (worker - 1) / PER_RACK);
            Http.put("http://" + platform.endpoint() + "/standin/instances/w-" + worker, body);
        }
    }

    /** Starts entries in turn. */
    void startEntries(int count, int maxHeapMib) throws IOException {
        for (int entry = 1; entry <= count; entry++) {
            entries.add(MeasuredEntry.start("entry-" + entry, platform.endpoint(), maxHeapMib));
        }
    }

    /** Deals the racks to pools, puts that in force, and waits until every entry has all workers in its pools. */
    void configure(int workerCount, int pools) {
        Http.put("http://" + entries.get(0).operators() + "/v1/configuration", configuration(workerCount, pools));
        for (MeasuredEntry entry : entries) {
            awaitMembers(entry, workerCount);
        }
    }

    private static String configuration(int workerCount, int pools) {
        int racks = (workerCount + PER_RACK - 1) / PER_RACK;
        List<String> texts = new ArrayList<>();
        for (int pool = 0; pool < pools; pool++) {
            List<String> names = new ArrayList<>();
            for (int rack = pool; rack < racks; rack += pools) {
                names.add("\"w-r" + (rack + 1) + "\"");
            }
            texts.add("\"pool-" + pool + "\":{\"budget\":{\"floor\":1,\"reserve\":\"none\"},\"initialRacks\":["
                    + String.join(",", names) + "]}");
        }
        return "{\"pools\":{" + String.join(",", texts)
                + "},\"teams\":{},\"weights\":{\"bufferCost\":1.0,\"rollOutTime\":0.1,\"moves\":5.0}}";
    }

    private static void awaitMembers(MeasuredEntry entry, int workerCount) {
        for (int wait = 0; wait < MAX_WAITS; wait++) {
            if (has(entry, workerCount)) {
                return;
            }
            sleep(WAIT_MILLIS);
        }
        throw new IllegalStateException("an entry didn't take in its " + workerCount + " workers");
    }

    private static boolean has(MeasuredEntry entry, int workerCount) {
        try {
            return members(entry) >= workerCount;
        } catch (UncheckedIOException e) {
            return false;
        }
    }

    private static int members(MeasuredEntry entry) {
        int members = 0;
        for (JsonNode pool :
                json(Http.get("http://" + entry.operators() + "/v1/pools")).findValues("members")) {
            members += pool.asInt();
        }
        return members;
    }

    List<MeasuredEntry> entries() {
        return entries;
    }

    /** Returns the platform's counts of calls. */
    JsonNode counters() {
        return json(Http.get("http://" + platform.endpoint() + "/standin/counters"));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static JsonNode json(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() {
        entries.parallelStream().forEach(MeasuredEntry::close);
        workers.forEach(WorkerFleet::close);
        platform.close();
    }
}
