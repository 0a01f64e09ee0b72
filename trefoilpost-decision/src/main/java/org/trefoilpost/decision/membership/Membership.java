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
 * <p>Peers are found by their registrations in the store and by the addresses that travel on heartbeats. Silence makes
 * a peer suspected and later removed; a newer heartbeat brings it back. An entry that was itself paused listens before
 * it suspects anyone. Views are hints: peers may differ, and nothing is agreed by them. One thread owns a membership.
 */
public final class Membership {
    /** The intervals between two heartbeats to a peer that is not heard. */
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

    private Membership(Member self, MembershipSettings settings, HeartbeatTopology surveillance, long nowMillis) {
        this.self = Objects.requireNonNull(self, "self");
        this.settings = Objects.requireNonNull(settings, "settings");
        this.topology = Objects.requireNonNull(surveillance, "surveillance");
        this.lastStepMillis = nowMillis;
        this.lastRefutationMillis = nowMillis - settings.intervalMillis();
    }

    /**
     * Obtains the membership of an entry that knows no peers.
     *
     * @param self  the entry itself, not null
     * @param settings  the times of the protocol, not null
     * @param surveillance  who watches whom, not null
     * @param nowMillis  the present time in milliseconds
     * @return the membership, not null
     */
    public static Membership of(
            Member self, MembershipSettings settings, HeartbeatTopology surveillance, long nowMillis) {
        return new Membership(self, settings, surveillance, nowMillis);
    }

    /**
     * Takes an event in.
     *
     * @param event  the event, not null
     * @param nowMillis  the present time in milliseconds
     * @return what is to be done and known, in order, not null
     */
    public List<MembershipAction> step(MembershipEvent event, long nowMillis) {
        if (nowMillis - lastStepMillis > settings.pauseThresholdMillis()) {
            restartSilencePeriods(nowMillis);
        }
        lastStepMillis = nowMillis;
        event.apply(this, nowMillis);
        List<MembershipAction> done = actions;
        actions = new ArrayList<>();
        return done;
    }

    /**
     * Returns the heartbeat that a message to a peer may carry along.
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
     * Returns the peers that are alive or only suspected, in the order of their names.
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
     * Returns what a peer is taken to be.
     *
     * @param entry  the peer, not null
     * @return the state, not null, empty if the peer is not known
     */
    public Optional<MemberState> state(EntryId entry) {
        return Optional.ofNullable(peers.get(entry)).map(Peer::state);
    }

    void tick(long nowMillis) {
        firstMemberIndex = (firstMemberIndex + settings.membersPerHeartbeat()) % Math.max(1, live().size());
        detectFailures(nowMillis);
        List<Peer> ring = livePeers();
        int own = ownPosition(ring);
        for (Peer peer : List.copyOf(peers.values())) {
            int position = ring.indexOf(peer);
            boolean quiet = position < 0;
            boolean asked = quiet || peer.state() == MemberState.SUSPECTED;
            boolean chosen = asked || topology.sendsTo(own, ringPosition(position, own), ring.size() + 1);
            long interval = quiet ? INTERVALS_PER_PROBE * settings.intervalMillis() : settings.intervalMillis();
            if (chosen && nowMillis - peer.lastSentMillis() >= interval) {
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

    /** Gives every peer the benefit of the doubt after this entry's own pause, and makes itself heard. */
    private void restartSilencePeriods(long nowMillis) {
        for (Peer peer : peers.values()) {
            if (peer.live()) {
                peer.silentSinceMillis(nowMillis);
            }
        }
        sendToAll(nowMillis);
    }

    private void detectFailures(long nowMillis) {
        List<Peer> ring = livePeers();
        int own = ownPosition(ring);
        boolean suspected = false;
        for (Peer peer : ring) {
            long silence = nowMillis - peer.silentSinceMillis();
            boolean watched = topology.monitors(own, ringPosition(ring.indexOf(peer), own), ring.size() + 1);
            if (peer.state() == MemberState.ALIVE && watched && silence >= settings.suspectAfterMillis()) {
                markSuspected(peer);
                suspected = true;
            }
            if (peer.state() == MemberState.SUSPECTED && silence >= settings.removeAfterMillis()) {
                markRemoved(peer);
            }
        }
        if (suspected && topology.disseminatesSuspicions()) {
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

    /** Takes a peer's suspicion over, unless this entry heard the suspect itself; a suspect refutes it. */
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
        List<Peer> ring = livePeers();
        int own = ownPosition(ring);
        boolean watches = topology.monitors(own, ringPosition(ring.indexOf(peer), own), ring.size() + 1);
        return watches && nowMillis - peer.silentSinceMillis() < settings.suspectAfterMillis();
    }

    /** Makes this entry heard by all, at most once in each interval, so that suspicions cannot multiply messages. */
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

    /** Tells an older incarnation, which may have been paused, of the one that took its place. */
    private void notifySuperseded(Member older, Member newer) {
        Heartbeat heartbeat =
                nextHeartbeat().toBuilder().members(List.of(newer)).build();
        actions.add(MembershipAction.send(older, heartbeat));
    }

    /** Removes the entries that had the address of another entry that is heard there now. */
    private void removeOthersAt(Member heard) {
        for (Peer peer : peers.values()) {
            boolean sameAddress = peer.member().endpoint().equals(heard.endpoint());
            if (sameAddress && !peer.member().id().equals(heard.id()) && peer.live()) {
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

    /** Returns some of the live peers, others in each interval, so that every peer hears of all of them in turn. */
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
        List<Peer> ring = new ArrayList<>(peers.values());
        ring.removeIf(peer -> !peer.live());
        return ring;
    }

    /** Returns this entry's place among the live peers. */
    private int ownPosition(List<Peer> ring) {
        int position = 0;
        while (position < ring.size() && ring.get(position).member().id().compareTo(self.id()) < 0) {
            position++;
        }
        return position;
    }

    /** Returns a peer's place in the ring when this entry's own place is counted as well. */
    private static int ringPosition(int position, int own) {
        return position >= own ? position + 1 : position;
    }
}
