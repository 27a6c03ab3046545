package org.jackdawslip.platform;

import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The surroundings of one case: the store stand-in, the gateways as processes of the deploy file, and the record of
 * what was sent, answered and run. Thread-safe.
 */
final class Lab implements AutoCloseable {

    static final int EXIT_HELD = 0;
    static final int EXIT_BROKEN = 1;
    static final int EXIT_NOT_RUN = 2;

    private static final long READY_MILLIS = 20_000;
    private static final long POLL_MILLIS = 20;

    /** One process of the entry role with its settings. */
    static final class GatewayProcess {
        final String name;
        final int callerPort;
        final int readinessPort;
        final int firstInternalPort;
        final Process process;

        GatewayProcess(String name, int callerPort, int readinessPort, int firstInternalPort, Process process) {
            this.name = name;
            this.callerPort = callerPort;
            this.readinessPort = readinessPort;
            this.firstInternalPort = firstInternalPort;
            this.process = process;
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }
    }

    final StoreStandin store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path repository;
    private final Path temporary;
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private boolean closed;
    private final List<GatewayProcess> gateways = new CopyOnWriteArrayList<>();

    /** Starts the store. The first argument of a case is the repository, the second the folder of the case. */
    Lab(String[] arguments) throws IOException {
        repository = Path.of(arguments[0]).toAbsolutePath().normalize();
        record = Files.newBufferedWriter(Path.of(arguments[1], "record.txt"));
        temporary = Files.createTempDirectory("review-case");
        store = new StoreStandin();
        // A case that is ended early must leave no process behind.
        Runtime.getRuntime().addShutdownHook(new Thread(this::endGateways));
        record("case", "trouble=" + trouble);
    }

    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Adds a line to record.txt. */
    synchronized void record(String event, String text) {
        if (closed) {
            return;
        }
        try {
            record.write(String.format("%8.3f %-9s %s%n", seconds(), event, text));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the command of the entry role in the deploy file. */
    private List<String> command() throws IOException {
        String deployFile = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deployFile);
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        return new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
    }

    /** Starts a gateway with settings like those of a small deployment. */
    GatewayProcess startGateway(String name, String zone, String storeAddress) throws IOException {
        int callerPort = TestDeployment.freePort();
        int readinessPort = TestDeployment.freePort();
        int firstInternalPort = freeRange();
        Path settings = temporary.resolve(name + ".json");
        Files.writeString(settings, settingsJson(name, zone, callerPort, readinessPort, firstInternalPort, storeAddress));
        ProcessBuilder builder = new ProcessBuilder(command()).directory(repository.toFile());
        builder.environment().put("JACKDAWSLIP_CONFIG", settings.toString());
        File log = temporary.resolve(name + "-" + gateways.size() + ".log").toFile();
        Process process = builder.redirectErrorStream(true).redirectOutput(log).start();
        GatewayProcess gateway = new GatewayProcess(name, callerPort, readinessPort, firstInternalPort, process);
        gateways.add(gateway);
        record("gateway", name + " pid=" + process.pid() + " port=" + callerPort);
        return gateway;
    }

    /** Returns the first of 16 ports whose first two, the ones that are used, are free. */
    private static int freeRange() throws IOException {
        while (true) {
            int port = 12_000 + ThreadLocalRandom.current().nextInt(7_000);
            InetAddress loopback = InetAddress.getLoopbackAddress();
            try (DatagramSocket datagrams = new DatagramSocket(port, loopback);
                    ServerSocket first = new ServerSocket(port, 1, loopback);
                    ServerSocket second = new ServerSocket(port + 1, 1, loopback)) {
                if (datagrams.isBound() && first.isBound() && second.isBound()) {
                    return port;
                }
            } catch (BindException e) {
                // A port is in use; try another range.
                continue;
            }
        }
    }

    private static String settingsJson(
            String name, String zone, int callerPort, int readinessPort, int firstInternalPort, String storeAddress) {
        return "{\"grants\":\"call\",\"self\":{\"node\":\"" + name + "\",\"role\":\"entry\",\"machine_class\":\"front\","
                + "\"serves\":[\"front\"],\"ip\":\"127.0.0.1\",\"zone\":\"" + zone + "\",\"region\":\"r\","
                + "\"bootstrap\":true,\"data_directory\":null,\"limits\":{\"cpu_share\":0.6,\"cores\":1,"
                + "\"memory_mb\":430,\"fd_limit\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}},"
                + "\"network\":{\"listen\":{\"front\":\"127.0.0.1:" + callerPort + "\",\"ready\":\"127.0.0.1:"
                + readinessPort + "\"},\"internal_port_range\":[" + firstInternalPort + "," + (firstInternalPort + 15)
                + "],\"seeds\":[],\"zones\":{\"" + zone + "\":\"r\"}},"
                + "\"platform\":{\"discovery\":\"platform\",\"entry\":\"virtual_ip\",\"heartbeat_interval_ms\":870,"
                + "\"platform\":{\"address\":\"" + storeAddress + "\",\"form\":\"kv\",\"writes_per_s\":400,"
                + "\"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"min_ttl_ms\":1000}},"
                + "\"terms\":{\"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"own\","
                + "\"places\",\"platform\"],\"fault_tolerance\":{\"machines\":1,\"zones\":1,\"regions\":0},"
                + "\"bounds\":{\"seed_lag_s\":3,\"address_reuse_s\":2,\"contact_ms\":3000,\"ack_timeout_ms\":4000,"
                + "\"catch_up_s\":4,\"drain_ms\":2000,\"grace_period_s\":6,\"loss_slack_ms\":200,"
                + "\"config_apply_ms\":2000,\"rollback_slack_ms\":250,\"max_stretch_ms\":5000,"
                + "\"retry_budget_ratio\":0.2,\"budget_window_s\":10,\"retry_budget_slack\":60,"
                + "\"warmup_overshoot\":1.5,\"warmup_slack\":5,\"evacuation_ms\":5000,\"recovery_s\":15,"
                + "\"max_hold_ms\":10000,\"thaw_slack_ms\":300}}}";
    }

    /** Waits until the gateway says that it is ready. */
    void awaitReady(GatewayProcess gateway) throws InterruptedException {
        await("readiness of " + gateway.name, READY_MILLIS, () -> {
            if (!gateway.process.isAlive()) {
                throw new IllegalStateException(gateway.name + " ended");
            }
            return Caller.readinessStatus(gateway.readinessPort) == 200;
        });
    }

    static void await(String awaited, long millis, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("timed out waiting for " + awaited);
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    /** Returns the logs of the gateways, for the explanation of a result. */
    Path logs() {
        return temporary;
    }

    private void endGateways() {
        gateways.forEach(gateway -> gateway.process.destroyForcibly());
    }

    /** Ends all processes that were started, and the store. */
    @Override
    public void close() throws Exception {
        endGateways();
        for (GatewayProcess gateway : gateways) {
            gateway.process.waitFor();
        }
        store.close();
        synchronized (this) {
            closed = true;
            record.close();
        }
        if (System.getenv("KEEP_LOGS") == null) {
            try (Stream<Path> files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } else {
            System.out.println("logs in " + temporary);
        }
    }

    /** A case with its result. */
    interface Case {
        /** Returns the exit status. */
        int run(Lab lab) throws Exception;
    }

    /** Runs a case and exits with its status; a case that cannot run exits with 2. */
    static void main(String[] arguments, Case reviewCase) {
        int status = EXIT_NOT_RUN;
        try (Lab lab = new Lab(arguments)) {
            status = reviewCase.run(lab);
            lab.record("result", "exit " + status);
        } catch (Exception e) {
            e.printStackTrace();
            status = EXIT_NOT_RUN;
        }
        System.out.println("exit " + status);
        Runtime.getRuntime().halt(status);
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
