package org.jackdawslip.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpServer;
import org.jackdawslip.ErrorCode;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.session.FreePorts;
import org.jackdawslip.standins.StoreServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CommandLineTest {

    private static final String BUNDLE_TEMPLATE =
            """
            {"version": VERSION, "failureDomains": {"mitte-1": "in", "mitte-2": "in"},
             "services": [{"name": "ledger", "queueLimit": LIMIT}],
             "backendServers": [
               {"id": "l1", "service": "ledger", "failureDomain": "mitte-1", "host": "127.0.0.1", "port": 9001}]}
            """;

    @TempDir
    private Path directory;

    private final StoreServer storeServer = StoreServer.builder().start();
    private final String storeAddress = "127.0.0.1:" + storeServer.port();

    @BeforeEach
    void createKey() {
        assertExit(ExitCode.OK, run("keygen", "--key-id", "ops", "--out", file("ops.key")));
    }

    @AfterEach
    void closeStore() {
        storeServer.close();
    }

    /** Guards against a check that stops at the first of several errors. */
    @Test
    void checkListsEveryFault() throws IOException {
        write("bad.json", BUNDLE_TEMPLATE.replace("VERSION", "0").replace("LIMIT", "-1"));
        Result result = run("bundle", "check", file("bad.json"));
        assertExit(ExitCode.BAD_INPUT, result);
        assertTrue(result.err.contains("$.version"), result.err);
        assertTrue(result.err.contains("$.services[0].queueLimit"), result.err);
    }

    /** Guards against faults that pass the check of a bundle, and differences that are not reported. */
    @Test
    void configCheckReportsFaultsAndDifferencesOfABundle() throws IOException {
        write("old.json", bundleJson(1, 10));
        write("new.json", bundleJson(2, 20));
        Result valid = run("config", "check", file("new.json"), "--in-force", file("old.json"));
        assertExit(ExitCode.OK, valid);
        assertTrue(valid.out.contains("0 errors, 0 warnings"), valid.out);
        assertTrue(valid.out.contains("version: 1 becomes 2"), valid.out);
        assertTrue(valid.out.contains(".queueLimit: 10 becomes 20"), valid.out);
        Result older = run("config", "check", file("old.json"), "--in-force", file("new.json"), "--output", "json");
        assertExit(ExitCode.BAD_INPUT, older);
        assertTrue(older.out.contains("1 is not above 2, which is in force"), older.out);
        write("bad.json", BUNDLE_TEMPLATE.replace("VERSION", "0").replace("LIMIT", "-1"));
        Result result = run("config", "check", file("bad.json"));
        assertExit(ExitCode.BAD_INPUT, result);
        assertTrue(result.out.contains("error $.version"), result.out);
        assertTrue(result.out.contains("error $.services[0].queueLimit"), result.out);
    }

    /** Guards against a file that is checked against nothing and reported as valid. */
    @Test
    void configCheckRejectsWhatIsNoConfiguration() throws IOException {
        write("other.json", "{}");
        assertExit(ExitCode.BAD_INPUT, run("config", "check", file("other.json")));
        write("text.json", "no JSON");
        assertExit(ExitCode.BAD_INPUT, run("config", "check", file("text.json")));
    }

    /** Guards against concurrent rollouts of the same version that are both reported as successful. */
    @Test
    void oneOfTwoRacingRolloutsWins() throws IOException {
        assertExit(ExitCode.OK, rollOut(writeSignedBundle(1, 10)));
        String first = writeSignedBundle(2, 20);
        String second = writeSignedBundle(2, 30);
        storeServer.setCallDelayMillis(50);
        CompletableFuture<Result> otherResult = CompletableFuture.supplyAsync(() -> rollOut(first));
        Result ownResult = rollOut(second);
        Result loser = ownResult.code == ExitCode.OK ? otherResult.join() : ownResult;
        assertExit(ExitCode.OK, ownResult.code == ExitCode.OK ? ownResult : otherResult.join());
        assertExit(ExitCode.CONFLICT, loser);
        assertTrue(loser.err.contains("BUNDLE_CONFLICT"), loser.err);
        assertTrue(loser.err.contains("the store has version 2"), loser.err);
    }

    /**
     * Guards against a rollout that is reported as failed, or written twice, because the response was lost.
     */
    @Test
    void lostResponseIsResolvedByReadingBack() throws IOException {
        storeServer.dropWriteResponses(1);
        assertExit(ExitCode.OK, rollOut(writeSignedBundle(1, 10)));
        assertEquals(1, storeServer.callCountsByKind().get("writes"));
        assertTrue(run("bundle", "show", "--store", storeAddress).out.contains("version 1"));
    }

    /**
     * Guards against a rollout that writes a bundle without a trusted signature, or with a version that does
     * not follow the stored one.
     */
    @Test
    void rejectsUnsignedForeignAndNonConsecutiveBundles() throws IOException {
        write("plain.json", bundleJson(1, 10));
        assertExit(ExitCode.BAD_INPUT, rollOut(file("plain.json")));
        run("keygen", "--key-id", "other", "--out", file("other.key"));
        assertExit(
                ExitCode.OK, run("bundle", "sign", file("plain.json"), "--key", file("other.key"), "--out", file("s")));
        assertExit(ExitCode.BAD_INPUT, rollOut(file("s")));
        assertExit(ExitCode.CONFLICT, rollOut(writeSignedBundle(2, 10)));
        assertEquals(0, storeServer.callCountsByKind().get("writes"));
    }

    /** Guards against a command that hangs or reports success while the store is unreachable. */
    @Test
    void unreachableStoreHasItsOwnExitCode() throws IOException {
        String bundle = writeSignedBundle(1, 10);
        storeServer.close();
        Result result = rollOut(bundle);
        assertExit(ExitCode.UNREACHABLE, result);
        assertTrue(result.err.contains("STORE_UNAVAILABLE") && result.err.contains(storeAddress), result.err);
    }

    /**
     * Guards against a take-out that changes more than the state of the domain, or that signs a stored bundle
     * whose signature is not trusted.
     */
    @Test
    void takesDomainsOutAndBringsThemBack() throws Exception {
        assertExit(ExitCode.OK, rollOut(writeSignedBundle(1, 10)));
        assertExit(ExitCode.BAD_INPUT, changeDomain("take-out", "mite-2"));
        assertExit(ExitCode.OK, changeDomain("take-out", "mitte-2"));
        String shown =
                run("bundle", "show", "--store", storeAddress, "--trust", file("ops.key.pub"), "--output", "json").out;
        assertTrue(shown.contains("\"mitte-2\" : \"out\"") && shown.contains("\"queueLimit\" : 10"), shown);
        assertExit(ExitCode.OK, changeDomain("bring-back", "mitte-2"));
        assertTrue(run("bundle", "show", "--store", storeAddress).out.contains("version 3"));

        run("keygen", "--key-id", "foreign", "--out", file("foreign.key"));
        write("f.json", bundleJson(4, 10));
        run("bundle", "sign", file("f.json"), "--key", file("foreign.key"), "--out", file("f"));
        writeToStore("jackdawslip/bundle", java.nio.file.Files.readAllBytes(directory.resolve("f")));
        assertExit(ExitCode.BAD_INPUT, changeDomain("take-out", "mitte-2"));
    }

    /** Guards against a release while the coordinator or the successor may still run. */
    @Test
    void releaseRequiresCoordinatorAndSuccessor() throws Exception {
        writeToStore(
                "jackdawslip/domains/mitte-1",
                "{\"coordinator\":\"a\",\"successor\":\"b\",\"epoch\":4,\"mark\":\"x\"}"
                        .getBytes(StandardCharsets.UTF_8));
        String[] onlyCoordinatorNamed = {"domain", "release", "mitte-1", "--store", storeAddress, "--stopped", "a"};
        assertExit(ExitCode.BAD_INPUT, run(onlyCoordinatorNamed));
        storeServer.dropWriteResponses(1);
        Result released =
                run("domain", "release", "mitte-1", "--store", storeAddress, "--stopped", "a", "--stopped", "b");
        assertExit(ExitCode.OK, released);
        assertTrue(released.out.contains("epoch 5"), released.out);
    }

    /** Guards against a release that moves ranges of a domain in use, or leaves ranges at a lost domain. */
    @Test
    void releaseMovesRangesOnlyOfDomainTakenOut() throws Exception {
        writeToStore("jackdawslip/domains/mitte-2", "{\"epoch\":4}".getBytes(StandardCharsets.UTF_8));
        String homesRecord = "{\"version\":3,\"ranges\":[{\"first\":\"0000000000000000\",\"last\":\"7fffffffffffffff\","
                + "\"failureDomain\":\"mitte-1\"},{\"first\":\"8000000000000000\",\"last\":\"ffffffffffffffff\","
                + "\"failureDomain\":\"mitte-2\"}]}";
        writeToStore("jackdawslip/homes/ledger", homesRecord.getBytes(StandardCharsets.UTF_8));
        assertExit(ExitCode.OK, rollOut(writeSignedBundle(1, 10)));
        String[] release = {
            "domain",
            "release",
            "mitte-2",
            "--ranges",
            "--store",
            storeAddress,
            "--stopped",
            "a",
            "--trust",
            file("ops.key")
        };
        assertExit(ExitCode.BAD_INPUT, run(release));
        assertExit(ExitCode.OK, changeDomain("take-out", "mitte-2"));
        Result released = run(release);
        assertExit(ExitCode.OK, released);
        assertTrue(released.out.contains("ledger: 1 ranges moved to mitte-1"), released.out);
    }

    /**
     * Guards against an instance that starts with a misspelled setting, or does not report that its port is
     * in use.
     */
    @Test
    void runValidatesSettingsBeforeStart() throws IOException {
        String key =
                Output.JSON.readTree(directory.resolve("ops.key.pub").toFile()).toString();
        String settings = "{\"instance\":\"a\",\"failureDomain\":\"m\",\"callerAddress\":\"127.0.0.1:0\","
                + "\"peerAddress\":\"127.0.0.1:0\",\"adminAddress\":\"127.0.0.1:0\",\"storeAddress\":\"" + storeAddress
                + "\",\"trustedKeys\":[" + key + "]}";
        write("misspelled.json", settings.replace("peerAddress", "peerAdress"));
        write("good.json", settings);
        AtomicBoolean launched = new AtomicBoolean();
        EntryLauncher launcher = entrySettings -> {
            launched.set(true);
            throw new JackdawslipException(ErrorCode.ADDRESS_IN_USE, entrySettings.callerAddress() + " is in use");
        };
        Result refused = run(launcher, "run", "--settings", file("misspelled.json"));
        assertExit(ExitCode.BAD_INPUT, refused);
        assertTrue(refused.err.contains("did you mean \"peerAddress\"?"), refused.err);
        assertFalse(launched.get());
        Result started = run(launcher, "run", "--settings", file("good.json"));
        assertExit(ExitCode.FAILURE, started);
        assertTrue(started.err.contains("ADDRESS_IN_USE: 127.0.0.1:0"), started.err);
    }

    /** Guards against a status that omits silent instances or instances with an older bundle. */
    @Test
    void statusShowsSilentAndOutdatedInstances() throws IOException {
        HttpServer firstServer = startAdminServer("{\"instance\":\"a\",\"bundleVersion\":7}");
        HttpServer secondServer = startAdminServer("{\"instance\":\"b\",\"bundleVersion\":6}");
        int silent = FreePorts.findFreePort();
        Result result = run(
                "status",
                "--admin",
                addressOf(firstServer),
                "--admin",
                addressOf(secondServer),
                "--admin",
                "127.0.0.1:" + silent);
        firstServer.stop(0);
        secondServer.stop(0);
        assertExit(ExitCode.UNREACHABLE, result);
        String[] lines = result.out.split("\n");
        assertTrue(lines[1].contains("current") && lines[1].contains(" 7 "), result.out);
        assertTrue(lines[2].contains("behind") && lines[2].contains(" 6 "), result.out);
        assertTrue(lines[3].contains("silent") && lines[3].contains("cannot be reached"), result.out);
    }

    /** Guards against a malformed response that is shown as the status of an instance. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "000 X",
                "099 X",
                "600 X",
                "999 X",
                "+20 X",
                "200 X\r\nX Bad: 1",
                "200 X\r\nX-Bad : 1",
                "200 X\r\nX\u0001Bad: 1"
            })
    void statusShowsInstanceWithMalformedResponseAsSilent(String head) throws Exception {
        assertSilent(head);
    }

    /** Guards against a status code that is accepted because of its first three characters. */
    @ParameterizedTest
    @Tag("known-red")
    @ValueSource(strings = {"2000 X", "20000 X", "200x X"})
    void statusShowsInstanceWithLongStatusCodeAsSilent(String head) throws Exception {
        assertSilent(head);
    }

    private void assertSilent(String head) throws Exception {
        String body = "{\"instance\":\"a\",\"bundleVersion\":7}";
        String response = "HTTP/1.1 " + head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Result> result =
                    CompletableFuture.supplyAsync(() -> run("status", "--admin", "127.0.0.1:" + server.getLocalPort()));
            try (Socket connection = server.accept()) {
                BufferedReader reader = new BufferedReader(new InputStreamReader(connection.getInputStream()));
                while (!reader.readLine().isEmpty()) {
                    // The content of the request does not matter.
                    continue;
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                assertExit(ExitCode.UNREACHABLE, result.get());
                assertTrue(result.get().out.contains("silent"), result.get().out);
            }
        }
    }

    /**
     * Guards against a JSON status that omits duplicate instance ids, unreachable failure domains, or ranges
     * without an owner.
     */
    @Test
    void statusReportsProblemsInJson() throws IOException {
        String domains = "\"domains\":{\"m1\":{\"state\":\"in\",\"reachable\":true,\"bundle\":\"in-force\"},"
                + "\"m2\":{\"state\":\"in\",\"reachable\":false,\"bundle\":\"silent\"}}";
        String ranges =
                "\"ranges\":[{\"service\":\"ledger\",\"owner\":\"l1\"},{\"service\":\"ledger\",\"owner\":\"\"}]";
        String common = "{\"instance\":\"a\",\"failureDomain\":\"m1\",\"bundleVersion\":7," + domains + "," + ranges;
        HttpServer firstServer = startAdminServer(common + ",\"startId\":\"1\"}");
        HttpServer secondServer = startAdminServer(common + ",\"startId\":\"2\"}");
        Result result = run(
                "status", "--admin", addressOf(firstServer), "--admin", addressOf(secondServer), "--output", "json");
        firstServer.stop(0);
        secondServer.stop(0);
        assertExit(ExitCode.OK, result);
        JsonNode root = Output.JSON.readTree(result.out);
        assertFalse(root.path("inForceEverywhere").asBoolean(true), result.out);
        assertEquals("a", root.path("duplicateInstances").path(0).asText());
        assertEquals("m1", root.at("/failureDomains/m2/cutOffFrom/0").asText());
        assertEquals(1, root.at("/ranges/ledger/l1").asInt());
        assertEquals(1, root.at("/ranges/ledger/none").asInt());
    }

    /**
     * Guards against a refused request that is reported as a silent instance, without the reason of the
     * refusal.
     */
    @Test
    void requestShowsWhyAnInstanceRefuses() throws IOException {
        HttpServer refusing = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1);
        refusing.createContext("/requests", exchange -> {
            byte[] body = "{\"code\":\"UNKNOWN_SERVICE\",\"message\":\"no ledgr\"}".getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(404, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        refusing.start();
        Result result = run("request", "ledgr", "01936f2e-7c00-7000-8000-000000000001", "--admin", addressOf(refusing));
        refusing.stop(0);
        assertExit(ExitCode.BAD_INPUT, result);
        assertTrue(result.out.contains("refused") && result.out.contains("UNKNOWN_SERVICE: no ledgr"), result.out);
    }

    private static HttpServer startAdminServer(String status) throws IOException {
        HttpServer instance = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1);
        instance.createContext("/status", exchange -> {
            byte[] body = status.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        instance.start();
        return instance;
    }

    private static String addressOf(HttpServer instance) {
        return "127.0.0.1:" + instance.getAddress().getPort();
    }

    private Result changeDomain(String command, String name) {
        return run("domain", command, name, "--store", storeAddress, "--key", file("ops.key"));
    }

    private String writeSignedBundle(int version, int limit) throws IOException {
        String name = "bundle-" + version + "-" + limit;
        write(name + ".json", bundleJson(version, limit));
        assertExit(
                ExitCode.OK,
                run("bundle", "sign", file(name + ".json"), "--key", file("ops.key"), "--out", file(name)));
        return file(name);
    }

    private static String bundleJson(int version, int limit) {
        return BUNDLE_TEMPLATE.replace("VERSION", Integer.toString(version)).replace("LIMIT", Integer.toString(limit));
    }

    private Result rollOut(String signed) {
        return run("bundle", "rollout", signed, "--store", storeAddress, "--trust", file("ops.key.pub"));
    }

    private void writeToStore(String key, byte[] value) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + storeAddress + "/v1/kv/" + key))
                .PUT(HttpRequest.BodyPublishers.ofByteArray(value))
                .build();
        HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding());
    }

    private String file(String name) {
        return directory.resolve(name).toString();
    }

    private void write(String name, String text) throws IOException {
        java.nio.file.Files.writeString(directory.resolve(name), text);
    }

    private static Result run(String... args) {
        return run(settings -> {}, args);
    }

    private static Result run(EntryLauncher launcher, String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        ExitCode code = new CommandLine(new PrintWriter(out, true), new PrintWriter(err, true), launcher).run(args);
        return new Result(code, out.toString(), err.toString());
    }

    private static void assertExit(ExitCode expected, Result result) {
        assertEquals(expected, result.code, result.err);
    }

    private record Result(ExitCode code, String out, String err) {}
}
