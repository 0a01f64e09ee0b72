package org.trefoilpost.decision.membership;

import java.util.Objects;
import org.trefoilpost.model.Endpoint;
import org.trefoilpost.model.EntryId;

/**
 * An entry at an address in one of its incarnations.
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
     * @param id  the entry, not null
     * @param incarnation  the incarnation, which grows whenever the entry starts anew
     * @param endpoint  where the entry takes peers' messages, not null
     * @return the member, not null
     */
    public static Member of(EntryId id, long incarnation, Endpoint endpoint) {
        return new Member(id, incarnation, endpoint);
    }

    /**
     * Returns the entry.
     *
     * @return the entry, not null
     */
    public EntryId id() {
        return id;
    }

    /**
     * Returns the incarnation.
     *
     * @return the incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns where the entry takes peers' messages.
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
     * Returns the entry, incarnation and endpoint.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return id + "#" + incarnation + "@" + endpoint;
    }
}
