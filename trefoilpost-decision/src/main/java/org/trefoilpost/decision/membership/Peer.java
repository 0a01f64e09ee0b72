package org.trefoilpost.decision.membership;

/**
 * The state of one peer in an entry's membership.
 */
final class Peer {
    private Member member;
    private MemberState state = MemberState.KNOWN;
    private boolean registered;
    private long lastSequence = Long.MIN_VALUE;
    private long silentSinceMillis;
    private long lastSentMillis = Long.MIN_VALUE / 2;

    Peer(Member member, long nowMillis) {
        this.member = member;
        this.silentSinceMillis = nowMillis;
    }

    Member member() {
        return member;
    }

    MemberState state() {
        return state;
    }

    void state(MemberState newState) {
        this.state = newState;
    }

    boolean registered() {
        return registered;
    }

    void registered(boolean newRegistered) {
        this.registered = newRegistered;
    }

    /**
     * Returns the start of the peer's silence: its discovery, its last accepted heartbeat or the end of a pause of this
     * entry. If a suspicion is adopted from another peer, it is no earlier than the suspicion timeout before that.
     */
    long silentSinceMillis() {
        return silentSinceMillis;
    }

    void silentSinceMillis(long millis) {
        this.silentSinceMillis = millis;
    }

    long lastSentMillis() {
        return lastSentMillis;
    }

    void lastSentMillis(long millis) {
        this.lastSentMillis = millis;
    }

    /** Replaces the member by a newer incarnation and accepts any sequence number of it. */
    void replace(Member newer) {
        this.member = newer;
        this.lastSequence = Long.MIN_VALUE;
    }

    /** Records a heartbeat if it is newer than all accepted before, and returns whether it is. */
    boolean acceptIfNewer(Heartbeat heartbeat) {
        Member sender = heartbeat.sender();
        boolean newer = sender.incarnation() > member.incarnation();
        if (!newer && (sender.incarnation() < member.incarnation() || heartbeat.sequence() <= lastSequence)) {
            return false;
        }
        member = sender;
        lastSequence = heartbeat.sequence();
        return true;
    }

    boolean live() {
        return state == MemberState.ALIVE || state == MemberState.SUSPECTED;
    }
}
