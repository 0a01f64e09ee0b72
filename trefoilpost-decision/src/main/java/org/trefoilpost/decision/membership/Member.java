package org.trefoilpost.decision.membership;

import java.util.Objects;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * One incarnation of an entry, with its address.
 */
public final class Member {
    private final EntryId id;
    private final long incarnation;
    private final Endpoint endpoint;

    private Member(EntryId id, long incarnation, Endpoint endpoint) {
        this.id = Objects.requireNonNull(id, "id");
        this.incarnation = incarnation;
        this.endpoint = Objects.requireNonNull(endpoint, "endpoint");
    }

    /**
     * Obtains a member.
     *
     * @param id  the entry's id, not null
     * @param incarnation  the incarnation number, which increases with each start of the entry
     * @param endpoint  the address at which the entry receives messages of its peers, not null
     * @return the member, not null
     */
    public static Member of(EntryId id, long incarnation, Endpoint endpoint) {
        return new Member(id, incarnation, endpoint);
    }

    /**
     * Returns the entry's id.
     *
     * @return the id, not null
     */
    public EntryId id() {
        return id;
    }

    /**
     * Returns the incarnation number, which increases with each start of the entry.
     *
     * @return the incarnation number
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the address at which the entry receives messages of its peers.
     *
     * @return the endpoint, not null
     */
    public Endpoint endpoint() {
        return endpoint;
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Member other
                && other.id.equals(id)
                && other.incarnation == incarnation
                && other.endpoint.equals(endpoint);
    }

    @Override
    public int hashCode() {
        return Objects.hash(id, incarnation, endpoint);
    }

    /**
     * Returns the id, incarnation and endpoint.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return id + "#" + incarnation + "@" + endpoint;
    }
}
