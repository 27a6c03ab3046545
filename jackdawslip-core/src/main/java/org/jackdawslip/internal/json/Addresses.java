package org.jackdawslip.internal.json;

import java.util.regex.Pattern;

/** Validates IP addresses and ports without name resolution. Stateless and thread-safe. */
public final class Addresses {

    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");
    /** The length of the longest IP address in text form. Matching longer texts would take quadratic time. */
    private static final int MAX_LENGTH = 45;

    private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");
    private static final int MAX_PORT = 65_535;
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

    private Addresses() {}

    /**
     * Returns the port from 1 to 65,535 that the text has in decimal digits, or -1 if the text is not a port.
     */
    public static int port(String text) {
        int port = PORT.matcher(text).matches() ? Integer.parseInt(text) : -1;
        return port <= MAX_PORT ? port : -1;
    }

    /** Returns whether the text is an IPv4 or IPv6 address. */
    public static boolean isIpAddress(String text) {
        if (text.length() > MAX_LENGTH) {
            return false;
        }
        if (IPV4.matcher(text).matches()) {
            return true;
        }
        if (!IPV6.matcher(text).matches()) {
            return false;
        }
        try {
            // A text in brackets is parsed as an IPv6 literal, without name resolution.
            return java.net.InetAddress.getByName("[" + text + "]") != null;
        } catch (java.net.UnknownHostException e) {
            return false;
        }
    }
}
