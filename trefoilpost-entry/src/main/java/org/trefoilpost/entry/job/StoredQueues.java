package org.trefoilpost.entry.job;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The queues that have stored jobs in a pool, and the addresses that these queues have had meanwhile. Callers know a job by the
 * address of its queue, which a later configuration may give to a queue of another name and pool. Immutable.
 */
final class StoredQueues {
    static final StoredQueues NONE = new StoredQueues(new TreeMap<>());

    private static final String SEPARATOR = "\n";
    /** Between a queue and one of its addresses; no host name and no path contains it. */
    private static final String ADDRESS_SEPARATOR = "\t";

    private final Map<String, Set<String>> addressesByQueue;
    /** The addresses of all queues; each request asks for one. */
    private final Set<String> addresses = new HashSet<>();

    private StoredQueues(Map<String, Set<String>> addressesByQueue) {
        this.addressesByQueue = Collections.unmodifiableMap(addressesByQueue);
        addressesByQueue.values().forEach(addresses::addAll);
    }

    /**
     * Decodes queues. Earlier versions of the program have written no addresses.
     */
    static StoredQueues decode(byte[] bytes) {
        Map<String, Set<String>> decoded = new TreeMap<>();
        for (String line : new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR, -1)) {
            String[] parts = line.split(ADDRESS_SEPARATOR, 2);
            Set<String> ofQueue = decoded.computeIfAbsent(parts[0], queue -> new TreeSet<>());
            if (parts.length > 1) {
                ofQueue.add(parts[1]);
            }
        }
        return new StoredQueues(decoded);
    }

    /**
     * Encodes the queues, a line each, and a line for each address. Earlier versions of the program take the latter for queues
     * that nobody asks for.
     */
    byte[] encode() {
        Set<String> lines = new TreeSet<>(addressesByQueue.keySet());
        addressesByQueue.forEach(
                (queue, ofQueue) -> ofQueue.forEach(address -> lines.add(queue + ADDRESS_SEPARATOR + address)));
        return String.join(SEPARATOR, lines).getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns other queues, with the addresses that they have had here and their present ones.
     *
     * @param queues  the names of the queues
     * @param presentAddresses  the present address of each configured queue by its name
     */
    StoredQueues change(Set<String> queues, Map<String, String> presentAddresses) {
        Map<String, Set<String>> changed = new TreeMap<>();
        for (String queue : queues) {
            Set<String> ofQueue = new TreeSet<>(addressesByQueue.getOrDefault(queue, Set.of()));
            if (presentAddresses.containsKey(queue)) {
                ofQueue.add(presentAddresses.get(queue));
            }
            changed.put(queue, ofQueue);
        }
        return new StoredQueues(changed);
    }

    boolean isEmpty() {
        return addressesByQueue.isEmpty();
    }

    /**
     * Returns whether a job may be here that callers know by an address, or that belongs to a queue.
     */
    boolean mayHaveJobOf(String queue, String address) {
        return addressesByQueue.containsKey(queue) || addresses.contains(address);
    }

    /**
     * Returns the queues that have had an address.
     */
    Set<String> queuesAt(String address) {
        Set<String> queues = new TreeSet<>();
        addressesByQueue.forEach((queue, ofQueue) -> {
            if (ofQueue.contains(address)) {
                queues.add(queue);
            }
        });
        return queues;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredQueues queues && addressesByQueue.equals(queues.addressesByQueue);
    }

    @Override
    public int hashCode() {
        return addressesByQueue.hashCode();
    }

    @Override
    public String toString() {
        return addressesByQueue.toString();
    }
}
