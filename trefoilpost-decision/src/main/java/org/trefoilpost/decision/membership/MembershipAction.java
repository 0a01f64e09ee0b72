package org.trefoilpost.decision.membership;

import java.util.Objects;
import java.util.Optional;

/**
 * Something that an entry is to do, or to know, after a step of its membership.
 */
public final class MembershipAction {
    private final Kind kind;
    private final Member member;
    private final Heartbeat heartbeat;

    private MembershipAction(Kind kind, Member member, Heartbeat heartbeat) {
        this.kind = kind;
        this.member = Objects.requireNonNull(member, "member");
        this.heartbeat = heartbeat;
    }

    static MembershipAction send(Member member, Heartbeat heartbeat) {
        return new MembershipAction(Kind.SEND, member, heartbeat);
    }

    static MembershipAction of(Kind kind, Member member) {
        return new MembershipAction(kind, member, null);
    }

    /**
     * Returns what is to be done or known.
     *
     * @return the kind, not null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the peer.
     *
     * @return the peer, not null
     */
    public Member member() {
        return member;
    }

    /**
     * Returns the heartbeat to send, to which the sender adds its loads, drains and epochs.
     *
     * @return the heartbeat, not null, empty unless one is to be sent
     */
    public Optional<Heartbeat> heartbeat() {
        return Optional.ofNullable(heartbeat);
    }

    /**
     * Returns the kind and the peer.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind + " " + member;
    }

    /**
     * What is to be done or known.
     */
    public enum Kind {
        /** A heartbeat is to be sent to the peer. */
        SEND,
        /** The peer was heard for the first time, or again after its removal. */
        JOINED,
        /** The peer has started anew, perhaps at another address. */
        REPLACED,
        /** The peer is suspected. */
        SUSPECTED,
        /** The peer is no longer suspected. */
        RECOVERED,
        /** The peer counts as gone. */
        REMOVED,
        /** A newer incarnation of this entry itself is at work, so this one is to stop. */
        SUPERSEDED
    }
}
