package org.trefoilpost.standins.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.standins.http.Json;

/**
 * The list of instances, whose public view lags behind what the instances report.
 */
final class InstanceList {
    private final Map<String, ObjectNode> latest = new TreeMap<>();
    private final Map<String, ObjectNode> shown = new TreeMap<>();
    private final Map<String, Long> reportedAtMillis = new TreeMap<>();
    private final Deque<Update> waiting = new ArrayDeque<>();
    private long lagMillis;

    private InstanceList(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    static InstanceList of(long lagMillis) {
        return new InstanceList(lagMillis);
    }

    /**
     * Sets the lag of the reports that come from now on.
     */
    synchronized void setLagMillis(long newLagMillis) {
        this.lagMillis = newLagMillis;
    }

    /**
     * Takes an instance's report, unless a later incarnation has reported before.
     */
    synchronized boolean report(String id, ObjectNode instance, long nowMillis) {
        ObjectNode known = latest.get(id);
        if (known != null
                && known.path("incarnation").asLong()
                        > instance.path("incarnation").asLong()) {
            return false;
        }
        reportedAtMillis.put(id, nowMillis);
        if (!instance.equals(known)) {
            show(id, instance, nowMillis);
        }
        return true;
    }

    private void show(String id, ObjectNode instance, long nowMillis) {
        latest.put(id, instance);
        waiting.add(new Update(nowMillis + lagMillis, id, instance));
    }

    /**
     * Marks the instances as gone that have not reported for a while.
     */
    synchronized void loseSilent(long silenceMillis, long nowMillis) {
        reportedAtMillis.forEach((id, reportedAt) -> {
            ObjectNode known = latest.get(id);
            if (nowMillis - reportedAt >= silenceMillis
                    && !known.path("state").asText().equals("gone")) {
                show(id, known.deepCopy().put("state", "gone"), nowMillis);
            }
        });
    }

    synchronized ObjectNode toJson(long nowMillis) {
        showDue(nowMillis);
        ObjectNode json = Json.object();
        ArrayNode instances = json.putArray("instances");
        shown.values().forEach(instances::add);
        return json;
    }

    /**
     * Shows each instance's newest report that is due and drops the reports before it.
     */
    private void showDue(long nowMillis) {
        Set<String> settled = new HashSet<>();
        for (Iterator<Update> newestFirst = waiting.descendingIterator(); newestFirst.hasNext(); ) {
            Update update = newestFirst.next();
            if (settled.contains(update.id)) {
                newestFirst.remove();
            } else if (update.visibleAtMillis <= nowMillis) {
                settled.add(update.id);
                shown.put(update.id, update.instance);
                newestFirst.remove();
            }
        }
    }

    /**
     * A report on its way to the public view.
     */
    private static final class Update {
        private final long visibleAtMillis;
        private final String id;
        private final ObjectNode instance;

        private Update(long visibleAtMillis, String id, ObjectNode instance) {
            this.visibleAtMillis = visibleAtMillis;
            this.id = id;
            this.instance = instance;
        }
    }
}
