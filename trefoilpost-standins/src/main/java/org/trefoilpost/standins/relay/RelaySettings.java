package org.trefoilpost.standins.relay;

import com.beust.jcommander.Parameter;
import org.trefoilpost.model.Endpoint;

/**
 * The settings of a relay, which are also the flags of its program.
 */
public final class RelaySettings {
    @Parameter(names = "--listen", description = "where to listen, as address:port; port 0 for a free port")
    private String listen = "127.0.0.1:0";

    @Parameter(names = "--to", required = true, description = "where to forward to, as address:port")
    private String target;

    @Parameter(names = "--control", description = "where to take the switches of the faults, as address:port")
    private String control = "127.0.0.1:0";

    /**
     * Creates settings with free ports of 127.0.0.1.
     */
    public RelaySettings() {}

    /**
     * Sets where to listen.
     *
     * @param endpoint  the endpoint, port 0 for a free port, not null
     * @return these settings, not null
     */
    public RelaySettings listen(Endpoint endpoint) {
        this.listen = endpoint.toString();
        return this;
    }

    /**
     * Sets where to forward to.
     *
     * @param endpoint  the endpoint, not null
     * @return these settings, not null
     */
    public RelaySettings target(Endpoint endpoint) {
        this.target = endpoint.toString();
        return this;
    }

    /**
     * Sets where to take the switches of the faults.
     *
     * @param endpoint  the endpoint, port 0 for a free port, not null
     * @return these settings, not null
     */
    public RelaySettings control(Endpoint endpoint) {
        this.control = endpoint.toString();
        return this;
    }

    Endpoint listen() {
        return Endpoint.parse(listen);
    }

    Endpoint target() {
        return Endpoint.parse(target);
    }

    Endpoint control() {
        return Endpoint.parse(control);
    }
}
