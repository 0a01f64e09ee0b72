package org.trefoilpost.decision.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.trefoilpost.model.EntryId;

/**
 * An entry's view of its peers.
 *
 * <p>Peers are discovered by their registrations in the store and by the addresses that heartbeats pass on. A peer
 * whose heartbeats are missing is suspected and later removed; a newer heartbeat makes it alive again. An entry that
 * was paused itself restarts the silence period of each live peer, as it processed no heartbeats during the pause.
 * Views of different entries may differ, so no decision that needs agreement rests on them.
 *
 * <p>Not thread-safe: one thread owns a membership.
 */
public final class Membership {
    /** The number of heartbeat intervals between two heartbeats to a peer that is not live. */
    private static final int INTERVALS_PER_PROBE = 8;

    private final Member self;
    private final MembershipSettings settings;
    private final HeartbeatTopology topology;
    private final TreeMap<EntryId, Peer> peers = new TreeMap<>();
    private List<MembershipAction> actions = new ArrayList<>();
    private long sequence;
    private long lastStepMillis;
    private int firstMemberIndex;
    private long lastRefutationMillis;

    private Membership(Member self, MembershipSettings settings, HeartbeatTopology topology, long nowMillis) {
        this.self = Objects.requireNonNull(self, "self");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.topology = Objects.requireNonNull(topology, "surveillance");
        this.lastStepMillis = nowMillis;
        this.lastRefutationMillis = nowMillis - settings.intervalMillis();
    }

    /**
     * Obtains the membership of an entry that knows no peers.
     *
     * @param self  the entry itself, not null
     * @param settings  the timeouts of failure detection, not null
     * @param topology  which peers receive heartbeats and monitor each other, not null
     * @param nowMillis  the current time in milliseconds
     * @return the membership, not null
     */
    public static Membership of(Member self, MembershipSettings settings, HeartbeatTopology topology, long nowMillis) {
        return new Membership(self, settings, topology, nowMillis);
    }

    /**
     * Processes an event.
     *
     * @param event  the event, not null
     * @param nowMillis  the current time in milliseconds
     * @return the actions that result, in order, not null, may be empty
     */
    public List<MembershipAction> step(MembershipEvent event, long nowMillis) {
        if (nowMillis - lastStepMillis > settings.pauseThresholdMillis()) {
            restartSilencePeriods(nowMillis);
        }
        lastStepMillis = nowMillis;
        event.apply(this, nowMillis);
        List<MembershipAction> result = actions;
        actions = new ArrayList<>();
        return result;
    }

    /**
     * Returns a new heartbeat with the next sequence number, for a message to a peer that carries it.
     *
     * @return the heartbeat, not null
     */
    public Heartbeat nextHeartbeat() {
        sequence++;
        return Heartbeat.builder(self, sequence)
                .members(nextGossipedMembers())
                .suspects(topology.disseminatesSuspicions() ? inState(MemberState.SUSPECTED) : List.of())
                .build();
    }

    /**
     * Returns the live peers, which are alive or suspected, in the order of their names.
     *
     * @return the peers, not null
     */
    public List<Member> live() {
        List<Member> members = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.live()) {
                members.add(peer.member());
            }
        }
        return members;
    }

    /**
     * Returns the state of a peer.
     *
     * @param entry  the peer's id, not null
     * @return the state, not null, empty if the peer is not known
     */
    public Optional<MemberState> state(EntryId entry) {
        return Optional.ofNullable(peers.get(entry)).map(Peer::state);
    }

    void tick(long nowMillis) {
        firstMemberIndex = (firstMemberIndex + settings.membersPerHeartbeat()) % Math.max(1, live().size());
        detectFailures(nowMillis);
        List<Peer> live = livePeers();
        int own = ownPosition(live);
        for (Peer peer : List.copyOf(peers.values())) {
            int position = live.indexOf(peer);
            boolean notLive = position < 0;
            boolean regardlessOfTopology = notLive || peer.state() == MemberState.SUSPECTED;
            boolean receives =
                    regardlessOfTopology || topology.sendsTo(own, positionWithSelf(position, own), live.size() + 1);
            long intervalMillis = notLive ? INTERVALS_PER_PROBE * settings.intervalMillis() : settings.intervalMillis();
            if (receives && nowMillis - peer.lastSentMillis() >= intervalMillis) {
                send(peer, nowMillis);
            }
        }
    }

    void heartbeatReceived(Heartbeat heartbeat, long nowMillis) {
        Member sender = heartbeat.sender();
        mergeMembers(heartbeat.members(), nowMillis);
        if (isSelf(sender)) {
            return;
        }
        Peer peer = peers.computeIfAbsent(sender.id(), id -> new Peer(sender, nowMillis));
        Member before = peer.member();
        if (sender.incarnation() < before.incarnation()) {
            notifySuperseded(sender, before);
            return;
        }
        if (!peer.acceptIfNewer(heartbeat)) {
            return;
        }
        removeOthersAt(sender);
        peer.silentSinceMillis(nowMillis);
        markAlive(peer, before);
        heartbeat.suspects().forEach(suspect -> suspicionReceived(suspect, nowMillis));
    }

    void registrationsRead(List<Member> members, long nowMillis) {
        Set<EntryId> ids = new HashSet<>();
        members.forEach(member -> ids.add(member.id()));
        mergeMembers(members, nowMillis);
        peers.values()
                .forEach(peer -> peer.registered(ids.contains(peer.member().id())));
    }

    void heartbeatPiggybacked(EntryId entry, long nowMillis) {
        Peer peer = peers.get(entry);
        if (peer != null) {
            peer.lastSentMillis(nowMillis);
        }
    }

    void sendToAll(long nowMillis) {
        for (Peer peer : peers.values()) {
            if (peer.state() != MemberState.REMOVED) {
                send(peer, nowMillis);
            }
        }
    }

    /** Restarts the silence period of each live peer after a pause of this entry, and sends a heartbeat to all. */
    private void restartSilencePeriods(long nowMillis) {
        for (Peer peer : peers.values()) {
            if (peer.live()) {
                peer.silentSinceMillis(nowMillis);
            }
        }
        sendToAll(nowMillis);
    }

    private void detectFailures(long nowMillis) {
        List<Peer> live = livePeers();
        int own = ownPosition(live);
        boolean anySuspected = false;
        for (Peer peer : live) {
            long silenceMillis = nowMillis - peer.silentSinceMillis();
            boolean monitored = topology.monitors(own, positionWithSelf(live.indexOf(peer), own), live.size() + 1);
            if (peer.state() == MemberState.ALIVE && monitored && silenceMillis >= settings.suspectAfterMillis()) {
                markSuspected(peer);
                anySuspected = true;
            }
            if (peer.state() == MemberState.SUSPECTED && silenceMillis >= settings.removeAfterMillis()) {
                markRemoved(peer);
            }
        }
        if (anySuspected && topology.disseminatesSuspicions()) {
            sendToAll(nowMillis);
        }
        peers.values().removeIf(peer -> expired(peer, nowMillis));
    }

    private boolean expired(Peer peer, long nowMillis) {
        return !peer.live()
                && !peer.registered()
                && nowMillis - peer.silentSinceMillis() >= settings.forgetAfterMillis();
    }

    private void markAlive(Peer peer, Member before) {
        if (!peer.live()) {
            actions.add(MembershipAction.of(MembershipAction.Kind.JOINED, peer.member()));
        } else if (!before.equals(peer.member())) {
            reportReplacement(peer);
        } else if (peer.state() == MemberState.SUSPECTED) {
            actions.add(MembershipAction.of(MembershipAction.Kind.RECOVERED, peer.member()));
        }
        peer.state(MemberState.ALIVE);
    }

    private void reportReplacement(Peer peer) {
        if (peer.live()) {
            actions.add(MembershipAction.of(MembershipAction.Kind.REPLACED, peer.member()));
        }
    }

    private void markSuspected(Peer peer) {
        peer.state(MemberState.SUSPECTED);
        actions.add(MembershipAction.of(MembershipAction.Kind.SUSPECTED, peer.member()));
    }

    private void markRemoved(Peer peer) {
        peer.state(MemberState.REMOVED);
        actions.add(MembershipAction.of(MembershipAction.Kind.REMOVED, peer.member()));
    }

    /** Adopts a peer's suspicion, unless this entry monitors and hears the suspect; refutes a suspicion of itself. */
    private void suspicionReceived(Member suspect, long nowMillis) {
        if (suspect.id().equals(self.id())) {
            refuteSuspicion(suspect, nowMillis);
            return;
        }
        Peer peer = peers.get(suspect.id());
        boolean current = peer != null && peer.member().incarnation() <= suspect.incarnation();
        if (current && peer.state() == MemberState.ALIVE && !monitorsAndHears(peer, nowMillis)) {
            peer.silentSinceMillis(Math.max(peer.silentSinceMillis(), nowMillis - settings.suspectAfterMillis()));
            markSuspected(peer);
        }
    }

    private boolean monitorsAndHears(Peer peer, long nowMillis) {
        List<Peer> live = livePeers();
        int own = ownPosition(live);
        boolean monitors = topology.monitors(own, positionWithSelf(live.indexOf(peer), own), live.size() + 1);
        return monitors && nowMillis - peer.silentSinceMillis() < settings.suspectAfterMillis();
    }

    /** Sends a heartbeat to all peers, at most once per interval, so that suspicions cannot multiply messages. */
    private void refuteSuspicion(Member suspect, long nowMillis) {
        boolean due = nowMillis - lastRefutationMillis >= settings.intervalMillis();
        if (due && suspect.incarnation() == self.incarnation()) {
            lastRefutationMillis = nowMillis;
            sendToAll(nowMillis);
        }
    }

    private void mergeMembers(List<Member> members, long nowMillis) {
        for (Member member : members) {
            if (isSelf(member)) {
                continue;
            }
            Peer peer = peers.get(member.id());
            if (peer == null) {
                peers.put(member.id(), new Peer(member, nowMillis));
            } else if (member.incarnation() > peer.member().incarnation()) {
                peer.replace(member);
                reportReplacement(peer);
            }
        }
    }

    private boolean isSelf(Member member) {
        if (!member.id().equals(self.id())) {
            return false;
        }
        if (member.incarnation() > self.incarnation()) {
            actions.add(MembershipAction.of(MembershipAction.Kind.SUPERSEDED, member));
        }
        return true;
    }

    /** Tells an older incarnation of an entry, which may have been paused, that a newer one has replaced it. */
    private void notifySuperseded(Member older, Member newer) {
        Heartbeat heartbeat =
                nextHeartbeat().toBuilder().members(List.of(newer)).build();
        actions.add(MembershipAction.send(older, heartbeat));
    }

    /** Removes the other entries at the address of an entry from which a heartbeat arrived. */
    private void removeOthersAt(Member sender) {
        for (Peer peer : peers.values()) {
            boolean sameAddress = peer.member().endpoint().equals(sender.endpoint());
            if (sameAddress && !peer.member().id().equals(sender.id()) && peer.live()) {
                markRemoved(peer);
            }
        }
    }

    private void send(Peer peer, long nowMillis) {
        peer.lastSentMillis(nowMillis);
        Heartbeat heartbeat = nextHeartbeat();
        if (topology.disseminatesSuspicions() && peer.state() == MemberState.REMOVED) {
            heartbeat = heartbeat.toBuilder().suspects(List.of(peer.member())).build();
        }
        actions.add(MembershipAction.send(peer.member(), heartbeat));
    }

    /** Returns the next live peers in turn, so that every peer learns of all of them over successive intervals. */
    private List<Member> nextGossipedMembers() {
        List<Member> live = live();
        int count = Math.min(settings.membersPerHeartbeat(), live.size());
        List<Member> chosen = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            chosen.add(live.get((firstMemberIndex + i) % live.size()));
        }
        return chosen;
    }

    private List<Member> inState(MemberState state) {
        List<Member> members = new ArrayList<>();
        for (Peer peer : peers.values()) {
            if (peer.state() == state) {
                members.add(peer.member());
            }
        }
        return members;
    }

    /** Returns the live peers in the order of their names. */
    private List<Peer> livePeers() {
        List<Peer> live = new ArrayList<>(peers.values());
        live.removeIf(peer -> !peer.live());
        return live;
    }

    /** Returns the position that this entry would have among the live peers. */
    private int ownPosition(List<Peer> live) {
        int position = 0;
        while (position < live.size() && live.get(position).member().id().compareTo(self.id()) < 0) {
            position++;
        }
        return position;
    }

    /** Converts a position among the live peers into one among the live peers and this entry. */
    private static int positionWithSelf(int position, int own) {
        return position >= own ? position + 1 : position;
    }
}
