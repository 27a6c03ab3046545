package org.jackdawslip.standins;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Builds a {@link BackendServerProcess}. Not thread-safe. */
public final class BackendServerBuilder {

    String id = "backend-1";
    String host = "127.0.0.1";
    int port;
    boolean checksTokens = true;
    int slots = 3;
    double serviceMillis = 2;
    double serviceSigma = 0.5;
    boolean warm;
    int coldSlots = 1;
    long coldMillis = 1000;
    int coldResponses = 20;
    long loadLagMillis = 1000;
    long seed = 1;

    BackendServerBuilder() {}

    static BackendServerBuilder parse(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("backend-server")
                .build()
                .defaultHelp(true)
                .description("A fake backend server whose key grants have fencing tokens.");
        parser.addArgument("--id").setDefault("backend-1").help("id in responses and in the journal");
        parser.addArgument("--host").setDefault("127.0.0.1").help("address to listen on");
        parser.addArgument("--port").type(Integer.class).setDefault(0).help("port, 0 for any");
        parser.addArgument("--no-token-check")
                .action(Arguments.storeTrue())
                .help("record grants but accept stale tokens");
        parser.addArgument("--slots").type(Integer.class).setDefault(3).help("highest number of concurrent requests");
        parser.addArgument("--service-millis")
                .type(Double.class)
                .setDefault(2.0)
                .help("median of the log-normal service time in milliseconds");
        parser.addArgument("--service-sigma")
                .type(Double.class)
                .setDefault(0.5)
                .help("standard deviation of the logarithm of the service time; 0 makes it constant");
        parser.addArgument("--warm").action(Arguments.storeTrue()).help("start in the warm state");
        parser.addArgument("--cold-slots")
                .type(Integer.class)
                .setDefault(1)
                .help("highest number of concurrent requests while cold");
        parser.addArgument("--cold-millis")
                .type(Long.class)
                .setDefault(1000L)
                .help("minimum time in the cold state in milliseconds");
        parser.addArgument("--cold-answers")
                .type(Integer.class)
                .setDefault(20)
                .help("responses after which the server may become warm");
        parser.addArgument("--load-lag-millis")
                .type(Long.class)
                .setDefault(1000L)
                .help("age of load reports in milliseconds");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the service times");
        Namespace arguments = parser.parseArgsOrFail(args);
        BackendServerBuilder builder = new BackendServerBuilder()
                .id(arguments.getString("id"))
                .host(arguments.getString("host"))
                .port(arguments.getInt("port"))
                .checksTokens(!arguments.getBoolean("no_token_check"))
                .slots(arguments.getInt("slots"))
                .serviceTime(arguments.getDouble("service_millis"), arguments.getDouble("service_sigma"))
                .cold(
                        arguments.getInt("cold_slots"),
                        arguments.getLong("cold_millis"),
                        arguments.getInt("cold_answers"))
                .loadLagMillis(arguments.getLong("load_lag_millis"))
                .seed(arguments.getLong("seed"));
        return arguments.getBoolean("warm") ? builder.warm() : builder;
    }

    /** Sets the id that responses and the journal contain. */
    public BackendServerBuilder id(String value) {
        id = value;
        return this;
    }

    /** Sets the address to listen on. */
    public BackendServerBuilder host(String value) {
        host = value;
        return this;
    }

    /** Sets the port to listen on; 0 selects a free port. */
    public BackendServerBuilder port(int value) {
        port = value;
        return this;
    }

    /** Sets whether calls and requests with stale tokens are rejected. */
    public BackendServerBuilder checksTokens(boolean value) {
        checksTokens = value;
        return this;
    }

    /** Sets the highest number of concurrent requests. Further requests are shed. */
    public BackendServerBuilder slots(int value) {
        slots = value;
        return this;
    }

    /**
     * Sets the log-normal service time: its median in milliseconds and the standard deviation of its
     * logarithm.
     */
    public BackendServerBuilder serviceTime(double medianMillis, double sigma) {
        serviceMillis = medianMillis;
        serviceSigma = sigma;
        return this;
    }

    /** Starts the backend server in the warm state; by default it starts cold. */
    public BackendServerBuilder warm() {
        warm = true;
        return this;
    }

    /**
     * Sets the behavior in the cold state.
     *
     * @param concurrentRequests the number of concurrent requests above which requests fail
     * @param millis the minimum time until the backend server is warm
     * @param responses the minimum number of successful responses until the backend server is warm
     */
    public BackendServerBuilder cold(int concurrentRequests, long millis, int responses) {
        coldSlots = concurrentRequests;
        coldMillis = millis;
        coldResponses = responses;
        return this;
    }

    /** Sets the age of load reports in milliseconds. */
    public BackendServerBuilder loadLagMillis(long value) {
        loadLagMillis = value;
        return this;
    }

    /** Sets the seed of the service times. */
    public BackendServerBuilder seed(long value) {
        seed = value;
        return this;
    }

    /**
     * Starts the backend server.
     *
     * @throws java.io.UncheckedIOException if the port is in use
     */
    public BackendServerProcess start() {
        return new BackendServerProcess(this);
    }
}
