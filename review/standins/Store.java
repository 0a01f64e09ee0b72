package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A stand-in of the platform's metadata store. Each entry has a port of its own, so that the store can turn one of them away.
 */
final class Store {
    /** How the store treats the calls that arrive at one port. */
    enum Mode {
        SERVES,
        /** Calls get no answer, and are not carried out. */
        SILENT,
        /** Calls get 503. */
        BUSY
    }

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int MAX_ENTRIES = 32;

    private final World world;
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> events = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Map<String, Mode> modes = new HashMap<>();
    private long revision = 100;
    private long lastLease;

    Store(World world) {
        this.world = world;
        world.every(20, this::expire);
    }

    /** Opens a port for one entry and returns its address. */
    String open(String entry) throws Exception {
        modes.put(entry, Mode.SERVES);
        return Http.listen("127.0.0.1", call -> {
            synchronized (world) {
                handle(entry, call);
            }
        });
    }

    void mode(String entry, Mode mode) {
        synchronized (world) {
            modes.put(entry, mode);
            world.record("store: " + entry + " " + mode);
        }
    }

    void modeOfAll(Mode mode) {
        synchronized (world) {
            modes.replaceAll((entry, former) -> mode);
            world.record("store: every entry " + mode);
        }
    }

    private void handle(String entry, Http.Call call) {
        Mode mode = modes.get(entry);
        if (mode == Mode.SILENT) {
            return;
        }
        if (mode == Mode.BUSY) {
            call.answer(503, null);
            return;
        }
        if (call.path.equals("/kv-watch")) {
            Watch watch = new Watch();
            watch.entry = entry;
            watch.call = call;
            watch.prefix = call.query.getOrDefault("prefix", "");
            watch.after = Long.parseLong(call.query.getOrDefault("after", "0"));
            watch.until = world.now() + Long.parseLong(call.query.getOrDefault("waitMs", "0"));
            if (!answerWatch(watch)) {
                watches.add(watch);
            }
            return;
        }
        dispatch(call);
    }

    private void dispatch(Http.Call call) {
        String path = call.path;
        if (path.equals("/kv-key")) {
            ObjectNode item = items.get(call.query.get("key"));
            call.answer(item == null ? 404 : 200, item == null ? null : item.deepCopy().put("asOf", revision));
        } else if (path.equals("/kv-range")) {
            call.answer(200, range(call.query.getOrDefault("prefix", ""), call.query.getOrDefault("after", "")));
        } else if (path.equals("/kv-txn")) {
            transact(call);
        } else if (path.equals("/kv-lease")) {
            long ttl = Math.max(1_000, call.json().path("ttlMs").asLong());
            leases.put(++lastLease, new long[] {ttl, world.now() + ttl});
            call.answer(200, Http.object().put("lease", lastLease).put("ttlMs", ttl));
        } else if (path.startsWith("/kv-keep/")) {
            long[] lease = leases.get(number(path));
            if (lease != null) {
                lease[1] = world.now() + lease[0];
            }
            call.answer(lease == null ? 404 : 200, lease == null ? null : Http.object().put("ttlMs", lease[0]));
        } else if (path.startsWith("/kv-lease-end/")) {
            end(number(path));
            call.answer(200, Http.object());
        } else {
            call.answer(400, null);
        }
    }

    private static long number(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private ObjectNode range(String prefix, String after) {
        ObjectNode body = Http.object();
        ArrayNode found = body.putArray("items");
        boolean more = false;
        long bytes = 0;
        for (Map.Entry<String, ObjectNode> item : items.tailMap(prefix, true).entrySet()) {
            if (!item.getKey().startsWith(prefix)) {
                break;
            }
            if (item.getKey().compareTo(after) > 0) {
                if (found.size() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
                    more = true;
                    break;
                }
                bytes += item.getValue().path("value").asText().length();
                found.add(item.getValue());
            }
        }
        return body.put("hasMore", more).put("asOf", revision);
    }

    private void transact(Http.Call call) {
        JsonNode body = call.json();
        if (body.path("expectedRev").size() + body.path("puts").size() + body.path("remove").size() > MAX_ENTRIES) {
            call.answer(400, null);
            return;
        }
        for (JsonNode put : body.path("puts")) {
            String key = put.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                call.answer(403, null);
                return;
            }
            long lease = put.path("lease").asLong();
            if (lease != 0 && !leases.containsKey(lease)) {
                call.answer(404, null);
                return;
            }
        }
        boolean holds = true;
        ObjectNode conflict = Http.object();
        ArrayNode present = conflict.putArray("items");
        for (JsonNode row : body.path("expectedRev")) {
            String key = row.path("key").asText();
            ObjectNode item = items.get(key);
            holds &= (item == null ? 0 : item.path("revision").asLong()) == row.path("revision").asLong();
            present.add(item == null ? Http.object().put("key", key).put("revision", 0) : item);
        }
        if (!holds) {
            call.answer(412, conflict);
            return;
        }
        revision++;
        for (JsonNode put : body.path("puts")) {
            put(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong());
        }
        body.path("remove").forEach(key -> remove(key.asText()));
        call.answer(200, Http.object().put("revision", revision));
        notifyWatches();
    }

    private void put(String key, String value, long lease) {
        ObjectNode former = items.get(key);
        ObjectNode item = Http.object()
                .put("key", key)
                .put("value", value)
                .put("revision", revision)
                .put("createRev", former == null ? revision : former.path("createRev").asLong())
                .put("lease", lease);
        items.put(key, item);
        events.add(item);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            events.add(Http.object().put("key", key).put("revision", revision).put("deleted", true));
        }
    }

    /** Writes as the operator or a worker does. */
    void write(String key, ObjectNode value) {
        synchronized (world) {
            revision++;
            put(key, Base64.getEncoder().encodeToString(Http.bytes(value)), 0);
            notifyWatches();
        }
    }

    void delete(String key) {
        synchronized (world) {
            revision++;
            remove(key);
            notifyWatches();
        }
    }

    /** Returns the text of a value, null if there is none. */
    String read(String key) {
        synchronized (world) {
            ObjectNode item = items.get(key);
            return item == null
                    ? null
                    : new String(Base64.getDecoder().decode(item.path("value").asText()), StandardCharsets.UTF_8);
        }
    }

    private void end(long id) {
        if (leases.remove(id) != null) {
            revision++;
            List<String> keys = new ArrayList<>();
            items.forEach((key, item) -> {
                if (item.path("lease").asLong() == id) {
                    keys.add(key);
                }
            });
            keys.forEach(this::remove);
            notifyWatches();
        }
    }

    private void expire() {
        for (Map.Entry<Long, long[]> lease : List.copyOf(leases.entrySet())) {
            if (world.now() >= lease.getValue()[1]) {
                end(lease.getKey());
            }
        }
        notifyWatches();
    }

    private void notifyWatches() {
        watches.removeIf(this::answerWatch);
    }

    /** Answers a watch if there is something to answer; one whose entry is turned away meanwhile gets no answer. */
    private boolean answerWatch(Watch watch) {
        if (modes.get(watch.entry) != Mode.SERVES) {
            return true;
        }
        ObjectNode body = Http.object();
        ArrayNode found = body.putArray("events");
        for (int i = events.size() - 1; i >= 0 && events.get(i).path("revision").asLong() > watch.after; i--) {
            if (events.get(i).path("key").asText().startsWith(watch.prefix)) {
                found.insert(0, events.get(i));
            }
        }
        if (found.isEmpty() && world.now() < watch.until) {
            return false;
        }
        watch.call.answer(200, body.put("asOf", revision));
        return true;
    }

    private static final class Watch {
        private String entry;
        private Http.Call call;
        private String prefix;
        private long after;
        private long until;
    }
}
