package org.jackdawslip.internal.json;

import java.util.regex.Pattern;

/** Recognizes IP addresses without looking up names. Stateless and thread-safe. */
public final class Addresses {

    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern FOUR = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");
    /** Length of the longest text of an address; matching takes the square of the length. */
    private static final int MAX_LENGTH = 45;

    private static final Pattern PORT = Pattern.compile("[1-9][0-9]{0,4}");
    private static final int MAX_PORT = 65_535;
    private static final Pattern SIX = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

    private Addresses() {}

    /** Returns the port from 1 to 65,535 that the text names in decimal digits only, or -1. */
    public static int port(String text) {
        int port = PORT.matcher(text).matches() ? Integer.parseInt(text) : -1;
        return port <= MAX_PORT ? port : -1;
    }

    /** Returns whether the text is an IP address of version 4 or 6. */
    public static boolean isIpAddress(String text) {
        if (text.length() > MAX_LENGTH) {
            return false;
        }
        if (FOUR.matcher(text).matches()) {
            return true;
        }
        if (!SIX.matcher(text).matches()) {
            return false;
        }
        try {
            // Text with a colon is parsed as a literal and is never looked up.
            return java.net.InetAddress.getByName("[" + text + "]") != null;
        } catch (java.net.UnknownHostException e) {
            return false;
        }
    }
}
