package org.jackdawslip.internal.http;

/**
 * Sets the system properties of the JDK HTTP server and client, which read them once per process.
 *
 * <p>A process must call {@link #apply} before it uses any HTTP server or client. Values given on the command
 * line take precedence. The measurements behind the values are in docs/http.md. Thread-safe.
 */
public final class JdkHttpSettings {

    private JdkHttpSettings() {}

    /** Sets those of the properties that have no value yet. */
    public static void apply() {
        setIfAbsent("sun.net.httpserver.nodelay", "true");
        setIfAbsent("sun.net.httpserver.maxIdleConnections", "10000");
        setIfAbsent("sun.net.httpserver.maxReqHeaders", "100");
        // Seconds. Without this limit, a request that is sent slowly could occupy a reading thread without
        // end.
        setIfAbsent("sun.net.httpserver.maxReqTime", "10");
        // Additional protection against repeated requests: SingleSendBody depends on how the JDK client uses
        // a body.
        setIfAbsent("jdk.httpclient.redirects.retrylimit", "1");
        // The router itself decides whether there is time for another attempt to connect.
        setIfAbsent("jdk.httpclient.disableRetryConnect", "true");
        setIfAbsent("jdk.httpclient.keepalive.timeout", "60");
    }

    private static void setIfAbsent(String name, String value) {
        if (System.getProperty(name) == null) {
            System.setProperty(name, value);
        }
    }
}
