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
import org.trefoilpost.entry.runtime.MillisClock;
import org.trefoilpost.entry.runtime.ServiceThread;
import org.trefoilpost.model.EntryId;

/**
 * Tracks which other entries are alive, on a thread of its own. The methods may be called from any thread.
 */
public final class MembershipService implements AutoCloseable {
    private static final EventLog LOG = EventLog.of(MembershipService.class);
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long REGISTRY_REFRESH_INTERVAL_MILLIS = 3_000;
    private static final long LEAVE_TIMEOUT_MILLIS = 2_000;

    private final ServiceThread<Event> serviceThread;
    private final Member self;
    private final Membership membership;
    private final MembershipSettings settings;
    private final EntryRegistry registry;
    private final PeerNetwork network;
    private final HeartbeatContent heartbeatContent;
    private final EntryMetrics metrics;
    private volatile List<Member> livePeers = List.of();
    private volatile Set<EntryId> registeredEntries = Set.of();
    private volatile boolean storeReachable;

    private MembershipService(Builder builder, ServiceThread<Event> serviceThread, MillisClock clock) {
        this.serviceThread = serviceThread;
        this.self = builder.self;
        this.settings = MembershipSettings.defaults();
        this.membership = Membership.of(self, settings, new AllToAllTopology(), clock.nowMillis());
        this.registry = new EntryRegistry(builder.store, self);
        this.network = builder.network;
        this.heartbeatContent = builder.content;
        this.metrics = builder.metrics;
    }

    /**
     * Returns a builder of the service.
     *
     * @param self  this entry, not null
     * @return the builder, not null
     */
    public static Builder builder(Member self) {
        return new Builder(self);
    }

    /**
     * Returns the peers that are alive or suspected, but not yet removed.
     *
     * @return the peers, not null
     */
    public List<Member> livePeers() {
        return livePeers;
    }

    /**
     * Returns this entry and its live peers.
     *
     * @return the entries, not null
     */
    public Set<EntryId> liveEntries() {
        Set<EntryId> entries = new TreeSet<>();
        entries.add(self.id());
        livePeers.forEach(member -> entries.add(member.id()));
        return entries;
    }

    /**
     * Returns every entry that may have work in flight: this entry, its live peers, and the entries that were
     * registered at the last read of the registry.
     *
     * @return the entries, not null
     */
    public Set<EntryId> possibleEntries() {
        Set<EntryId> entries = liveEntries();
        entries.addAll(registeredEntries);
        return entries;
    }

    /**
     * Returns whether the last refresh of the registrations in the key-value service succeeded.
     *
     * @return true if it did
     */
    public boolean isStoreReachable() {
        return storeReachable;
    }

    /**
     * Handles a heartbeat from the network. A malformed heartbeat is counted and dropped.
     *
     * @param frame  the message with the encoded heartbeat, not null
     */
    public void receiveHeartbeat(HeartbeatFrame frame) {
        try {
            Heartbeat heartbeat = HeartbeatCodec.decode(frame.heartbeat());
            serviceThread.post(now -> {
                execute(membership.step(MembershipEvent.heartbeat(heartbeat), now));
                heartbeatContent.received(heartbeat, frame.configurationChange());
            });
        } catch (HeartbeatException e) {
            metrics.count("trefoilpost.heartbeats.rejected", Codes.of(e.fault()));
        }
    }

    /**
     * Removes the registration, so that peers and the platform know that this entry has left. Waits for a limited time;
     * if the removal fails, the registration expires with its lease.
     */
    public void deregister() {
        try {
            registry.deregister().get(LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn(LogEvent.of("registration-left-to-lapse").withFailure(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Stops the service's thread.
     */
    @Override
    public void close() {
        serviceThread.close();
    }

    private void begin() {
        serviceThread.start((event, nowMillis) -> event.apply(nowMillis));
        serviceThread.post(this::tick);
        serviceThread.post(this::refreshRegistrations);
    }

    private void tick(long nowMillis) {
        execute(membership.step(MembershipEvent.tick(), nowMillis));
        serviceThread.schedule(nowMillis + settings.intervalMillis(), this::tick);
    }

    private void refreshRegistrations(long nowMillis) {
        CompletableFuture<List<Member>> listed = registry.renew().thenCompose(renewed -> registry.list());
        listed.whenComplete((members, failure) -> serviceThread.post(now -> registrationsRead(members, failure, now)));
    }

    private void registrationsRead(List<Member> members, Throwable failure, long nowMillis) {
        storeReachable = failure == null;
        if (failure == null) {
            Set<EntryId> entries = new TreeSet<>();
            members.forEach(member -> entries.add(member.id()));
            registeredEntries = entries;
            execute(membership.step(MembershipEvent.registrations(members), nowMillis));
        } else {
            metrics.count("trefoilpost.store.failures", "registry");
        }
        serviceThread.schedule(nowMillis + REGISTRY_REFRESH_INTERVAL_MILLIS, this::refreshRegistrations);
    }

    private void execute(List<MembershipAction> actions) {
        boolean changed = false;
        for (MembershipAction action : actions) {
            if (action.kind() == MembershipAction.Kind.SEND) {
                sendHeartbeat(action.member(), action.heartbeat().orElseThrow());
            } else {
                changed = true;
                reportChange(action);
            }
        }
        if (changed || membership.live().size() != livePeers.size()) {
            livePeers = new ArrayList<>(membership.live());
        }
    }

    private void reportChange(MembershipAction action) {
        String kind = Codes.of(action.kind());
        metrics.count("trefoilpost.membership.changes", kind);
        LOG.info(LogEvent.of("entry-" + kind)
                .with("entry", action.member().id())
                .with("incarnation", action.member().incarnation()));
        if (action.kind() == MembershipAction.Kind.REMOVED) {
            network.disconnect(action.member().id());
        }
    }

    private void sendHeartbeat(Member member, Heartbeat heartbeat) {
        network.connect(member.id(), member.endpoint());
        Heartbeat.Builder builder = heartbeat.toBuilder();
        heartbeatContent.fill(builder);
        try {
            byte[] bytes = HeartbeatCodec.encode(builder.build());
            network.send(member.id(), HeartbeatFrame.of(bytes, heartbeatContent.configurationChange()));
        } catch (HeartbeatException e) {
            LOG.error(LogEvent.of("heartbeat-not-sent").withFailure(e));
        }
    }

    /**
     * An action that runs on the service's thread.
     */
    @FunctionalInterface
    private interface Event {
        void apply(long nowMillis);
    }

    /**
     * Builder of the service.
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
         * Sets the source of the additional state in heartbeats.
         *
         * @param newContent  the source, not null
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
         * Starts the service.
         *
         * @param clock  the clock, not null
         * @return the service, not null
         */
        public MembershipService start(MillisClock clock) {
            MembershipService membership =
                    new MembershipService(this, ServiceThread.of("membership", QUEUE_CAPACITY, clock), clock);
            membership.begin();
            return membership;
        }
    }
}
