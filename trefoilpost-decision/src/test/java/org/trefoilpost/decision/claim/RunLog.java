package org.trefoilpost.decision.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.trefoilpost.model.verdict.VerdictKind;

/** What the fake target ran, and the verdict that each request got. */
final class RunLog {
    private final String name;
    private final Map<ClaimKey, String> runs = new HashMap<>();
    private final Map<String, VerdictKind> verdicts = new HashMap<>();
    private final Map<String, ClaimKey> started = new HashMap<>();
    private final Set<String> withoutVerdict = new HashSet<>();
    private final Map<String, Integer> counts = new HashMap<>();

    RunLog(String name) {
        this.name = name;
    }

    void start(String requestId, ClaimKey key) {
        started.put(requestId, key);
    }

    /** Notes that nobody waits for a verdict, as the caller or the entry is gone. */
    void expectNoVerdict(String requestId) {
        withoutVerdict.add(requestId);
    }

    void run(String requestId, ClaimKey key) {
        String earlier = runs.putIfAbsent(key, requestId);
        assertEquals(null, earlier, () -> name + ": " + key + " ran for " + requestId + " and for " + earlier);
        assertFalse(
                verdicts.get(requestId) == VerdictKind.NOT_RUN,
                () -> name + ": " + requestId + " ran after it was refused");
    }

    void conclude(String requestId, VerdictKind verdict, String reason) {
        VerdictKind earlier = verdicts.put(requestId, verdict);
        assertEquals(null, earlier, () -> name + ": second verdict " + verdict + " of " + requestId);
        if (verdict == VerdictKind.NOT_RUN) {
            assertFalse(
                    requestId.equals(runs.get(started.get(requestId))),
                    () -> name + ": " + requestId + " was refused after it ran");
        }
        counts.merge(verdict.code() + " " + reason, 1, Integer::sum);
    }

    void checkComplete() {
        for (String requestId : started.keySet()) {
            assertTrue(
                    verdicts.containsKey(requestId) || withoutVerdict.contains(requestId),
                    () -> name + ": no verdict of " + requestId);
        }
    }

    int keys() {
        return (int) started.values().stream().distinct().count();
    }

    int runs() {
        return runs.size();
    }

    Map<String, Integer> counts() {
        return counts;
    }
}
