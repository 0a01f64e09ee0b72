package org.trefoilpost.standins.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.trefoilpost.standins.http.Json;

class InstanceListTest {
    private final InstanceList list = InstanceList.of(1000);

    private static ObjectNode instance(long incarnation, String state) {
        return Json.object().put("id", "w1").put("incarnation", incarnation).put("state", state);
    }

    private List<String> shown(long nowMillis) {
        List<String> shown = new ArrayList<>();
        list.toJson(nowMillis)
                .get("instances")
                .forEach(instance -> shown.add(
                        instance.get("incarnation") + instance.get("state").asText()));
        return shown;
    }

    @Test
    void lagsBehindFirstReportsAndChangesOfState() {
        list.report("w1", instance(1, "live"), 0);
        assertEquals(List.of(), shown(999));
        list.report("w1", instance(1, "leaving"), 500);
        assertEquals(List.of("1live"), shown(1499));
        assertEquals(List.of("1leaving"), shown(1500));
    }

    @Test
    void shorterLagShowsNewReportsWithoutGoingBackToOlderOnes() {
        list.report("w1", instance(1, "live"), 0);
        list.setLagMillis(10);
        list.report("w1", instance(1, "leaving"), 20);
        assertEquals(List.of("1leaving"), shown(30));
        assertEquals(List.of("1leaving"), shown(5000));
    }

    @Test
    void refusesAnOlderIncarnation() {
        assertTrue(list.report("w1", instance(2, "live"), 0));
        assertFalse(list.report("w1", instance(1, "gone"), 1));
        assertEquals(List.of("2live"), shown(10_000));
    }

    @Test
    void silentInstanceIsGoneAfterTheLagAndComesBackByAReport() {
        list.report("w1", instance(1, "live"), 0);
        list.loseSilent(5000, 4999);
        assertEquals(List.of("1live"), shown(50_000));
        list.loseSilent(5000, 5000);
        list.loseSilent(5000, 5050);
        assertEquals(List.of("1gone"), shown(6000));
        list.report("w1", instance(1, "live"), 7000);
        assertEquals(List.of("1live"), shown(8000));
    }
}
