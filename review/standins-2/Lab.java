import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: stand-ins of the store, the machines, the workers and clients, and real entries. */
final class Lab {
    static final class Step {
        int count = 1;
        long cpu = 1_000;
        long memory = 500;
        long workMs = 1_000;
        long estimateMs;
        List<Integer> after = List.of();
        boolean gang;
        boolean checkpointing;
        boolean lasts;
        String requires = "";
        String affinity = "";
        int maxPerServer;
        double failShare;

        Map<String, Object> json() {
            Map<String, Object> json = Json.map("count", count, "cpu", cpu, "memMb", memory);
            put(json, "estRuntimeMs", estimateMs == 0 ? workMs : estimateMs);
            if (!after.isEmpty()) {
                json.put("after", new ArrayList<Object>(after));
            }
            put(json, "gang", gang);
            put(json, "checkpointing", checkpointing);
            put(json, "longRunning", lasts);
            put(json, "requires", requires);
            put(json, "affinity", affinity);
            put(json, "maxPerServer", maxPerServer);
            return json;
        }

        private static void put(Map<String, Object> json, String field, Object value) {
            if (!value.equals("") && !value.equals(false) && !value.equals(0) && !value.equals(0L)) {
                json.put(field, value);
            }
        }
    }

    static final class Job {
        String id;
        String spec;
        List<Step> steps;
        int repeat;
        long firstRunMs;
        long intervalMs;
        long sentAt;
        long acceptedAt;
        long cancelledAt;
        int attempts;
        int rejections;
        boolean begun;
        String shown = "";
        final List<Integer> answers = new ArrayList<>();

        boolean onlyRejected() {
            return attempts > 0 && rejections == attempts;
        }
    }

    static final class Entry {
        String name;
        String ip;
        String front;
        String ready;
        Path settings;
        Path log;
        Process process;
        int starts;
    }

    final Random random;
    final Checks checks = new Checks(this);
    final Map<String, Job> jobs = new TreeMap<>();
    final List<Worker> workers = new java.util.concurrent.CopyOnWriteArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    final String service = "huvo11a";
    final String host = "pule25.example";
    final String prefix = "/puxa400/";
    final long holdMaxMs = 10_000;
    final long stopMs = 200;
    final long gangWaitMs = 3_000;
    final long saveIntervalMs = 500;
    final long restoreMs = 100;
    int attempts = 3;
    Advice advice;
    Store store;
    private Http machines;
    private final Path root;
    private final Path temp;
    private final PrintWriter record;
    private final long begin = now();
    private volatile boolean closed;
    private long configVersion = 7;

    Lab(Path root, Path recordFile, long seed) throws IOException {
        this.root = root;
        this.random = new Random(seed);
        this.temp = Files.createTempDirectory("lab");
        this.record = new PrintWriter(Files.newBufferedWriter(recordFile));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    static long now() {
        return System.nanoTime() / 1_000_000;
    }

    static long wall() {
        return System.currentTimeMillis();
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    long elapsed() {
        return now() - begin;
    }

    synchronized void record(String kind, String what) {
        record.printf("%8.3f %-12s %s%n", elapsed() / 1000.0, kind, what);
        record.flush();
    }

    Step step(String job, int number) {
        Job known = jobs.get(job);
        return known == null || number >= known.steps.size() ? null : known.steps.get(number);
    }

    List<Worker.Run> members(Worker.Run run) {
        List<Worker.Run> members = new ArrayList<>();
        for (Worker worker : workers) {
            for (Worker.Run other : worker.running.values()) {
                if (other.group().equals(run.group())) {
                    members.add(other);
                }
            }
        }
        return members;
    }

    Worker workerOf(Worker.Run run) {
        for (Worker worker : workers) {
            if (worker.running.get(run.task) == run) {
                return worker;
            }
        }
        return workers.get(0);
    }

    /** Starts the platform with workers of 16 cores and 32 GB, in racks of four. */
    void platform(int workerCount) throws Exception {
        store = new Store("127.0.0.1");
        machines = new Http("127.0.0.1", this::machinesCall);
        for (int i = 0; i < workerCount; i++) {
            workers.add(new Worker(this, "m-" + i, service, List.of(i < workerCount - 2 ? "a" : "b", "r1-" + i / 4), 16_000, 32_768));
        }
        configure();
        Http.THREADS.execute(() -> {
            while (!closed) {
                synchronized (this) {
                    long now = now();
                    workers.forEach(worker -> worker.advance(now));
                }
                sleep(5);
            }
        });
        Http.THREADS.execute(() -> {
            while (!closed) {
                for (Worker worker : workers) {
                    beat(worker);
                }
                sleep(1_500);
            }
        });
    }

    /** Adds an empty worker. */
    void addWorker() throws Exception {
        int number = workers.size();
        Worker worker = new Worker(this, "m-" + number, service, List.of("a", "r1-" + number / 4), 16_000, 32_768);
        synchronized (this) {
            workers.add(worker);
            record("worker", worker.machine + " is added as " + worker.id);
        }
        beat(worker);
    }

    void beat(Worker worker) {
        if (worker.alive && !worker.dark && worker.registered) {
            Object entry;
            synchronized (this) {
                entry = worker.entry();
            }
            store.write("servers/" + worker.id, entry);
        }
    }

    void configure() {
        Map<String, Object> route = Json.map("name", "r-u6wsjnb", "host", host, "prefix", prefix, "routeType", "unsafe", "timeoutMs", 3000,
                "targetDurationMs", 2500, "priority", 0, "service", service, "attempts", attempts, "stretch", 2.0);
        if (advice != null) {
            route.put("advice", advice.policy());
        }
        configVersion += 3;
        store.write("op/config", Json.map("version", configVersion, "routes", List.of(route),
                "services", List.of(Json.map("name", service, "healthPath", "/health", "maxConns", 64, "protocol", "h1", "tls", false,
                        "rejectsOverload", false, "spare", false)),
                "limits", Json.map("maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000)));
    }

    private Http.Answer machinesCall(Http.Call call) {
        if (!call.path.equals("/machines")) {
            return new Http.Answer(429, null);
        }
        List<Object> rows = new ArrayList<>();
        synchronized (this) {
            for (Worker worker : workers) {
                Map<String, Object> row = Json.map("machine", worker.machine, "pool", worker.service, "state", worker.alive ? "up" : "down",
                        "zone", "hall-ain", "labels", worker.labels, "capacity", Json.map("cpu", worker.cpu, "memMb", worker.memory, "gpu", 0));
                if (worker.alive) {
                    row.put("id", worker.id);
                }
                rows.add(row);
            }
        }
        return new Http.Answer(200, Json.map("machines", rows, "nextToken", null));
    }

    /** Prepares and starts entries by the command of the deploy file. */
    void entries(int count) throws Exception {
        for (int i = 0; i < count; i++) {
            Entry entry = new Entry();
            entry.name = "front-hall-ain-" + (i + 1);
            entry.ip = freeAddress();
            entry.front = entry.ip + ":8624";
            entry.ready = entry.ip + ":8622";
            entry.settings = temp.resolve(entry.name + ".yaml");
            entry.log = temp.resolve(entry.name + ".log");
            String adviceAddress = advice == null ? new Http("127.0.0.1", call -> new Http.Answer(429, null)).address() : advice.open();
            Files.writeString(entry.settings, String.join("\n",
                    "nodeName: \"" + entry.name + "\"", "role: \"entry\"", "machineClass: \"front\"", "serves:", "  - \"front\"",
                    "ip: \"" + entry.ip + "\"", "zone: \"hall-ain\"", "region: \"casa\"", "zones:", "  hall-ain: \"casa\"",
                    "listenAddrs:", "  front: \"" + entry.front + "\"", "  ready: \"" + entry.ready + "\"",
                    "internalPorts:", "  - 7060", "  - 7075", "seeds: []", "bootstrap: true", "inFaultBudget: false",
                    "limits:", "  cpuShare: 0.75", "  cores: 1", "  memoryMb: 430", "  maxFds: 4100", "  linkMbps: 1000.0", "  diskMb: 0",
                    "dataDir: null", "discovery: \"platform\"", "entry: \"vip\"", "heartbeatMs: 1500",
                    "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sched\", \"platform\", \"advice\", \"upkeep\", \"sharing\"]",
                    "faultTolerance:", "  machines: 1", "  zones: 0", "  regions: 0",
                    "bounds:", "  seedLagS: 3", "  addrReuseS: 2", "  stableWindowMs: 3000", "  ackMs: 4000", "  catchUpS: 4", "  drainMs: 2000",
                    "  graceS: 6", "  lossSlackMs: 200", "  configApplyMs: 2000", "  rollbackSlackMs: 250", "  maxStretchMs: 5000", "  recoveryS: 12",
                    "  holdMaxMs: 10000", "  stopMs: 200", "  gangWaitMs: 3000", "  cancel_ms: 3000", "  visible_ms: 3000", "  early_ms: 250",
                    "  finish_s: 14", "  status_s: 120", "  crossRackFactor: 1.5", "  saveIntervalS: 0.5", "  restoreMs: 100", "  noticeMs: 4500",
                    "  moveS: 1.5", "  upkeepS: 2", "  fencingEnforced: true", "  leaseMs: 3000", "  thawSlackMs: 300", "  paceMs: 100", "  harmMs: 4000",
                    "orders: \"call\"", "advice: \"" + adviceAddress + "\"",
                    "platform:", "  address: \"" + store.address() + "\"", "  form: \"kv\"", "  writesPerS: 400", "  readsPerS: 2000", "  historyS: 20",
                    "  valueBytes: 1048576", "  ttlMinMs: 1000",
                    "cloudApi:", "  address: \"" + machines.address() + "\"", "  ratePerS: 64.0", "  duties: []", "  dutyPerS: 64.0", ""));
            entries.add(entry);
            start(entry);
        }
        for (Entry entry : entries) {
            awaitReady(entry);
        }
    }

    /** Returns a loopback address at which the ports of an entry are free; all entries have the same ports. */
    private static String freeAddress() throws IOException {
        Random addresses = new Random();
        for (int i = 0; i < 100; i++) {
            String address = "127." + (10 + addresses.nextInt(200)) + "." + addresses.nextInt(250) + "." + (2 + addresses.nextInt(250));
            boolean free = true;
            for (int port : List.of(8624, 8622, 9464, 7060)) {
                try (java.net.ServerSocket socket = new java.net.ServerSocket()) {
                    socket.bind(new java.net.InetSocketAddress(address, port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return address;
            }
        }
        throw new IOException("no loopback address has free ports");
    }

    void start(Entry entry) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IOException("the deploy file has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(matcher.group(1).split(" "))).directory(root.toFile());
        builder.environment().put("TREFOILPOST_BOOT", entry.settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(entry.log.toFile()));
        entry.process = builder.start();
        entry.starts++;
        record("entry", entry.name + " started, pid " + entry.process.pid());
        Process started = entry.process;
        started.onExit().thenRun(() -> record("entry", entry.name + " ended with " + started.exitValue()));
    }

    void signal(Entry entry, String name) throws Exception {
        record("signal", name + " " + entry.name);
        new ProcessBuilder("kill", "-" + name, Long.toString(entry.process.pid())).start().waitFor();
    }

    void awaitReady(Entry entry) {
        long end = now() + 25_000;
        while (now() < end && entry.process.isAlive()) {
            try {
                HttpURLConnection probe = (HttpURLConnection) URI.create("http://" + entry.ready + "/ready").toURL().openConnection();
                probe.setConnectTimeout(500);
                probe.setReadTimeout(500);
                if (probe.getResponseCode() == 200) {
                    record("entry", entry.name + " ready");
                    return;
                }
            } catch (IOException e) {
                // not yet
            }
            sleep(50);
        }
        throw new IllegalStateException(entry.name + " did not become ready");
    }

    /** Returns the entry that last wrote the claim of the service, as the store sees it. */
    Entry owner() {
        String name = store.value("trefoilpost/live/pool/" + service).split("\n")[0];
        return entries.stream().filter(entry -> entry.name.equals(name)).findFirst().orElse(entries.get(0));
    }

    Job job(List<Step> steps) {
        Job job = new Job();
        job.id = String.format("%016x", random.nextLong());
        job.spec = "work of " + job.id;
        job.steps = steps;
        return job;
    }

    /** Hands a job in as a client does: up to four retries with the same identifier, at other entries. */
    void submit(Job job) {
        synchronized (this) {
            jobs.put(job.id, job);
        }
        List<Object> steps = new ArrayList<>();
        job.steps.forEach(step -> steps.add(step.json()));
        Map<String, Object> body = Json.map("spec", job.spec, "steps", steps);
        if (job.repeat > 0) {
            body.put("repeatCount", job.repeat);
            body.put("firstRunMs", job.firstRunMs);
            body.put("intervalMs", job.intervalMs);
        }
        String text = Json.write(body);
        job.sentAt = now();
        int at = random.nextInt(entries.size());
        for (int attempt = 0; attempt < 5; attempt++) {
            Reply reply = call("POST", entries.get((at + attempt) % entries.size()), job.id, text);
            synchronized (this) {
                job.attempts++;
                job.answers.add(reply.status);
                job.rejections += reply.status == 429 || reply.status == 503 || reply.status == 404 ? 1 : 0;
            }
            if (reply.status / 100 == 2) {
                job.acceptedAt = now();
                return;
            }
            if (reply.status == 400 || reply.status == 404) {
                return;
            }
            sleep(reply.status == 429 || reply.status == 503 ? Math.max(200, reply.retryAfterMs) : 100);
        }
    }

    record Reply(int status, String body, long retryAfterMs) {}

    Reply call(String method, Entry entry, String id, String body) {
        long sent = now();
        Reply reply = exchange(method, entry, id, body);
        if (!method.equals("GET") && reply.status != 200 || method.equals("GET") && reply.status != 200 || jobs.size() < 1_000) {
            record("client", method + " " + id + " at " + entry.name + " -> " + reply.status + " " + reply.body + " after " + (now() - sent) + " ms");
        }
        return reply;
    }

    private Reply exchange(String method, Entry entry, String id, String body) {
        try (java.net.Socket socket = new java.net.Socket()) {
            String[] address = entry.front.split(":");
            socket.connect(new java.net.InetSocketAddress(address[0], Integer.parseInt(address[1])), 1_000);
            socket.setSoTimeout(3_000);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + prefix + id + " HTTP/1.1\r\nHost: " + host + "\r\nX-Trefoilpost-Request-Deadline: 3000\r\n"
                    + "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().write(bytes);
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            if (answer.isEmpty()) {
                return new Reply(0, "closed", 0);
            }
            int split = answer.indexOf("\r\n\r\n");
            Matcher retry = Pattern.compile("(?im)^retry-after: ([0-9]+)").matcher(answer);
            return new Reply(Integer.parseInt(answer.substring(9, 12)), split < 0 ? "" : answer.substring(split + 4),
                    retry.find() ? Long.parseLong(retry.group(1)) * 1000 : 0);
        } catch (IOException | RuntimeException e) {
            return new Reply(0, e.getClass().getSimpleName(), 0);
        }
    }

    /** Returns the state of a job as a client reads it, with retries; empty if no entry answers. */
    String state(String id) {
        for (int attempt = 0; attempt < 4; attempt++) {
            Reply reply = call("GET", entries.get(random.nextInt(entries.size())), id, null);
            if (reply.status == 200) {
                return Json.text(Json.object(reply.body), "state");
            }
            if (reply.status == 410) {
                return "410";
            }
            sleep(100);
        }
        return "";
    }

    void crash(Worker worker, long downMs, boolean dark) {
        synchronized (this) {
            record("crash", worker.machine + " " + worker.id + " with " + worker.running.keySet());
            if (dark) {
                worker.dark = true;
            }
            worker.crash();
        }
        String former = worker.id;
        Http.THREADS.execute(() -> {
            sleep(4_500);
            store.delete("servers/" + former);
        });
        Http.THREADS.execute(() -> {
            sleep(downMs);
            synchronized (this) {
                worker.begin();
                record("worker", worker.machine + " is " + worker.id);
            }
            beat(worker);
        });
    }

    void copyLogs(Path directory) throws IOException {
        Files.createDirectories(directory);
        for (Entry entry : entries) {
            Files.copy(entry.log, directory.resolve(entry.name + ".log"), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
    }

    private void endProcesses() {
        closed = true;
        for (Entry entry : entries) {
            if (entry.process != null) {
                entry.process.destroyForcibly();
                try {
                    entry.process.waitFor();
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
        try (var files = Files.list(temp)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // the temporary folder stays
        }
        temp.toFile().delete();
    }

    Map<String, Object> summary() {
        return new LinkedHashMap<>();
    }
}
