package org.trefoilpost.model;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * An IP address and a port. Host names are not resolved, and therefore not accepted.
 */
public final class Endpoint {
    private static final int MAX_PORT = 65_535;
    private static final Pattern PORT = Pattern.compile("[0-9]{1,5}");

    /** The numbers 0 to 255, without leading zeros, which some programs read as octal. */
    private static final String IPV4_NUMBER = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";

    private static final Pattern IPV4_ADDRESS = Pattern.compile(IPV4_NUMBER + "(\\." + IPV4_NUMBER + "){3}");
    private static final Pattern IPV6_CHARACTERS = Pattern.compile("[0-9A-Fa-f.]*:[0-9A-Fa-f:.]*");

    private final String host;
    private final int port;

    private Endpoint(String host, int port) {
        this.host = host;
        this.port = port;
    }

    /**
     * Obtains an endpoint from an address and a port.
     *
     * @param host  the IP address, an IPv6 address with or without brackets, not null
     * @param port  the port, from 0 to 65535, where 0 lets the operating system choose one when listening
     * @return the endpoint, not null
     * @throws IllegalArgumentException if the host is not an IP address or the port is out of range
     */
    public static Endpoint of(String host, int port) {
        if (!isIpAddress(Objects.requireNonNull(host, "host"))) {
            throw new IllegalArgumentException("'" + host + "' is not an IP address");
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
     * @throws IllegalArgumentException if the text does not have this form, the address is not an IP address, or the port
     *     is out of range
     */
    public static Endpoint parse(String text) {
        int colon = Objects.requireNonNull(text, "text").lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("'" + text + "' is not an endpoint: address:port is expected");
        }
        return of(text.substring(0, colon), parsePort(text, text.substring(colon + 1)));
    }

    private static int parsePort(String text, String port) {
        if (!PORT.matcher(port).matches()) {
            throw new IllegalArgumentException("'" + text + "' is not an endpoint: the port is not a number");
        }
        return Integer.parseInt(port);
    }

    private static boolean isIpAddress(String host) {
        if (IPV4_ADDRESS.matcher(host).matches()) {
            return true;
        }
        boolean bracketed = host.startsWith("[") && host.endsWith("]");
        String address = bracketed ? host.substring(1, host.length() - 1) : host;
        if (!IPV6_CHARACTERS.matcher(address).matches()) {
            return false;
        }
        try {
            // A name in brackets is never looked up.
            InetAddress.getByName('[' + address + ']');
            return true;
        } catch (UnknownHostException e) {
            return false;
        }
    }

    /**
     * Returns the IP address.
     *
     * @return the address as it was given, not null
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
