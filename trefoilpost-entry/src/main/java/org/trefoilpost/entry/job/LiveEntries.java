package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.model.Endpoint;

/**
 * The live entries, the owner of each pool, and the queues of the jobs that are stored for each pool, as registered in the
 * store.
 */
final class LiveEntries {
    /** The prefix of the keys of live entries, of owners and of pools' queues. */
    static final String KEY_PREFIX = "trefoilpost/live/";

    private static final String ENTRY_KEY_PREFIX = KEY_PREFIX + "entry/";
    private static final String OWNER_KEY_PREFIX = KEY_PREFIX + "pool/";
    private static final String QUEUES_KEY_PREFIX = KEY_PREFIX + "queues/";
    private static final String SEPARATOR = "\n";
    private static final int VALUE_PARTS = 4;

    private final Map<String, Peer> entries = new TreeMap<>();
    private final Map<String, Owner> owners = new HashMap<>();
    /** The queues of the stored jobs by pool; a pool without stored jobs is missing. */
    private final Map<String, StoredQueues> queuesOfPools = new TreeMap<>();

    private final Map<String, Long> ownerlessSinceMillis = new HashMap<>();
    /** Since when each owned pool was known to have no owner before its present claim, as far as that is known. */
    private final Map<String, Long> ownerlessBeforeClaimMillis = new HashMap<>();

    /** Since when no change has been missed. */
    private long completeSinceMillis = Long.MIN_VALUE / 2;

    private long entryAddedMillis = Long.MIN_VALUE / 2;

    static String entryKey(String entry) {
        return ENTRY_KEY_PREFIX + entry;
    }

    static String ownerKey(String pool) {
        return OWNER_KEY_PREFIX + pool;
    }

    /**
     * Returns the key of the queues that have stored jobs in a pool. It is written and removed together with the jobs.
     */
    static String queuesKey(String pool) {
        return QUEUES_KEY_PREFIX + pool;
    }

    static byte[] encode(Peer peer) {
        return String.join(SEPARATOR, peer.name(), peer.address(), peer.incarnation(), Long.toString(peer.cpuMillis()))
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Replaces all entries and owners. A pool that has lost its owner counts as without an owner from now on.
     */
    void replace(Collection<StorePort.Item> items, long nowMillis) {
        Map<String, Owner> previousOwners = new HashMap<>(owners);
        completeSinceMillis = nowMillis;
        entries.clear();
        owners.clear();
        queuesOfPools.clear();
        ownerlessBeforeClaimMillis.clear();
        items.forEach(item -> put(item, nowMillis));
        previousOwners.keySet().stream()
                .filter(pool -> !owners.containsKey(pool))
                .forEach(pool -> ownerlessSinceMillis.put(pool, nowMillis));
    }

    /**
     * Applies the change of a key, whose item is empty if it was removed.
     */
    void change(String key, Optional<StorePort.Item> item, long nowMillis) {
        if (item.isPresent()) {
            put(item.get(), nowMillis);
        } else if (key.startsWith(ENTRY_KEY_PREFIX)) {
            entries.remove(key.substring(ENTRY_KEY_PREFIX.length()));
        } else if (key.startsWith(OWNER_KEY_PREFIX)) {
            owners.remove(key.substring(OWNER_KEY_PREFIX.length()));
            ownerlessSinceMillis.put(key.substring(OWNER_KEY_PREFIX.length()), nowMillis);
        } else if (key.startsWith(QUEUES_KEY_PREFIX)) {
            queuesOfPools.remove(key.substring(QUEUES_KEY_PREFIX.length()));
        }
    }

    private void put(StorePort.Item item, long nowMillis) {
        if (item.key().startsWith(QUEUES_KEY_PREFIX)) {
            queuesOfPools.put(item.key().substring(QUEUES_KEY_PREFIX.length()), StoredQueues.decode(item.value()));
            return;
        }
        String[] parts = new String(item.value(), StandardCharsets.UTF_8).split(SEPARATOR, -1);
        if (parts.length != VALUE_PARTS) {
            return;
        }
        Peer peer = new Peer(parts[0], parts[1], parts[2], parseCpuMillis(parts[3]));
        if (item.key().startsWith(ENTRY_KEY_PREFIX) && !peer.hasEndpoint()) {
            entries.remove(item.key().substring(ENTRY_KEY_PREFIX.length()));
        } else if (item.key().startsWith(ENTRY_KEY_PREFIX)) {
            Peer former = entries.put(item.key().substring(ENTRY_KEY_PREFIX.length()), peer);
            entryAddedMillis = former == null ? nowMillis : entryAddedMillis;
        } else if (item.key().startsWith(OWNER_KEY_PREFIX)) {
            String pool = item.key().substring(OWNER_KEY_PREFIX.length());
            owners.put(pool, new Owner(peer, item.revision(), item.lease()));
            ownerlessBeforeClaimMillis.remove(pool);
            Optional.ofNullable(ownerlessSinceMillis.remove(pool))
                    .ifPresent(since -> ownerlessBeforeClaimMillis.put(pool, Math.max(since, completeSinceMillis)));
        }
    }

    private static long parseCpuMillis(String text) {
        try {
            return Math.max(1, Long.parseLong(text));
        } catch (NumberFormatException e) {
            // An entry of another version may not write a number; it is treated as the smallest.
            return 1;
        }
    }

    Collection<Peer> entries() {
        return entries.values();
    }

    Optional<Owner> owner(String pool) {
        return Optional.ofNullable(owners.get(pool));
    }

    /**
     * Returns when an entry was last added, on the steady clock in milliseconds.
     */
    long entryAddedMillis() {
        return entryAddedMillis;
    }

    Map<String, Owner> owners() {
        return owners;
    }

    /**
     * Returns the pools for which jobs are stored, whether they are configured or not.
     */
    Set<String> poolsWithJobs() {
        return queuesOfPools.keySet();
    }

    /**
     * Returns the pools for which jobs are stored that belong to a queue or that callers know by its address.
     */
    List<String> poolsWithJobsOf(String queue, String address) {
        return queuesOfPools.entrySet().stream()
                .filter(pool -> pool.getValue().mayHaveJobOf(queue, address))
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns when a pool lost its owner, on the steady clock in milliseconds. If that is not known, it is set to the
     * present time.
     */
    long ownerlessSinceMillis(String pool, long nowMillis) {
        return ownerlessSinceMillis.computeIfAbsent(pool, key -> nowMillis);
    }

    /**
     * Returns a time from which on a pool had no owner until its present claim, on the steady clock in milliseconds.
     *
     * @param token  the token of the claim
     * @return the time, empty if that claim is not known or changes before it were missed
     */
    OptionalLong ownerlessBeforeClaimMillis(String pool, long token) {
        Long since = ownerlessBeforeClaimMillis.get(pool);
        boolean known = since != null
                && owner(pool).filter(owner -> owner.token() == token).isPresent();
        return known ? OptionalLong.of(since) : OptionalLong.empty();
    }

    /**
     * A live entry.
     *
     * @param name  the entry's name
     * @param address  the address at which other entries reach this entry, as {@code host:port}
     * @param incarnation  an identifier that differs for each process of the entry
     * @param cpuMillis  the entry's processor share in thousandths of a core
     */
    record Peer(String name, String address, String incarnation, long cpuMillis) {
        /**
         * Returns whether the address can be read.
         */
        boolean hasEndpoint() {
            try {
                Endpoint.parse(address);
                return true;
            } catch (IllegalArgumentException e) {
                return false;
            }
        }
    }

    /**
     * The owner of a pool.
     *
     * @param peer  the entry that owns the pool
     * @param token  the revision of the claim, which serves as the fencing token
     * @param lease  the lease of the claim
     */
    record Owner(Peer peer, long token, long lease) {}
}
