package org.trefoilpost.decision.membership;

import java.util.Objects;
import java.util.Optional;

/**
 * A result of a step of the membership: a heartbeat to send, or a change of a member to report.
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
     * Returns the kind of action.
     *
     * @return the kind, not null
     */
    public Kind kind() {
        return kind;
    }

    /**
     * Returns the member that the action concerns.
     *
     * @return the newer incarnation of this entry if the kind is {@link Kind#SUPERSEDED}, else a peer, not null
     */
    public Member member() {
        return member;
    }

    /**
     * Returns the heartbeat to send, to which the caller adds its loads, drains and shard epochs.
     *
     * @return the heartbeat, not null, empty unless the kind is {@link Kind#SEND}
     */
    public Optional<Heartbeat> heartbeat() {
        return Optional.ofNullable(heartbeat);
    }

    /**
     * Returns the kind and the member.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return kind + " " + member;
    }

    /**
     * The kind of a membership action.
     */
    public enum Kind {
        /** A heartbeat is to be sent to the peer. */
        SEND,
        /** The first heartbeat of the peer arrived, or the first one after its removal. */
        JOINED,
        /** The peer was restarted, possibly at another address. */
        REPLACED,
        /** The peer is suspected of having failed. */
        SUSPECTED,
        /** The peer is no longer suspected. */
        RECOVERED,
        /** The peer counts as failed. */
        REMOVED,
        /** A newer incarnation of this entry is running, so this one has to stop. */
        SUPERSEDED
    }
}
