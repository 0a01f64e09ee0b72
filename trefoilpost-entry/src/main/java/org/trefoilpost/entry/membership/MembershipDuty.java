package org.trefoilpost.entry.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.trefoilpost.decision.membership.AllToAllTopology;
import org.trefoilpost.decision.membership.Heartbeat;
import org.trefoilpost.decision.membership.HeartbeatCodec;
import org.trefoilpost.decision.membership.HeartbeatException;
import org.trefoilpost.decision.membership.Member;
import org.trefoilpost.decision.membership.Membership;
import org.trefoilpost.decision.membership.MembershipAction;
import org.trefoilpost.decision.membership.MembershipEvent;
import org.trefoilpost.decision.membership.MembershipSettings;
import org.trefoilpost.entry.log.Codes;
import org.trefoilpost.entry.log.EventLog;
import org.trefoilpost.entry.log.LogEvent;
import org.trefoilpost.entry.metrics.EntryMetrics;
import org.trefoilpost.entry.peer.HeartbeatFrame;
import org.trefoilpost.entry.peer.PeerNetwork;
import org.trefoilpost.entry.platform.KeyValueStore;
import org.trefoilpost.entry.runtime.Duty;
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.model.EntryId;

/**
 * The duty that knows the other entries. Its methods may be called from any thread.
 */
public final class MembershipDuty implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(MembershipDuty.class);
    private static final int RING_CAPACITY = 4_096;
    private static final long REGISTRY_INTERVAL_MILLIS = 3_000;
    private static final long END_WAIT_MILLIS = 2_000;

    private final Duty<Event> duty;
    private final Member self;
    private final Membership membership;
    private final MembershipSettings settings;
    private final EntryRegistry registry;
    private final PeerNetwork network;
    private final HeartbeatContent content;
    private final EntryMetrics metrics;
    private volatile List<Member> live = List.of();
    private volatile Set<EntryId> registered = Set.of();
    private volatile boolean storeUp;

    private MembershipDuty(Builder builder, Duty<Event> duty, MillisClock clock) {
        this.duty = duty;
        this.self = builder.self;
        this.settings = MembershipSettings.defaults();
        this.membership = Membership.of(self, settings, new AllToAllTopology(), clock.nowMillis());
        this.registry = new EntryRegistry(builder.store, self);
        this.network = builder.network;
        this.content = builder.content;
        this.metrics = builder.metrics;
    }

    /**
     * Returns a builder of the duty.
     *
     * @param self  this entry, not null
     * @return the builder, not null
     */
    public static Builder builder(Member self) {
        return new Builder(self);
    }

    /**
     * Returns the peers that are alive or only suspected.
     *
     * @return the peers, not null
     */
    public List<Member> live() {
        return live;
    }

    /**
     * Returns this entry and its live peers.
     *
     * @return the entries, not null
     */
    public Set<EntryId> liveEntries() {
        Set<EntryId> entries = new TreeSet<>();
        entries.add(self.id());
        live.forEach(member -> entries.add(member.id()));
        return entries;
    }

    /**
     * Returns every entry that may have work in flight: the live ones, and those whose registration stands.
     *
     * @return the entries, not null
     */
    public Set<EntryId> possibleEntries() {
        Set<EntryId> entries = liveEntries();
        entries.addAll(registered);
        return entries;
    }

    /**
     * Returns whether the last call to the key-value service succeeded.
     *
     * @return true if it did
     */
    public boolean isStoreUp() {
        return storeUp;
    }

    /**
     * Takes in a heartbeat from the network.
     *
     * @param frame  the heartbeat, not null
     */
    public void received(HeartbeatFrame frame) {
        try {
            Heartbeat heartbeat = HeartbeatCodec.decode(frame.heartbeat());
            duty.post(now -> {
                run(membership.step(MembershipEvent.heartbeat(heartbeat), now));
                content.heard(heartbeat, frame.configurationChange());
            });
        } catch (HeartbeatException e) {
            metrics.count("trefoilpost.heartbeats.rejected", Codes.of(e.fault()));
        }
    }

    /**
     * Takes the registration out, so that peers and the platform know that this entry is gone.
     */
    public void leave() {
        try {
            registry.end().get(END_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn(LogEvent.of("registration-left-to-lapse").withFailure(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Ends the duty's thread.
     */
    @Override
    public void close() {
        duty.close();
    }

    private void begin() {
        duty.start((event, nowMillis) -> event.apply(nowMillis));
        duty.post(this::tick);
        duty.post(this::refresh);
    }

    private void tick(long nowMillis) {
        run(membership.step(MembershipEvent.tick(), nowMillis));
        duty.schedule(nowMillis + settings.intervalMillis(), this::tick);
    }

    private void refresh(long nowMillis) {
        CompletableFuture<List<Member>> listed = registry.renew().thenCompose(renewed -> registry.list());
        listed.whenComplete((members, failure) -> duty.post(now -> refreshed(members, failure, now)));
    }

    private void refreshed(List<Member> members, Throwable failure, long nowMillis) {
        storeUp = failure == null;
        if (failure == null) {
            Set<EntryId> entries = new TreeSet<>();
            members.forEach(member -> entries.add(member.id()));
            registered = entries;
            run(membership.step(MembershipEvent.registrations(members), nowMillis));
        } else {
            metrics.count("trefoilpost.store.failures", "registry");
        }
        duty.schedule(nowMillis + REGISTRY_INTERVAL_MILLIS, this::refresh);
    }

    private void run(List<MembershipAction> actions) {
        boolean changed = false;
        for (MembershipAction action : actions) {
            if (action.kind() == MembershipAction.Kind.SEND) {
                send(action.member(), action.heartbeat().orElseThrow());
            } else {
                changed = true;
                tell(action);
            }
        }
        if (changed || membership.live().size() != live.size()) {
            live = new ArrayList<>(membership.live());
        }
    }

    private void tell(MembershipAction action) {
        String kind = Codes.of(action.kind());
        metrics.count("trefoilpost.membership.changes", kind);
        LOG.info(LogEvent.of("entry-" + kind)
                .with("entry", action.member().id())
                .with("incarnation", action.member().incarnation()));
        if (action.kind() == MembershipAction.Kind.REMOVED) {
            network.disconnect(action.member().id());
        }
    }

    private void send(Member member, Heartbeat heartbeat) {
        network.connect(member.id(), member.endpoint());
        Heartbeat.Builder builder = heartbeat.toBuilder();
        content.fill(builder);
        try {
            byte[] bytes = HeartbeatCodec.encode(builder.build());
            network.send(member.id(), HeartbeatFrame.of(bytes, content.configurationChange()));
        } catch (HeartbeatException e) {
            LOG.error(LogEvent.of("heartbeat-not-sent").withFailure(e));
        }
    }

    /**
     * Something that the duty does on its own thread.
     */
    @FunctionalInterface
    private interface Event {
        void apply(long nowMillis);
    }

    /**
     * Builder of the duty.
     */
    public static final class Builder {
        private final Member self;
        private KeyValueStore store;
        private PeerNetwork network;
        private HeartbeatContent content;
        private EntryMetrics metrics;

        private Builder(Member self) {
            this.self = self;
        }

        /**
         * Sets the key-value service.
         *
         * @param newStore  the service, not null
         * @return this builder, not null
         */
        public Builder store(KeyValueStore newStore) {
            this.store = newStore;
            return this;
        }

        /**
         * Sets the connections to the peers.
         *
         * @param newNetwork  the connections, not null
         * @return this builder, not null
         */
        public Builder network(PeerNetwork newNetwork) {
            this.network = newNetwork;
            return this;
        }

        /**
         * Sets what heartbeats carry.
         *
         * @param newContent  the content, not null
         * @return this builder, not null
         */
        public Builder content(HeartbeatContent newContent) {
            this.content = newContent;
            return this;
        }

        /**
         * Sets the metrics.
         *
         * @param newMetrics  the metrics, not null
         * @return this builder, not null
         */
        public Builder metrics(EntryMetrics newMetrics) {
            this.metrics = newMetrics;
            return this;
        }

        /**
         * Starts the duty.
         *
         * @param clock  the clock, not null
         * @return the duty, not null
         */
        public MembershipDuty start(MillisClock clock) {
            MembershipDuty membership = new MembershipDuty(this, Duty.of("membership", RING_CAPACITY, clock), clock);
            membership.begin();
            return membership;
        }
    }
}
