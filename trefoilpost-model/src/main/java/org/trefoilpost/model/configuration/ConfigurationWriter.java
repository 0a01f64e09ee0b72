package org.trefoilpost.model.configuration;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.SortedSet;

/**
 * Writes a configuration, or a part of one, to a JSON tree with a fixed order of fields.
 */
final class ConfigurationWriter {
    private ConfigurationWriter() {}

    static ObjectNode document(Configuration configuration) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put("version", configuration.version());
        ObjectNode pools = document.putObject("pools");
        configuration.pools().values().forEach(pool -> pools.set(pool.name().text(), pool(pool)));
        document.set("teams", teams(configuration));
        document.set("weights", weights(configuration));
        return document;
    }

    static ObjectNode part(Configuration configuration, ConfigurationPart part) {
        if (part.pool().isPresent()) {
            return configuration
                    .pool(part.pool().get())
                    .map(ConfigurationWriter::pool)
                    .orElseThrow(() -> new IllegalArgumentException("the configuration has no part " + part));
        }
        return part.equals(ConfigurationPart.TEAMS) ? teams(configuration) : weights(configuration);
    }

    private static ObjectNode pool(PoolSettings pool) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.putObject("budget")
                .put("floor", pool.budget().floor())
                .put("reserve", pool.budget().reserve().code());
        putNames(node, "initialRacks", pool.initialRacks());
        putNames(node, "initialWorkers", pool.initialWorkers());
        node.put("maxBodyBytes", pool.maxBodyBytes());
        node.put("timeoutMillis", pool.timeout().toMillis());
        node.put("queueLimit", pool.queueLimit());
        node.put("slotsPerWorker", pool.slotsPerWorker());
        node.put("connectionsPerEntry", pool.connectionsPerEntry());
        node.put("retryShare", pool.retryShare());
        node.put("bulkShare", pool.bulkShare());
        node.put("drainTimeoutMillis", pool.drainTimeout().toMillis());
        node.put("rebootTimeoutMillis", pool.rebootTimeout().toMillis());
        pool.standingConsent().ifPresent(consent -> {
            ObjectNode consentNode = node.putObject("standingConsent");
            consentNode.put("movesPerDay", consent.movesPerDay());
            putNames(consentNode, "lendingPools", consent.lendingPools());
        });
        return node;
    }

    private static ObjectNode teams(Configuration configuration) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        for (TeamQuota quota : configuration.teams().values()) {
            node.putObject(quota.team().text())
                    .put("concurrentRequests", quota.concurrentRequests())
                    .put("cores", quota.cores())
                    .put("accelerators", quota.accelerators());
        }
        return node;
    }

    private static ObjectNode weights(Configuration configuration) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("bufferCost", configuration.weights().bufferCost())
                .put("rollOutTime", configuration.weights().rollOutTime())
                .put("moves", configuration.weights().moves());
    }

    private static void putNames(ObjectNode node, String field, SortedSet<?> names) {
        ArrayNode list = node.putArray(field);
        names.forEach(name -> list.add(name.toString()));
    }
}
