package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Which entries are alive, and which of them owns each pool, as the store says.
 */
final class LiveEntries {
    /** What the keys of living entries and of owners begin with. */
    static final String PREFIX = "trefoilpost/live/";

    private static final String NODES = PREFIX + "entry/";
    private static final String OWNERS = PREFIX + "pool/";
    private static final String SEPARATOR = "\n";
    private static final int PARTS = 4;

    private final Map<String, Peer> nodes = new TreeMap<>();
    private final Map<String, Owner> owners = new HashMap<>();
    private final Map<String, Long> absentSince = new HashMap<>();

    static String nodeKey(String node) {
        return NODES + node;
    }

    static String ownerKey(String pool) {
        return OWNERS + pool;
    }

    static byte[] value(Peer peer) {
        return String.join(SEPARATOR, peer.name(), peer.address(), peer.incarnation(), Long.toString(peer.cpuMillis()))
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Takes in all keys anew.
     */
    void replace(Collection<StorePort.Item> items, long nowMillis) {
        Map<String, Owner> before = new HashMap<>(owners);
        nodes.clear();
        owners.clear();
        items.forEach(item -> put(item));
        before.keySet().stream()
                .filter(pool -> !owners.containsKey(pool))
                .forEach(pool -> absentSince.put(pool, nowMillis));
    }

    /**
     * Takes in the change of a key.
     */
    void change(String key, Optional<StorePort.Item> item, long nowMillis) {
        if (item.isPresent()) {
            put(item.get());
        } else if (key.startsWith(NODES)) {
            nodes.remove(key.substring(NODES.length()));
        } else if (key.startsWith(OWNERS)) {
            owners.remove(key.substring(OWNERS.length()));
            absentSince.put(key.substring(OWNERS.length()), nowMillis);
        }
    }

    private void put(StorePort.Item item) {
        String[] parts = new String(item.value(), StandardCharsets.UTF_8).split(SEPARATOR, -1);
        if (parts.length != PARTS) {
            return;
        }
        Peer peer = new Peer(parts[0], parts[1], parts[2], cpuMillis(parts[3]));
        if (item.key().startsWith(NODES)) {
            nodes.put(item.key().substring(NODES.length()), peer);
        } else if (item.key().startsWith(OWNERS)) {
            String pool = item.key().substring(OWNERS.length());
            owners.put(pool, new Owner(peer, item.revision()));
            absentSince.remove(pool);
        }
    }

    private static long cpuMillis(String text) {
        try {
            return Math.max(1, Long.parseLong(text));
        } catch (NumberFormatException e) {
            // An entry of another version; it counts as the smallest.
            return 1;
        }
    }

    Collection<Peer> nodes() {
        return nodes.values();
    }

    Optional<Owner> owner(String pool) {
        return Optional.ofNullable(owners.get(pool));
    }

    Map<String, Owner> owners() {
        return owners;
    }

    /**
     * Returns since when a pool has had no owner.
     */
    long absentSinceMillis(String pool, long nowMillis) {
        return absentSince.computeIfAbsent(pool, key -> nowMillis);
    }

    /**
     * An entry.
     *
     * @param name  the entry's name
     * @param address  the entry's address for other entries
     * @param incarnation  tells the lives of the entry's process apart
     * @param cpuMillis  the entry's processor share in thousandths of a core
     */
    record Peer(String name, String address, String incarnation, long cpuMillis) {}

    /**
     * The owner of a pool.
     *
     * @param peer  the entry
     * @param token  the revision of the claim, which serves as fencing token
     */
    record Owner(Peer peer, long token) {}
}
