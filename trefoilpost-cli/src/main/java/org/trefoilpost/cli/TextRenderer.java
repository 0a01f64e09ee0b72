package org.trefoilpost.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Renders responses as text; absent fields are shown as a hyphen.
 */
final class TextRenderer {
    private static final List<String> POOL_FIELDS =
            List.of("name", "floor", "reserve", "members", "usable", "planned", "failed", "headroom");
    private static final List<String> PLAN_FIELDS = List.of("digest", "state", "intent", "measures.moves");
    private static final List<String> STEP_FIELDS =
            List.of("number", "worker", "rack", "pool", "act", "state", "headroom", "reason");

    private TextRenderer() {}

    static String render(Command.View view, JsonNode response) {
        return switch (view) {
            case STATUS ->
                fields(response, List.of("entry", "version", "configurationVersion", "configurationAgeMillis", "store"))
                        + Table.of(response.path("peers"), List.of("entry", "endpoint", "state"))
                                .text();
            case POOLS -> Table.of(list(response), POOL_FIELDS).text();
            case POOL ->
                fields(response, POOL_FIELDS)
                        + Table.of(response.path("workers"), List.of("id", "rack", "dataCentre", "state", "inFlight"))
                                .text();
            case PLANS -> Table.of(list(response), PLAN_FIELDS).text();
            case PLAN -> plan(response);
            case ROWS -> rows(list(response));
            case VALUE -> response.toPrettyString() + "\n";
        };
    }

    /** Returns a one-line summary of the progress of a plan. */
    static String progress(JsonNode plan) {
        int done = 0;
        for (JsonNode step : plan.path("steps")) {
            done += step.path("state").asText().equals("done") ? 1 : 0;
        }
        return Table.cell(plan, "state") + ", " + done + " of "
                + plan.path("steps").size() + " steps done";
    }

    private static String plan(JsonNode plan) {
        String text = fields(
                plan,
                List.of(
                        "digest",
                        "state",
                        "intent",
                        "measures.bufferCostMinutes",
                        "measures.rollOutMinutes",
                        "measures.moves"));
        text += Table.of(plan.path("steps"), STEP_FIELDS).text();
        JsonNode refusals = plan.path("refusals");
        return refusals.isEmpty()
                ? text
                : text + Table.of(refusals, List.of("subject", "reason")).text();
    }

    private static String fields(JsonNode node, List<String> names) {
        StringBuilder text = new StringBuilder();
        names.forEach(name ->
                text.append(name).append(": ").append(Table.cell(node, name)).append('\n'));
        return text.toString();
    }

    private static String rows(JsonNode list) {
        Set<String> names = new LinkedHashSet<>();
        list.forEach(element -> element.fieldNames().forEachRemaining(names::add));
        return Table.of(list, new ArrayList<>(names)).text();
    }

    /** Returns the response if it is an array, otherwise its first array, or an empty array. */
    private static JsonNode list(JsonNode response) {
        if (response.isArray()) {
            return response;
        }
        for (JsonNode value : response) {
            if (value.isArray()) {
                return value;
            }
        }
        return JsonNodeFactory.instance.arrayNode();
    }
}
