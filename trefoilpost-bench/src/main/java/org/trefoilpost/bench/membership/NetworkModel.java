package org.trefoilpost.bench.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.trefoilpost.decision.membership.EntryPoolLoad;
import org.trefoilpost.decision.membership.Heartbeat;
import org.trefoilpost.decision.membership.HeartbeatCodec;
import org.trefoilpost.decision.membership.HeartbeatException;
import org.trefoilpost.decision.membership.Member;
import org.trefoilpost.decision.membership.Membership;
import org.trefoilpost.decision.membership.MembershipAction;
import org.trefoilpost.decision.membership.MembershipEvent;
import org.trefoilpost.decision.membership.MembershipSettings;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;
import org.trefoilpost.model.PoolName;
import org.trefoilpost.model.WorkerId;

/**
 * Entries that exchange encoded heartbeats over a network with delay and loss, in virtual time.
 *
 * <p>After a settled time one entry is frozen again and again, and near the end another stops for good.
 */
final class NetworkModel {
    private static final MembershipSettings SETTINGS = MembershipSettings.defaults();
    private static final long SETTLE_MILLIS = 10_000;
    private static final long RUN_MILLIS = 56_000;
    private static final long STOP_MILLIS = 50_000;
    private static final long FREEZE_EVERY_MILLIS = 10_000;
    private static final long FREEZE_MILLIS = 4_000;
    private static final int MAX_DELAY_MILLIS = 5;
    private static final int POOLS = 5;
    private static final int WORKERS_PER_POOL = 8;

    private final Manner manner;
    private final int size;
    private final double loss;
    private final double trafficPerSecond;
    private final SplittableRandom random;
    private final List<Membership> entries = new ArrayList<>();
    private final List<EntryPoolLoad> loads = loads();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>();
    private final Map<Integer, Long> frozenUntil = new HashMap<>();
    private final NetworkResult result;
    private final int stopping;
    private long nowMillis;

    private NetworkModel(Manner manner, int size, double loss, double trafficPerSecond, long seed) {
        this.manner = manner;
        this.size = size;
        this.loss = loss;
        this.trafficPerSecond = trafficPerSecond;
        this.random = new SplittableRandom(seed);
        this.result = new NetworkResult(size, (STOP_MILLIS - SETTLE_MILLIS) / 1_000.0);
        this.stopping = size / 2;
    }

    /** Runs the model with a loss rate and with other messages from each entry to each peer. */
    static NetworkResult run(Manner manner, int size, double loss, double trafficPerSecond, long seed) {
        NetworkModel model = new NetworkModel(manner, size, loss, trafficPerSecond, seed);
        model.start();
        model.run();
        return model.result;
    }

    private void start() {
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            members.add(member(i));
        }
        for (int i = 0; i < size; i++) {
            Membership membership = Membership.of(member(i), SETTINGS, manner.surveillance(), 0);
            entries.add(membership);
            act(i, membership.step(MembershipEvent.registrations(members), 0));
        }
    }

    private void run() {
        for (nowMillis = 1; nowMillis < RUN_MILLIS; nowMillis++) {
            while (!deliveries.isEmpty() && deliveries.peek().atMillis <= nowMillis) {
                deliver(deliveries.poll());
            }
            freeze();
            for (int i = 0; i < size; i++) {
                long phase = SETTINGS.intervalMillis() * i / size;
                if (runs(i) && nowMillis % SETTINGS.intervalMillis() == phase) {
                    talk(i);
                    act(i, entries.get(i).step(MembershipEvent.tick(), nowMillis));
                }
            }
        }
    }

    private void freeze() {
        if (nowMillis > SETTLE_MILLIS && nowMillis < STOP_MILLIS && nowMillis % FREEZE_EVERY_MILLIS == 0) {
            frozenUntil.put(random.nextInt(size), nowMillis + FREEZE_MILLIS);
        }
    }

    /** Sends other messages to peers, which carry heartbeats if the manner has it so. */
    private void talk(int from) {
        double perInterval = trafficPerSecond * SETTINGS.intervalMillis() / 1_000;
        for (int to = 0; to < size; to++) {
            if (manner.carried() && to != from && random.nextDouble() < perInterval) {
                Membership membership = entries.get(from);
                Heartbeat heartbeat = full(membership.nextHeartbeat());
                if (measured()) {
                    result.carried(encode(heartbeat).length);
                }
                send(to, heartbeat);
                act(from, membership.step(MembershipEvent.piggybacked(member(to).id()), nowMillis));
            }
        }
    }

    private void act(int entry, List<MembershipAction> actions) {
        for (MembershipAction action : actions) {
            int peer = action.member().endpoint().port() - 1;
            if (action.kind() == MembershipAction.Kind.SEND) {
                Heartbeat heartbeat = full(action.heartbeat().orElseThrow());
                if (measured()) {
                    result.sent(encode(heartbeat).length);
                }
                send(peer, heartbeat);
            } else if (action.kind() == MembershipAction.Kind.SUSPECTED) {
                suspected(peer);
            }
        }
    }

    private void suspected(int peer) {
        if (peer == stopping && nowMillis > STOP_MILLIS) {
            result.detected(nowMillis - STOP_MILLIS);
        } else if (measured() && nowMillis - frozenUntil.getOrDefault(peer, 0L) > SETTINGS.suspectAfterMillis()) {
            result.falselySuspected();
        }
    }

    private void send(int to, Heartbeat heartbeat) {
        if (random.nextDouble() >= loss) {
            deliveries.add(new Delivery(nowMillis + 1 + random.nextInt(MAX_DELAY_MILLIS), to, heartbeat));
        }
    }

    private void deliver(Delivery delivery) {
        if (runs(delivery.to)) {
            Membership membership = entries.get(delivery.to);
            act(delivery.to, membership.step(MembershipEvent.heartbeat(delivery.heartbeat), nowMillis));
        } else if (delivery.to != stopping || nowMillis < STOP_MILLIS) {
            deliveries.add(new Delivery(frozenUntil.get(delivery.to), delivery.to, delivery.heartbeat));
        }
    }

    private boolean runs(int entry) {
        boolean stopped = entry == stopping && nowMillis >= STOP_MILLIS;
        return !stopped && frozenUntil.getOrDefault(entry, 0L) <= nowMillis;
    }

    private boolean measured() {
        return nowMillis >= SETTLE_MILLIS && nowMillis < STOP_MILLIS;
    }

    private Heartbeat full(Heartbeat heartbeat) {
        return heartbeat.toBuilder().config(1_000, 20).loads(loads).build();
    }

    private static byte[] encode(Heartbeat heartbeat) {
        try {
            return HeartbeatCodec.encode(heartbeat);
        } catch (HeartbeatException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Member member(int index) {
        return Member.of(EntryId.of("entry-" + index), 1, Endpoint.of("10.0.0." + index, index + 1));
    }

    private static List<EntryPoolLoad> loads() {
        List<EntryPoolLoad> loads = new ArrayList<>();
        for (int pool = 0; pool < POOLS; pool++) {
            Map<WorkerId, Integer> inFlight = new HashMap<>();
            for (int worker = 0; worker < WORKERS_PER_POOL; worker++) {
                inFlight.put(WorkerId.of("pool-" + pool + "-" + worker), 1);
            }
            loads.add(EntryPoolLoad.of(PoolName.of("pool-" + pool), 1, inFlight));
        }
        return loads;
    }

    /**
     * A heartbeat on its way.
     */
    private static final class Delivery implements Comparable<Delivery> {
        private final long atMillis;
        private final int to;
        private final Heartbeat heartbeat;

        private Delivery(long atMillis, int to, Heartbeat heartbeat) {
            this.atMillis = atMillis;
            this.to = to;
            this.heartbeat = heartbeat;
        }

        @Override
        public int compareTo(Delivery other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
