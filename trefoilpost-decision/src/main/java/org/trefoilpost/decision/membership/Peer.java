package org.trefoilpost.decision.membership;

/**
 * What an entry knows of one peer.
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

    void registered(boolean nowRegistered) {
        this.registered = nowRegistered;
    }

    /** Returns the time at which the peer was last heard, or at which it was last given the benefit of the doubt. */
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

    /** Replaces the member by a newer incarnation, whose sequence starts anew. */
    void replace(Member newer) {
        this.member = newer;
        this.lastSequence = Long.MIN_VALUE;
    }

    /** Returns whether a heartbeat is newer than all that came before, and remembers it. */
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
