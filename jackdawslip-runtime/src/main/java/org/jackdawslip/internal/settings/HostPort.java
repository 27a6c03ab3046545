package org.jackdawslip.internal.settings;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jackdawslip.internal.json.Addresses;

/**
 * An IP address and a port. Immutable and thread-safe.
 *
 * @param host the IP address without brackets
 * @param port from 0 to 65535; with 0 a listener uses a free port that the operating system chooses
 */
public record HostPort(String host, int port) {

    private static final Pattern PATTERN = Pattern.compile("(?:\\[([^\\]]+)\\]|([^:]+)):([0-9]{1,5})");
    private static final int MAX_PORT = 65535;

    /** Parses a text such as {@code 127.0.0.1:8080} or {@code [::1]:8080}. Returns empty for other forms. */
    public static Optional<HostPort> parse(String text) {
        Matcher matcher = PATTERN.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String host = matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
        int port = Integer.parseInt(matcher.group(3));
        return Addresses.isIpAddress(host) && port <= MAX_PORT
                ? Optional.of(new HostPort(host, port))
                : Optional.empty();
    }

    /** Returns this address as a socket address. */
    public InetSocketAddress toSocketAddress() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
    }
}
