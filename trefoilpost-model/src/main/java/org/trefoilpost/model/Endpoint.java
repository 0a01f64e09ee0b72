package org.trefoilpost.model;

import java.util.Objects;

/**
 * An IP address and a port.
 */
public final class Endpoint {
    private static final int MAX_PORT = 65_535;

    private final String host;
    private final int port;

    private Endpoint(String host, int port) {
        this.host = host;
        this.port = port;
    }

    /**
     * Obtains an endpoint from an address and a port.
     *
     * @param host  the IP address, not null, not blank
     * @param port  the port, from 0 to 65535, where 0 lets the operating system choose one when listening
     * @return the endpoint, not null
     * @throws IllegalArgumentException if the address is blank or the port is out of range
     */
    public static Endpoint of(String host, int port) {
        Objects.requireNonNull(host, "host");
        if (host.isBlank()) {
            throw new IllegalArgumentException("endpoint address is blank: an IP address is expected");
        }
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " is out of range: 0 to 65535 is expected");
        }
        return new Endpoint(host, port);
    }

    /**
     * Parses an endpoint of the form {@code address:port}, split at the last colon.
     *
     * @param text  the address and port, such as {@code 10.0.0.1:8080}, not null
     * @return the endpoint, not null
     * @throws IllegalArgumentException if the text does not have this form or the port is out of range
     */
    public static Endpoint parse(String text) {
        int colon = Objects.requireNonNull(text, "text").lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' is not an endpoint: address:port is expected");
        }
        return of(text.substring(0, colon), parsePort(text, text.substring(colon + 1)));
    }

    private static int parsePort(String text, String port) {
        try {
            return Integer.parseInt(port);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("'" + text + "' is not an endpoint: the port is not a number", e);
        }
    }

    /**
     * Returns the IP address.
     *
     * @return the address, not null, not blank
     */
    public String host() {
        return host;
    }

    /**
     * Returns the port.
     *
     * @return the port, from 0 to 65535
     */
    public int port() {
        return port;
    }

    /**
     * Returns whether the address is a loopback address.
     *
     * @return true if the address begins with {@code 127.} or is the IPv6 address {@code ::1}
     */
    public boolean isLoopback() {
        return host.startsWith("127.") || host.equals("::1") || host.equals("[::1]");
    }

    @Override
    public boolean equals(Object object) {
        return object instanceof Endpoint other && other.port == port && other.host.equals(host);
    }

    @Override
    public int hashCode() {
        return Objects.hash(host, port);
    }

    /**
     * Returns this endpoint in the form {@code address:port}.
     *
     * @return the text, not null
     */
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
