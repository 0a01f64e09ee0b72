import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.map("key", key, "value", value, "revision", revision, "createRev", created, "lease", lease);
        }
    }

    private record Event(long revision, String key, Map<String, Object> json) {}

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 70_000;
    private final Http http;
    /** The share of the writes that are done and not answered, and the share that is done some seconds later. */
    volatile double lostShare;
    volatile double lateShare;
    /** Answers no call while true. */
    volatile boolean silent;
    private final java.util.Random random = new java.util.Random(1);

    Store(String address) throws Exception {
        http = new Http(address, this::handle);
        Http.THREADS.execute(() -> {
            while (true) {
                Lab.sleep(20);
                expire();
            }
        });
    }

    String address() {
        return http.address();
    }

    private Http.Answer handle(Http.Call call) throws Exception {
        Lab.sleep(4);
        if (silent) {
            return null;
        }
        if (call.path.equals("/kv-txn")) {
            double draw = random.nextDouble();
            if (draw < lateShare) {
                Http.THREADS.execute(() -> {
                    Lab.sleep(1_000 + random.nextInt(5_000));
                    handleAtOnce(call);
                });
                return null;
            }
            if (draw < lateShare + lostShare) {
                handleAtOnce(call);
                return null;
            }
        }
        if (call.path.equals("/kv-watch")) {
            return watch(call.parameter("prefix"), Long.parseLong(call.parameter("after")), Long.parseLong(call.parameter("waitMs")));
        }
        return handleAtOnce(call);
    }

    private synchronized Http.Answer handleAtOnce(Http.Call call) {
        String path = call.path;
        if (path.equals("/kv-key")) {
            Item item = items.get(call.parameter("key"));
            if (item == null) {
                return new Http.Answer(404, null);
            }
            Map<String, Object> json = item.json();
            json.put("asOf", revision);
            return new Http.Answer(200, json);
        } else if (path.equals("/kv-range")) {
            List<Object> found = new ArrayList<>();
            boolean more = false;
            for (Item item : items.tailMap(call.parameter("prefix")).values()) {
                if (!item.key.startsWith(call.parameter("prefix"))) {
                    break;
                }
                if (item.key.compareTo(call.parameter("after")) > 0 || call.parameter("after").isEmpty()) {
                    if (found.size() == 500) {
                        more = true;
                        break;
                    }
                    found.add(item.json());
                }
            }
            return new Http.Answer(200, Json.map("items", found, "hasMore", more, "asOf", revision));
        } else if (path.equals("/kv-txn")) {
            return transact(call.body);
        } else if (path.equals("/kv-lease")) {
            long ttl = Math.max(1_000, Json.number(call.body, "ttlMs"));
            leases.put(++lastLease, new long[] {ttl, Lab.now() + ttl});
            return new Http.Answer(200, Json.map("lease", lastLease, "ttlMs", ttl));
        }
        long lease = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        long[] times = leases.get(lease);
        if (path.startsWith("/kv-keep/")) {
            if (times == null) {
                return new Http.Answer(404, null);
            }
            times[1] = Lab.now() + times[0];
            return new Http.Answer(200, Json.map("ttlMs", times[0]));
        }
        end(lease);
        return new Http.Answer(200, Json.map());
    }

    @SuppressWarnings("unchecked")
    private Http.Answer transact(Map<String, Object> body) {
        List<Object> expected = (List<Object>) body.getOrDefault("expectedRev", List.of());
        List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
        List<Object> removed = (List<Object>) body.getOrDefault("remove", List.of());
        if (expected.size() + puts.size() + removed.size() > 32) {
            return new Http.Answer(400, null);
        }
        boolean holds = true;
        List<Object> present = new ArrayList<>();
        for (Object row : expected) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get(Json.text(condition, "key"));
            holds &= (item == null ? 0 : item.revision) == Json.number(condition, "revision");
            if (item != null) {
                present.add(item.json());
            }
        }
        for (Object row : puts) {
            long lease = Json.number((Map<String, Object>) row, "lease");
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Http.Answer(404, null);
            }
            if (Json.text((Map<String, Object>) row, "value").length() > 1_398_104) {
                return new Http.Answer(400, null);
            }
        }
        if (!holds) {
            return new Http.Answer(412, Json.map("items", present));
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            put(Json.text(put, "key"), Json.text(put, "value"), Json.number(put, "lease"));
        }
        removed.forEach(key -> remove((String) key));
        notifyAll();
        return new Http.Answer(200, Json.map("revision", revision));
    }

    private void put(String key, String value, long lease) {
        Item former = items.get(key);
        Item item = new Item(key, value, revision, former == null ? revision : former.created, lease);
        items.put(key, item);
        history.add(new Event(revision, key, item.json()));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Event(revision, key, Json.map("key", key, "revision", revision, "deleted", true)));
        }
    }

    private synchronized Http.Answer watch(String prefix, long after, long waitMs) throws InterruptedException {
        long end = Lab.now() + waitMs;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision > after; i--) {
                if (history.get(i).key.startsWith(prefix)) {
                    events.add(0, history.get(i).json);
                }
            }
            long rest = end - Lab.now();
            if (!events.isEmpty() || rest <= 0) {
                return new Http.Answer(200, Json.map("events", events, "asOf", revision));
            }
            wait(rest);
        }
    }

    private synchronized void expire() {
        for (long lease : List.copyOf(leases.keySet())) {
            if (leases.get(lease)[1] < Lab.now()) {
                end(lease);
            }
        }
    }

    private void end(long lease) {
        if (leases.remove(lease) != null) {
            List<String> keys = new ArrayList<>();
            items.values().forEach(item -> {
                if (item.lease == lease) {
                    keys.add(item.key);
                }
            });
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    /** Writes as an operator or a worker does. */
    synchronized void write(String key, Object value) {
        revision++;
        put(key, Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    /** Returns the node that owns a key under a prefix, as the value's first line names it, for the choice of a process to disturb. */
    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }
}
