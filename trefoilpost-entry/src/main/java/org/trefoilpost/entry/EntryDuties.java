package org.trefoilpost.entry;

import org.trefoilpost.entry.claim.ClaimDuty;
import org.trefoilpost.entry.configuration.ConfigurationService;
import org.trefoilpost.entry.fleet.FleetDuty;
import org.trefoilpost.entry.membership.MembershipService;
import org.trefoilpost.entry.peer.PeerNetwork;
import org.trefoilpost.entry.request.RequestDuty;

/**
 * The duties of an entry, which refer to each other and so are set one after the other at the start.
 */
final class EntryDuties {
    private volatile RequestDuty requests;
    private volatile ClaimDuty claims;
    private volatile FleetDuty fleet;
    private volatile ConfigurationService configuration;
    private volatile MembershipService membership;
    private volatile PeerNetwork network;

    RequestDuty requests() {
        return started(requests);
    }

    ClaimDuty claims() {
        return started(claims);
    }

    FleetDuty fleet() {
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

    void requests(RequestDuty duty) {
        this.requests = duty;
    }

    void claims(ClaimDuty duty) {
        this.claims = duty;
    }

    void fleet(FleetDuty duty) {
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
