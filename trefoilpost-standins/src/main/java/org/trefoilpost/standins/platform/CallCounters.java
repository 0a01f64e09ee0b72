package org.trefoilpost.standins.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.trefoilpost.standins.http.Json;

/**
 * Counts of the calls and bytes of the platform, by the first two segments of the key.
 */
final class CallCounters {
    private final Map<String, Counts> byPrefix = new TreeMap<>();

    CallCounters() {}

    /**
     * Returns the first two segments of a key.
     */
    static String prefixOf(String key) {
        int first = key.indexOf('/');
        int second = first < 0 ? -1 : key.indexOf('/', first + 1);
        return second < 0 ? key : key.substring(0, second);
    }

    synchronized void received(CallKind kind, String prefix, int bytes) {
        Counts counts = counts(prefix);
        counts.calls[kind.ordinal()]++;
        counts.bytesIn += bytes;
    }

    synchronized void answered(String prefix, int bytes) {
        counts(prefix).bytesOut += bytes;
    }

    synchronized void rejected(String prefix) {
        counts(prefix).rejected++;
    }

    private Counts counts(String prefix) {
        return byPrefix.computeIfAbsent(prefix, name -> new Counts());
    }

    synchronized ObjectNode toJson() {
        Counts total = new Counts();
        ObjectNode prefixes = Json.object();
        byPrefix.forEach((prefix, counts) -> {
            total.add(counts);
            prefixes.set(prefix, counts.toJson());
        });
        ObjectNode json = Json.object();
        json.set("total", total.toJson());
        json.set("prefixes", prefixes);
        return json;
    }

    /**
     * The counts of one prefix.
     */
    private static final class Counts {
        private final long[] calls = new long[CallKind.values().length];
        private long bytesIn;
        private long bytesOut;
        private long rejected;

        private void add(Counts other) {
            for (int i = 0; i < calls.length; i++) {
                calls[i] += other.calls[i];
            }
            bytesIn += other.bytesIn;
            bytesOut += other.bytesOut;
            rejected += other.rejected;
        }

        private ObjectNode toJson() {
            ObjectNode json = Json.object();
            for (CallKind kind : CallKind.values()) {
                json.put(kind.counter(), calls[kind.ordinal()]);
            }
            return json.put("bytesIn", bytesIn).put("bytesOut", bytesOut).put("rejected", rejected);
        }
    }
}
