package org.trefoilpost.decision.membership;

import java.util.List;
import java.util.Objects;
import org.trefoilpost.model.EntryId;

/**
 * Something that happened to an entry's membership.
 */
public abstract class MembershipEvent {
    private MembershipEvent() {}

    /**
     * Returns the event of the timer that goes off once in each heartbeat interval.
     *
     * @return the event, not null
     */
    public static MembershipEvent tick() {
        return new MembershipEvent() {
            @Override
            void apply(Membership membership, long nowMillis) {
                membership.tick(nowMillis);
            }
        };
    }

    /**
     * Returns the event of a heartbeat that arrived.
     *
     * @param heartbeat  the heartbeat, not null
     * @return the event, not null
     */
    public static MembershipEvent heartbeat(Heartbeat heartbeat) {
        Objects.requireNonNull(heartbeat, "heartbeat");
        return new MembershipEvent() {
            @Override
            void apply(Membership membership, long nowMillis) {
                membership.heartbeatReceived(heartbeat, nowMillis);
            }
        };
    }

    /**
     * Returns the event of the registrations that were read from the store.
     *
     * @param members  the registered entries, not null
     * @return the event, not null
     */
    public static MembershipEvent registrations(List<Member> members) {
        List<Member> copy = List.copyOf(members);
        return new MembershipEvent() {
            @Override
            void apply(Membership membership, long nowMillis) {
                membership.registrationsRead(copy, nowMillis);
            }
        };
    }

    /**
     * Returns the event of a message to a peer that carried a heartbeat along.
     *
     * @param peer  the peer, not null
     * @return the event, not null
     */
    public static MembershipEvent piggybacked(EntryId peer) {
        Objects.requireNonNull(peer, "peer");
        return new MembershipEvent() {
            @Override
            void apply(Membership membership, long nowMillis) {
                membership.heartbeatPiggybacked(peer, nowMillis);
            }
        };
    }

    /**
     * Returns the event of a change that all peers are to hear of at once, such as a drain.
     *
     * @return the event, not null
     */
    public static MembershipEvent broadcast() {
        return new MembershipEvent() {
            @Override
            void apply(Membership membership, long nowMillis) {
                membership.sendToAll(nowMillis);
            }
        };
    }

    abstract void apply(Membership membership, long nowMillis);
}
