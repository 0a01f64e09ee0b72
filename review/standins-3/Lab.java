import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.URL;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Small stand-ins of the platform for the cases of the third review: the metadata store, the machine service, workers and a
 * client, and entries as processes that run the command of the deploy file. All on loopback addresses.
 */
public class Lab {
    static final ObjectMapper JSON = new ObjectMapper();
    static final long START = System.nanoTime();
    /** The host of all routes. */
    static final String HOST = "jobs.example";

    static {
        // Without this the client replaces the header Host.
        System.setProperty("sun.net.http.allowRestrictedHeaders", "true");
    }

    final Path folder;
    final Path temp;
    final String net;
    final Store store = new Store();
    final Machines machines = new Machines();
    final List<Worker> workers = new java.util.concurrent.CopyOnWriteArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final PrintWriter record;
    final HttpServer storeServer;
    final HttpServer machineServer;
    final HttpServer adviceServer;
    /** The runs that exist at this moment, by task, and what was seen of it. */
    final Map<String, List<String>> running = new HashMap<>();
    volatile String twice = "";
    /** The ends `done` that a worker still lists or that were taken note of, by task; those after which the task was started. */
    final Map<String, List<String>> doneEnds = new ConcurrentHashMap<>();
    final java.util.Set<String> notedEnds = ConcurrentHashMap.newKeySet();
    final java.util.Set<String> startedAfterEnds = ConcurrentHashMap.newKeySet();

    Lab(Path folder, Path temp) throws IOException {
        this.folder = folder;
        this.temp = temp;
        long pid = ProcessHandle.current().pid();
        this.net = "127." + (64 + pid / 250 % 128) + "." + (1 + pid % 250) + ".";
        this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        storeServer = serve(net + "1", store::handle);
        machineServer = serve(net + "1", machines::handle);
        adviceServer = serve(net + "1", exchange -> answer(exchange, 429, JSON.createObjectNode()));
        Thread leases = new Thread(() -> {
            while (true) {
                sleep(5);
                store.expire();
                workers.forEach(Worker::expire);
            }
        });
        leases.setDaemon(true);
        leases.start();
    }

    static long ms() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    synchronized void note(String line) {
        record.println(String.format("%9.3f s  %s", (System.nanoTime() - START) / 1e9, line));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    interface Handler {
        void handle(HttpExchange exchange) throws IOException;
    }

    HttpServer serve(String ip, Handler handler) throws IOException {
        return serve(new InetSocketAddress(ip, 0), handler);
    }

    HttpServer serve(InetSocketAddress address, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(address, 200);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try {
                handler.handle(exchange);
            } catch (IOException e) {
                exchange.close();
            } catch (RuntimeException e) {
                note("stand-in failed: " + e);
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    static JsonNode body(HttpExchange exchange) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        return bytes.length == 0 ? JSON.createObjectNode() : JSON.readTree(bytes);
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        if (text != null) {
            for (String part : text.split("&")) {
                String[] pair = part.split("=", 2);
                result.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    static void answer(HttpExchange exchange, int status, JsonNode json) throws IOException {
        byte[] bytes = JSON.writeValueAsBytes(json);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** The metadata store: linearizable, loses nothing. */
    static final class Store {
        record Item(String key, String value, long revision, long createRev, long lease) {}

        record Event(long revision, String key, Item item) {}

        private final TreeMap<String, Item> items = new TreeMap<>();
        private final List<Event> events = new ArrayList<>();
        private final Map<Long, long[]> leases = new HashMap<>();
        private long revision = 1000;
        private long lastLease = 70;

        synchronized long put(String key, JsonNode value) {
            revision++;
            write(key, Base64.getEncoder().encodeToString(value.toString().getBytes(StandardCharsets.UTF_8)), 0);
            notifyAll();
            return revision;
        }

        synchronized void delete(String key) {
            revision++;
            remove(key);
            notifyAll();
        }

        synchronized String text(String key) {
            Item item = items.get(key);
            return item == null ? "" : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
        }

        synchronized List<String> keys(String prefix) {
            return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
        }

        private void write(String key, String value, long lease) {
            Item former = items.get(key);
            Item item = new Item(key, value, revision, former == null ? revision : former.createRev, lease);
            items.put(key, item);
            events.add(new Event(revision, key, item));
        }

        private void remove(String key) {
            if (items.remove(key) != null) {
                events.add(new Event(revision, key, null));
            }
        }

        synchronized void expire() {
            List<Long> ended = leases.entrySet().stream()
                    .filter(lease -> ms() > lease.getValue()[1])
                    .map(Map.Entry::getKey)
                    .toList();
            ended.forEach(this::endLease);
        }

        private void endLease(long lease) {
            if (leases.remove(lease) != null) {
                revision++;
                items.values().stream().filter(item -> item.lease == lease).map(Item::key).toList().forEach(this::remove);
                notifyAll();
            }
        }

        private static ObjectNode json(Item item) {
            return JSON.createObjectNode().put("key", item.key).put("value", item.value).put("revision", item.revision)
                    .put("createRev", item.createRev).put("lease", item.lease);
        }

        void handle(HttpExchange exchange) throws IOException {
            String path = exchange.getRequestURI().getPath();
            Map<String, String> query = query(exchange);
            JsonNode body = body(exchange);
            ObjectNode result = JSON.createObjectNode();
            int status = 200;
            synchronized (this) {
                if (path.equals("/kv-key")) {
                    Item item = items.get(query.get("key"));
                    status = item == null ? 404 : 200;
                    result = item == null ? result : json(item);
                    result.put("asOf", revision);
                } else if (path.equals("/kv-range")) {
                    ArrayNode list = result.putArray("items");
                    boolean more = false;
                    for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
                        if (item.key.startsWith(query.get("prefix"))) {
                            more = list.size() == 500;
                            if (more) {
                                break;
                            }
                            list.add(json(item));
                        }
                    }
                    result.put("hasMore", more).put("asOf", revision);
                } else if (path.equals("/kv-watch")) {
                    long after = Long.parseLong(query.get("after"));
                    long until = ms() + Long.parseLong(query.get("waitMs"));
                    ArrayNode list = result.putArray("events");
                    while (true) {
                        for (Event event : events) {
                            if (event.revision > after && event.key.startsWith(query.get("prefix"))) {
                                list.add(event.item != null
                                        ? json(event.item)
                                        : JSON.createObjectNode().put("key", event.key)
                                                .put("revision", event.revision).put("deleted", true));
                            }
                        }
                        if (!list.isEmpty() || ms() >= until) {
                            break;
                        }
                        try {
                            wait(Math.max(1, until - ms()));
                        } catch (InterruptedException e) {
                            return;
                        }
                    }
                    result.put("asOf", revision);
                } else if (path.equals("/kv-txn")) {
                    status = change(body, result);
                } else if (path.equals("/kv-lease")) {
                    long ttl = Math.max(1000, body.path("ttlMs").asLong());
                    lastLease++;
                    leases.put(lastLease, new long[] {ttl, ms() + ttl});
                    result.put("lease", lastLease).put("ttlMs", ttl);
                } else if (path.startsWith("/kv-keep/")) {
                    long[] lease = leases.get(Long.parseLong(path.substring(9)));
                    status = lease == null ? 404 : 200;
                    if (lease != null) {
                        lease[1] = ms() + lease[0];
                    }
                } else if (path.startsWith("/kv-lease-end/")) {
                    endLease(Long.parseLong(path.substring(14)));
                } else {
                    status = 400;
                }
            }
            // An answer takes about as long as the platform's pages say.
            sleep(4);
            answer(exchange, status, result);
        }

        private int change(JsonNode body, ObjectNode result) {
            boolean met = true;
            for (JsonNode row : body.path("expectedRev")) {
                Item item = items.get(row.path("key").asText());
                met &= (item == null ? 0 : item.revision) == row.path("revision").asLong();
            }
            if (!met) {
                ArrayNode list = result.putArray("items");
                for (JsonNode row : body.path("expectedRev")) {
                    Item item = items.get(row.path("key").asText());
                    list.add(item != null ? json(item) : JSON.createObjectNode().put("key", row.path("key").asText())
                            .put("revision", 0));
                }
                return 412;
            }
            for (JsonNode put : body.path("puts")) {
                if (put.path("lease").asLong() != 0 && !leases.containsKey(put.path("lease").asLong())) {
                    return 404;
                }
                if (put.path("key").asText().startsWith("op/") || put.path("key").asText().startsWith("servers/")) {
                    return 403;
                }
            }
            revision++;
            body.path("puts").forEach(put ->
                    write(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong()));
            body.path("remove").forEach(key -> remove(key.asText()));
            notifyAll();
            result.put("revision", revision);
            return 200;
        }
    }

    /** The machine service: lists the machines, and carries out no moves. */
    final class Machines {
        void handle(HttpExchange exchange) throws IOException {
            body(exchange);
            if (!exchange.getRequestURI().getPath().equals("/machines")) {
                answer(exchange, 400, JSON.createObjectNode());
                return;
            }
            ObjectNode result = JSON.createObjectNode();
            ArrayNode list = result.putArray("machines");
            for (Worker worker : workers) {
                ObjectNode machine = list.addObject();
                machine.put("machine", worker.machine).put("pool", worker.service).put("state", worker.lost ? "down" : "up")
                        .put("zone", "hall").put("id", worker.id);
                machine.putArray("labels").add("a").add(worker.rack);
                machine.putObject("capacity").put("cpu", 32000).put("memMb", 131072);
            }
            result.put("nextToken", "");
            answer(exchange, 200, result);
        }
    }

    /** What a worker has started. */
    static final class Task {
        final String name;
        final int run;
        final long endMillis;
        final long startMillis;

        Task(String name, int run, long startMillis, long endMillis) {
            this.name = name;
            this.run = run;
            this.startMillis = startMillis;
            this.endMillis = endMillis;
        }
    }

    /** A worker. Its clock, ends and fencing token begin anew with each life. */
    final class Worker {
        final String id;
        final String machine;
        final String service;
        final String rack;
        final long clockOffset;
        InetSocketAddress address;
        HttpServer server;
        private long bornNanos;
        private long firstClock;
        private long born;
        private long token;
        private long until;
        private long lastEnd;
        private long sequence;
        private final Map<String, Task> tasks = new LinkedHashMap<>();
        private final Map<String, Integer> highestEnded = new HashMap<>();
        private final List<Object[]> ended = new ArrayList<>();
        private boolean up;
        volatile boolean cut;
        /** Whether the worker is cut off from the store, while the entries reach it. */
        volatile boolean storeCut;
        /** Whether the worker has been lost for good; its machine is down and answers nothing. */
        volatile boolean lost;
        volatile long registeredMillis;
        private boolean registered;
        volatile long lastCallMillis;
        private int holds;
        private long registerMillis;

        Worker(String id, String service, String rack, long clockOffset) throws IOException {
            this.id = id;
            this.machine = "m-" + id;
            this.service = service;
            this.rack = rack;
            this.clockOffset = clockOffset;
            server = serve(net + "2", this::handle);
            address = server.getAddress();
            begin(clockOffset);
            registerMillis = 0;
            threads.execute(this::beat);
        }

        private synchronized void begin(long clock) {
            bornNanos = System.nanoTime();
            firstClock = clock;
            born = System.currentTimeMillis();
            token = 0;
            until = Long.MIN_VALUE;
            lastEnd = 0;
            sequence = 0;
            tasks.clear();
            highestEnded.clear();
            ended.clear();
            holds = 0;
            up = true;
        }

        synchronized long clock() {
            return firstClock + (System.nanoTime() - bornNanos) / 1_000_000;
        }

        private void beat() {
            while (true) {
                boolean due;
                synchronized (this) {
                    due = up && ms() >= registerMillis;
                    if (due) {
                        registerMillis = ms() + 1500;
                    }
                }
                if (due) {
                    register();
                }
                sleep(10);
            }
        }

        private void register() {
            if (storeCut) {
                return;
            }
            registeredMillis = ms();
            ObjectNode entry = JSON.createObjectNode();
            synchronized (this) {
                entry.put("service", service)
                        .put("address", address.getAddress().getHostAddress() + ":" + address.getPort())
                        .put("zone", "hall").put("version", "1").put("slots", 8).put("state", "ready")
                        .put("coldRemainingMs", 0).put("sequence", sequence++).put("machine", machine)
                        .put("born", born);
                entry.putArray("labels").add("a").add(rack);
                entry.putObject("capacity").put("cpu", 32000).put("memMb", 131072);
                if (sequence == 1 || !registered) {
                    note("worker " + id + " registers, born " + born);
                }
                registered = true;
            }
            store.put("servers/" + id, entry);
        }

        /** The store removes the entry of a worker that has been silent for three heartbeats. */
        private void removeIfSilent() {
            if (registered && ms() - registeredMillis > 4500) {
                registered = false;
                note("the entry of worker " + id + " is removed after three heartbeats of silence");
                store.delete("servers/" + id);
            }
        }

        /** Returns whether a task has ended here, its end was taken note of, and nothing else is to be done. */
        synchronized boolean idleAfter(String task) {
            return up && highestEnded.containsKey(task) && tasks.isEmpty() && ended.isEmpty() && holds == 0
                    && ms() - lastCallMillis > 60;
        }

        synchronized boolean runs(String prefix) {
            return tasks.values().stream().anyMatch(task -> task.name.startsWith(prefix));
        }

        synchronized long leaseLeft() {
            return until - clock();
        }

        /** Loses the worker for good: what runs ends, and nothing is heard of it any more. */
        synchronized void lose() {
            note("worker " + id + " is lost for good, its machine is down");
            new ArrayList<>(tasks.values()).forEach(task -> end(task, "crashed"));
            tasks.clear();
            up = false;
            lost = true;
            cut = true;
        }

        /** Ends the process and starts another one under the same identifier and address. */
        void restart(long downMillis, long registersAfterMillis) throws IOException {
            synchronized (this) {
                up = false;
                new ArrayList<>(tasks.values()).forEach(task -> end(task, "crashed"));
                tasks.clear();
                for (Object[] end : ended) {
                    doneEnds.getOrDefault((String) end[1], new ArrayList<>()).remove(endId((long) end[0]));
                }
            }
            note("worker " + id + " crashes, its clock was " + clock());
            server.stop(0);
            sleep(downMillis);
            synchronized (this) {
                begin(0);
                registerMillis = ms() + registersAfterMillis;
                server = serve(address, this::handle);
            }
            note("worker " + id + " is back under its id, its clock begins at 0, born " + born);
        }

        private void end(Task task, String how) {
            tasks.remove(task.name + "#" + task.run);
            highestEnded.merge(task.name, task.run, Math::max);
            synchronized (running) {
                running.getOrDefault(task.name, new ArrayList<>()).remove(id + " run " + task.run);
            }
            note("worker " + id + " ends " + task.name + " run " + task.run + " " + how);
            if (how.equals("done")) {
                doneEnds.computeIfAbsent(task.name, any -> new java.util.concurrent.CopyOnWriteArrayList<>())
                        .add(endId(lastEnd + 1));
            }
            if (!how.equals("crashed")) {
                ended.add(new Object[] {++lastEnd, task.name, task.run, how});
            }
            notifyAll();
        }

        synchronized void expire() {
            removeIfSilent();
            if (!up) {
                return;
            }
            for (Task task : new ArrayList<>(tasks.values())) {
                if (clock() >= until) {
                    end(task, "lapsed");
                } else if (ms() >= task.endMillis) {
                    end(task, "done");
                }
            }
        }

        private void lease(JsonNode body) {
            if (body.has("untilMs")) {
                until = Math.max(until, Math.min(body.path("untilMs").asLong(), clock() + HOLD_MAX_MILLIS));
            }
        }

        void handle(HttpExchange exchange) throws IOException {
            if (cut) {
                // Nothing that is sent during the cut arrives, and nobody hears of that.
                waitForCutEnd();
                exchange.close();
                return;
            }
            JsonNode body = body(exchange);
            String path = exchange.getRequestURI().getPath();
            String expected = exchange.getRequestHeaders().getFirst("X-Trefoilpost-Expected-Instance");
            ObjectNode result = JSON.createObjectNode();
            int status = 200;
            long generation;
            synchronized (this) {
                generation = bornNanos;
                lastCallMillis = ms();
                if (expected != null && !expected.equals(id)) {
                    status = 421;
                } else if (body.path("fencingToken").asLong() < token) {
                    status = 409;
                    result.put("reason", "fence");
                } else {
                    token = body.path("fencingToken").asLong();
                    if (path.equals("/run-start")) {
                        status = start(body, result);
                    } else if (path.equals("/run-stop")) {
                        Task task = tasks.get(body.path("task").asText() + "#" + body.path("run").asInt());
                        note("worker " + id + " is told to stop " + body.path("task").asText() + " run "
                                + body.path("run").asInt());
                        highestEnded.merge(body.path("task").asText(), body.path("run").asInt(), Math::max);
                        if (task != null) {
                            end(task, "stopped");
                        }
                    } else if (path.equals("/hold")) {
                        hold(body, result);
                    } else if (!path.equals("/pace")) {
                        status = 400;
                    }
                }
                result.put("clockMs", clock()).put("born", born);
            }
            if (cut) {
                waitForCutEnd();
                exchange.close();
                return;
            }
            if (generation != bornNanos) {
                exchange.close();
                return;
            }
            answer(exchange, status, result);
        }

        private void waitForCutEnd() {
            long untilMillis = ms() + 8000;
            while (cut && ms() < untilMillis) {
                sleep(10);
            }
        }

        private String endId(long number) {
            return id + "/" + bornNanos + "/" + number;
        }

        /** Handles that an end `done` is taken note of; a start after that end breaks the rule. */
        private void takenNoteOf(String name, String end) {
            notedEnds.add(end);
            if (startedAfterEnds.contains(end)) {
                twice = name + " was started after a run had ended as done, of which note is taken on " + id;
                note("TWICE: " + twice);
            }
        }

        private int start(JsonNode body, ObjectNode result) {
            String name = body.path("task").asText();
            int run = body.path("run").asInt();
            long asked = body.path("untilMs").asLong() - clock();
            String reason = "";
            if (tasks.containsKey(name + "#" + run)) {
                lease(body);
                return 200;
            }
            if (run <= highestEnded.getOrDefault(name, 0)) {
                reason = "old";
                lease(body);
            } else if (asked <= 0) {
                reason = "late";
            }
            if (!reason.isEmpty()) {
                note("worker " + id + " rejects " + name + " run " + run + ": " + reason);
                result.put("reason", reason);
                return 409;
            }
            lease(body);
            long duration = 100;
            int step = Integer.parseInt(name.split("\\.")[2]);
            String[] durations = body.path("spec").asText().split(" ");
            duration = Long.parseLong(durations[Math.min(step, durations.length - 1)]);
            tasks.put(name + "#" + run, new Task(name, run, ms(), ms() + duration));
            note("worker " + id + " starts " + name + " run " + run + ", lease asked for " + asked + " ms more, has "
                    + (until - clock()) + " ms");
            for (String end : doneEnds.getOrDefault(name, List.of())) {
                startedAfterEnds.add(end);
                if (notedEnds.contains(end)) {
                    twice = name + " is started on " + id + " after a run has ended as done and was taken note of";
                    note("TWICE: " + twice);
                }
            }
            synchronized (running) {
                List<String> runs = running.computeIfAbsent(name, any -> new ArrayList<>());
                if (!runs.isEmpty()) {
                    twice = name + " is started as run " + run + " on " + id + " while it runs as " + runs;
                    note("TWICE: " + twice);
                }
                runs.add(id + " run " + run);
            }
            notifyAll();
            return 200;
        }

        private void hold(JsonNode body, ObjectNode result) {
            long seen = body.path("lastSeen").asLong();
            long former = until;
            lease(body);
            if (until > former && body.path("untilMs").asLong() - clock() > HOLD_MAX_MILLIS) {
                note("worker " + id + " is given a lease until " + body.path("untilMs").asLong() + " at " + clock()
                        + " on its clock, and shortens it to " + HOLD_MAX_MILLIS + " ms");
            }
            for (Object[] end : ended) {
                if ((long) end[0] <= seen && "done".equals(end[3])) {
                    takenNoteOf((String) end[1], endId((long) end[0]));
                }
            }
            ended.removeIf(end -> (long) end[0] <= seen);
            long life = bornNanos;
            long waitUntil = ms() + Math.min(2000, body.path("waitMs").asLong());
            holds++;
            while (ended.isEmpty() && ms() < waitUntil && life == bornNanos && up) {
                try {
                    wait(Math.max(1, waitUntil - ms()));
                } catch (InterruptedException e) {
                    break;
                }
            }
            holds--;
            lastCallMillis = ms();
            ArrayNode list = result.putArray("running");
            for (Task task : tasks.values()) {
                boolean lasts = task.endMillis - task.startMillis >= 300_000;
                long percent = lasts ? Math.min(100, (ms() - task.startMillis) / 5) : Math.min(99, 100 * (ms() - task.startMillis) / Math.max(1, task.endMillis - task.startMillis));
                list.addArray().add(task.name).add(task.run).add("").add(percent).add(0);
            }
            ArrayNode ends = result.putArray("ended");
            for (Object[] end : ended) {
                ends.addArray().add((long) end[0]).add((String) end[1]).add((int) end[2]).add((String) end[3]).add("");
            }
        }
    }

    static final long HOLD_MAX_MILLIS = 10_000;

    /** An entry: a process with the command of the deploy file. */
    final class Entry {
        final String name;
        final String ip;
        final String front;
        final String ready;
        Process process;
        private final Path settings;

        Entry(String name, int host) throws IOException {
            this.name = name;
            this.ip = net + host;
            this.front = ip + ":" + freePort(ip);
            this.ready = ip + ":" + freePort(ip);
            this.settings = temp.resolve(name + ".yaml");
            Files.writeString(settings, String.join("\n",
                    "nodeName: \"" + name + "\"", "role: \"entry\"", "machineClass: \"front\"", "serves: [front]",
                    "ip: \"" + ip + "\"", "zone: \"hall\"", "region: \"casa\"", "zones: {hall: casa}",
                    "listenAddrs: {front: \"" + front + "\", ready: \"" + ready + "\"}",
                    "internalPorts: [" + freePort(ip) + ", " + freePort(ip) + "]",
                    "limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, maxFds: 4100}", "dataDir: null",
                    "discovery: \"platform\"", "entry: \"vip\"", "heartbeatMs: 1500",
                    "contracts: [base, drain, config, cost, recover, health, sched, platform, advice, upkeep, sharing]",
                    "bounds: {stableWindowMs: 3000, ackMs: 4000, drainMs: 2000, graceS: 6, configApplyMs: 2000,"
                            + " holdMaxMs: " + HOLD_MAX_MILLIS + ", stopMs: 400, gangWaitMs: 3000, status_s: 120,"
                            + " fencingEnforced: true, leaseMs: 3000, moveS: 1.5, upkeepS: 2}",
                    "orders: \"call\"", "advice: \"" + address(adviceServer) + "\"",
                    "platform: {address: \"" + address(storeServer) + "\", form: kv, writesPerS: 400, readsPerS: 2000,"
                            + " historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}",
                    "cloudApi: {address: \"" + address(machineServer) + "\", ratePerS: 64.0, duties: [], dutyPerS: 64.0}",
                    ""));
        }

        void start() throws IOException {
            String command = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst().orElseThrow();
            ProcessBuilder builder = new ProcessBuilder(command.split(" "));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("TREFOILPOST_BOOT", settings.toString());
            builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
            process = builder.start();
            note("entry " + name + " is started");
        }

        boolean isReady() {
            return call("GET", "http://" + ready + "/ready", null, 500).status == 200;
        }

        Reply post(String path, JsonNode job) {
            return client("POST", path, job);
        }

        Reply get(String path) {
            return client("GET", path, null);
        }

        private Reply client(String method, String path, JsonNode job) {
            note("client " + method + " " + path + " to " + name + (job == null ? "" : " " + job));
            Reply reply = call(method, "http://" + front + path, job, 3000);
            note("client is answered " + reply.status + " " + reply.text);
            return reply;
        }
    }

    record Reply(int status, String text) {}

    static Reply call(String method, String url, JsonNode json, int timeoutMillis) {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL(url).openConnection();
            connection.setRequestMethod(method);
            connection.setConnectTimeout(timeoutMillis);
            connection.setReadTimeout(timeoutMillis);
            connection.setRequestProperty("Host", HOST);
            connection.setRequestProperty("X-Trefoilpost-Request-Deadline", Integer.toString(timeoutMillis));
            if (json != null) {
                connection.setDoOutput(true);
                connection.setRequestProperty("Content-Type", "application/json");
                connection.getOutputStream().write(JSON.writeValueAsBytes(json));
            }
            int status = connection.getResponseCode();
            var stream = status >= 400 ? connection.getErrorStream() : connection.getInputStream();
            return new Reply(status, stream == null ? "" : new String(stream.readAllBytes(), StandardCharsets.UTF_8));
        } catch (IOException e) {
            return new Reply(0, e.toString());
        }
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    void configure(long version, String service) {
        ObjectNode root = JSON.createObjectNode().put("version", version);
        ObjectNode route = root.putArray("routes").addObject();
        route.put("name", "q-" + service).put("host", HOST).put("prefix", "/" + service + "/").put("service", service)
                .put("priority", 0).put("attempts", 3).put("stretch", 3.0).put("targetDurationMs", 3000);
        root.putArray("services").addObject().put("name", service).put("rejectsOverload", false);
        root.putObject("limits").put("maxBodyBytes", 262144);
        store.put("op/config", root);
    }

    boolean await(long millis, java.util.function.BooleanSupplier condition) {
        long until = ms() + millis;
        while (ms() < until) {
            if (condition.getAsBoolean()) {
                return true;
            }
            sleep(5);
        }
        return condition.getAsBoolean();
    }

    /** Ends what was started, and writes the end of the record. */
    void close(int code, String why) {
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly();
                try {
                    entry.process.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        note("exit " + code + ": " + why);
        System.out.println("exit " + code + ": " + why);
    }
}
