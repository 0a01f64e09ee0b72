package org.trefoilpost.decision.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * Entries in virtual time over a network that delays, loses, repeats and reorders heartbeats.
 */
final class SimulatedNetwork {
    final Map<Integer, Membership> entries = new TreeMap<>();
    final List<String> log = new ArrayList<>();
    double lossProbability;
    long maxDelayMillis = 5;
    long nowMillis;

    private static final MembershipSettings SETTINGS = MembershipSettings.defaults();

    private final Random random;
    private final HeartbeatTopology topology;
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private final Map<Integer, Long> pausedUntilMillis = new TreeMap<>();

    SimulatedNetwork(Random random, HeartbeatTopology surveillance) {
        this.random = random;
        this.topology = surveillance;
    }

    /** Starts an entry at a port of its own, which knows the given entries' addresses. */
    void start(int index, long incarnation, int port, int... seeds) {
        Membership membership = Membership.of(member(index, incarnation, port), SETTINGS, topology, nowMillis);
        entries.put(port, membership);
        List<Member> known = new ArrayList<>();
        for (int seed : seeds) {
            known.add(member(seed, 1, seed));
        }
        handle(port, membership.step(MembershipEvent.registrations(known), nowMillis));
    }

    void stop(int port) {
        entries.remove(port);
    }

    void pause(int port, long millis) {
        pausedUntilMillis.put(port, nowMillis + millis);
    }

    void run(long millis) {
        long end = nowMillis + millis;
        for (; nowMillis < end; nowMillis++) {
            while (!deliveries.isEmpty() && deliveries.peek().atMillis <= nowMillis) {
                deliver(deliveries.poll());
            }
            for (int port : List.copyOf(entries.keySet())) {
                if (nowMillis % SETTINGS.intervalMillis() == port % SETTINGS.intervalMillis() && !paused(port)) {
                    handle(port, entries.get(port).step(MembershipEvent.tick(), nowMillis));
                }
            }
        }
    }

    MemberState state(int port, int peer) {
        return entries.get(port).state(EntryId.of("e" + peer)).orElse(null);
    }

    static Member member(int index, long incarnation, int port) {
        return Member.of(EntryId.of("e" + index), incarnation, Endpoint.of("127.0.0.1", port));
    }

    private boolean paused(int port) {
        return pausedUntilMillis.getOrDefault(port, 0L) > nowMillis;
    }

    private void deliver(Delivery delivery) {
        if (paused(delivery.port)) {
            deliveries.add(new Delivery(pausedUntilMillis.get(delivery.port), delivery.port, delivery.heartbeat));
        } else if (entries.containsKey(delivery.port)) {
            Membership membership = entries.get(delivery.port);
            handle(delivery.port, membership.step(MembershipEvent.heartbeat(delivery.heartbeat), nowMillis));
        }
    }

    private void handle(int port, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            if (action.kind() != MembershipAction.Kind.SEND) {
                log.add(port + " " + action.kind() + " " + action.member().id());
                continue;
            }
            int copies = random.nextDouble() < lossProbability ? 0 : 1 + random.nextInt(20) / 19;
            for (int copy = 0; copy < copies; copy++) {
                long at = nowMillis + 1 + random.nextLong(maxDelayMillis);
                int to = action.member().endpoint().port();
                deliveries.add(new Delivery(at, to, action.heartbeat().orElseThrow()));
            }
        }
    }

    /**
     * A heartbeat on its way.
     */
    private static final class Delivery implements Comparable<Delivery> {
        private final long atMillis;
        private final int port;
        private final Heartbeat heartbeat;

        private Delivery(long atMillis, int port, Heartbeat heartbeat) {
            this.atMillis = atMillis;
            this.port = port;
            this.heartbeat = heartbeat;
        }

        @Override
        public int compareTo(Delivery other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
