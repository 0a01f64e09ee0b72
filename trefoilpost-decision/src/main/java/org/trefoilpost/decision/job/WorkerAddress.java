package org.trefoilpost.decision.job;

import java.util.Objects;
import java.util.Optional;
import org.trefoilpost.model.Endpoint;

/**
 * The IP address and the port at which a worker accepts calls.
 *
 * @param endpoint  the address, with a port from 1 on, not null
 */
public record WorkerAddress(Endpoint endpoint) {
    /**
     * Constructs an address.
     *
     * @throws IllegalArgumentException if the port is 0, at which no worker can be called
     */
    public WorkerAddress {
        Objects.requireNonNull(endpoint, "endpoint");
        if (endpoint.port() == 0) {
            throw new IllegalArgumentException("no worker can be called at port 0");
        }
    }

    /**
     * Obtains an address from an IP address and a port.
     *
     * @param host  the IP address, not null
     * @param port  the port, from 1 to 65535
     * @return the address, not null
     * @throws IllegalArgumentException if the host is not an IP address or the port is out of range
     */
    public static WorkerAddress of(String host, int port) {
        return new WorkerAddress(Endpoint.of(host, port));
    }

    /**
     * Parses an address of the form {@code host:port}.
     *
     * @param text  the IP address and port, not null
     * @return the address, empty if the text is none, not null
     */
    public static Optional<WorkerAddress> parse(String text) {
        try {
            return Optional.of(new WorkerAddress(Endpoint.parse(text)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns this address in the form {@code host:port}.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return endpoint.toString();
    }
}
