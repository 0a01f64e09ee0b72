package org.trefoilpost.entry;

import org.trefoilpost.entry.claim.ClaimService;
import org.trefoilpost.entry.configuration.ConfigurationService;
import org.trefoilpost.entry.fleet.FleetService;
import org.trefoilpost.entry.membership.MembershipService;
import org.trefoilpost.entry.peer.PeerNetwork;
import org.trefoilpost.entry.request.RequestService;

/**
 * The duties of an entry, which refer to each other and so are set one after the other at the start.
 */
final class EntryDuties {
    private volatile RequestService requests;
    private volatile ClaimService claims;
    private volatile FleetService fleet;
    private volatile ConfigurationService configuration;
    private volatile MembershipService membership;
    private volatile PeerNetwork network;

    RequestService requests() {
        return started(requests);
    }

    ClaimService claims() {
        return started(claims);
    }

    FleetService fleet() {
        return started(fleet);
    }

    ConfigurationService configuration() {
        return started(configuration);
    }

    MembershipService membership() {
        return started(membership);
    }

    PeerNetwork network() {
        return started(network);
    }

    /**
     * Returns whether every duty has been set.
     *
     * @return true if peers' messages can be handled
     */
    boolean isComplete() {
        return requests != null
                && claims != null
                && fleet != null
                && configuration != null
                && membership != null
                && network != null;
    }

    void requests(RequestService duty) {
        this.requests = duty;
    }

    void claims(ClaimService duty) {
        this.claims = duty;
    }

    void fleet(FleetService duty) {
        this.fleet = duty;
    }

    void configuration(ConfigurationService duty) {
        this.configuration = duty;
    }

    void membership(MembershipService duty) {
        this.membership = duty;
    }

    void network(PeerNetwork newNetwork) {
        this.network = newNetwork;
    }

    private static <T> T started(T duty) {
        if (duty == null) {
            throw new IllegalStateException("a duty has not started yet");
        }
        return duty;
    }
}
