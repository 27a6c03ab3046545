package org.jackdawslip.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CommandLineTest {

    private static final String BUNDLE =
            """
            {"version": VERSION, "failureDomains": {"mitte-1": "in", "mitte-2": "in"},
             "services": [{"name": "ledger", "queueLimit": LIMIT}],
             "backendServers": [
               {"id": "l1", "service": "ledger", "failureDomain": "mitte-1", "host": "127.0.0.1", "port": 9001}]}
            """;

    @TempDir
    private Path directory;

    private final StoreServer server = StoreServer.builder().start();
    private final String store = "127.0.0.1:" + server.port();

    @BeforeEach
    void makeKey() {
        assertExit(ExitCode.OK, run("keygen", "--key-id", "ops", "--out", file("ops.key")));
    }

    @AfterEach
    void close() {
        server.close();
    }

    /** Guards against an operator who learns of only one of two mistakes. */
    @Test
    void checkListsEveryFault() throws IOException {
        write("bad.json", BUNDLE.replace("VERSION", "0").replace("LIMIT", "-1"));
        Result result = run("bundle", "check", file("bad.json"));
        assertExit(ExitCode.BAD_INPUT, result);
        assertTrue(result.err.contains("$.version"), result.err);
        assertTrue(result.err.contains("$.services[0].queueLimit"), result.err);
    }

    /** Guards against two operators who both believe that their bundle is in force. */
    @Test
    void oneOfTwoRacingRolloutsWins() throws IOException {
        assertExit(ExitCode.OK, rollOut(signed(1, 10)));
        String first = signed(2, 20);
        String second = signed(2, 30);
        server.slowMillis(50);
        CompletableFuture<Result> other = CompletableFuture.supplyAsync(() -> rollOut(first));
        Result mine = rollOut(second);
        Result loser = mine.code == ExitCode.OK ? other.join() : mine;
        assertExit(ExitCode.OK, mine.code == ExitCode.OK ? mine : other.join());
        assertExit(ExitCode.CONFLICT, loser);
        assertTrue(loser.err.contains("BUNDLE_CONFLICT"), loser.err);
        assertTrue(loser.err.contains("the store has version 2"), loser.err);
    }

    /** Guards against a rollout that is reported as failed, or made twice, because its answer was lost. */
    @Test
    void lostAnswerIsResolvedByReadingBack() throws IOException {
        server.loseWriteAnswers(1);
        assertExit(ExitCode.OK, rollOut(signed(1, 10)));
        assertEquals(1, server.calls().get("writes"));
        assertTrue(run("bundle", "show", "--store", store).out.contains("version 1"));
    }

    /** Guards against an unsigned or wrongly signed bundle, and a version that is not the next one, in the store. */
    @Test
    void refusesUnsignedForeignAndOlderBundles() throws IOException {
        write("plain.json", bundle(1, 10));
        assertExit(ExitCode.BAD_INPUT, rollOut(file("plain.json")));
        run("keygen", "--key-id", "other", "--out", file("other.key"));
        assertExit(
                ExitCode.OK, run("bundle", "sign", file("plain.json"), "--key", file("other.key"), "--out", file("s")));
        assertExit(ExitCode.BAD_INPUT, rollOut(file("s")));
        assertExit(ExitCode.CONFLICT, rollOut(signed(2, 10)));
        assertEquals(0, server.calls().get("writes"));
    }

    /** Guards against a command that hangs or looks successful without a store. */
    @Test
    void unreachableStoreHasItsOwnExitCode() throws IOException {
        String bundle = signed(1, 10);
        server.close();
        Result result = rollOut(bundle);
        assertExit(ExitCode.UNREACHABLE, result);
        assertTrue(result.err.contains("STORE_UNAVAILABLE") && result.err.contains(store), result.err);
    }

    /** Guards against a take-out that changes more than the domain, or gives its signature to a foreign bundle. */
    @Test
    void takesDomainsOutAndBringsThemBack() throws Exception {
        assertExit(ExitCode.OK, rollOut(signed(1, 10)));
        assertExit(ExitCode.BAD_INPUT, domain("take-out", "mite-2"));
        assertExit(ExitCode.OK, domain("take-out", "mitte-2"));
        String shown = run("bundle", "show", "--store", store, "--trust", file("ops.key.pub"), "--output", "json").out;
        assertTrue(shown.contains("\"mitte-2\" : \"out\"") && shown.contains("\"queueLimit\" : 10"), shown);
        assertExit(ExitCode.OK, domain("bring-back", "mitte-2"));
        assertTrue(run("bundle", "show", "--store", store).out.contains("version 3"));

        run("keygen", "--key-id", "foreign", "--out", file("foreign.key"));
        write("f.json", bundle(4, 10));
        run("bundle", "sign", file("f.json"), "--key", file("foreign.key"), "--out", file("f"));
        put("jackdawslip/bundle", java.nio.file.Files.readAllBytes(directory.resolve("f")));
        assertExit(ExitCode.BAD_INPUT, domain("take-out", "mitte-2"));
    }

    /** Guards against a release while the coordinator or its successor may still run. */
    @Test
    void releaseNeedsBothHoldersNamed() throws Exception {
        put(
                "jackdawslip/domains/mitte-1",
                "{\"coordinator\":\"a\",\"successor\":\"b\",\"epoch\":4,\"mark\":\"x\"}"
                        .getBytes(StandardCharsets.UTF_8));
        String[] half = {"domain", "release", "mitte-1", "--store", store, "--stopped", "a"};
        assertExit(ExitCode.BAD_INPUT, run(half));
        server.loseWriteAnswers(1);
        Result released = run("domain", "release", "mitte-1", "--store", store, "--stopped", "a", "--stopped", "b");
        assertExit(ExitCode.OK, released);
        assertTrue(released.out.contains("epoch 5"), released.out);
    }

    /** Guards against ranges that are taken from a domain in use, or that stay with a lost one. */
    @Test
    void releaseMovesTheRangesOfADomainThatIsOut() throws Exception {
        put("jackdawslip/domains/mitte-2", "{\"epoch\":4}".getBytes(StandardCharsets.UTF_8));
        String homes = "{\"version\":3,\"ranges\":[{\"first\":\"0000000000000000\",\"last\":\"7fffffffffffffff\","
                + "\"failureDomain\":\"mitte-1\"},{\"first\":\"8000000000000000\",\"last\":\"ffffffffffffffff\","
                + "\"failureDomain\":\"mitte-2\"}]}";
        put("jackdawslip/homes/ledger", homes.getBytes(StandardCharsets.UTF_8));
        assertExit(ExitCode.OK, rollOut(signed(1, 10)));
        String[] release = {
            "domain", "release", "mitte-2", "--ranges", "--store", store, "--stopped", "a", "--trust", file("ops.key")
        };
        assertExit(ExitCode.BAD_INPUT, run(release));
        assertExit(ExitCode.OK, domain("take-out", "mitte-2"));
        Result released = run(release);
        assertExit(ExitCode.OK, released);
        assertTrue(released.out.contains("ledger: 1 ranges moved to mitte-1"), released.out);
    }

    /** Guards against an instance that starts with a misspelled setting, or hides that its port is in use. */
    @Test
    void runChecksSettingsBeforeItStarts() throws IOException {
        String key =
                Output.JSON.readTree(directory.resolve("ops.key.pub").toFile()).toString();
        String settings = "{\"instance\":\"a\",\"failureDomain\":\"m\",\"callerAddress\":\"127.0.0.1:0\","
                + "\"peerAddress\":\"127.0.0.1:0\",\"adminAddress\":\"127.0.0.1:0\",\"storeAddress\":\"" + store
                + "\",\"trustedKeys\":[" + key + "]}";
        write("misspelled.json", settings.replace("peerAddress", "peerAdress"));
        write("good.json", settings);
        AtomicBoolean launched = new AtomicBoolean();
        EntryLauncher launcher = given -> {
            launched.set(true);
            throw new JackdawslipException(ErrorCode.ADDRESS_IN_USE, given.callerAddress() + " is in use");
        };
        Result refused = run(launcher, "run", "--settings", file("misspelled.json"));
        assertExit(ExitCode.BAD_INPUT, refused);
        assertTrue(refused.err.contains("did you mean \"peerAddress\"?"), refused.err);
        assertFalse(launched.get());
        Result started = run(launcher, "run", "--settings", file("good.json"));
        assertExit(ExitCode.FAILURE, started);
        assertTrue(started.err.contains("ADDRESS_IN_USE: 127.0.0.1:0"), started.err);
    }

    /** Guards against a status that hides silent instances or those with an older bundle. */
    @Test
    void statusNamesSilentAndBehindInstances() throws IOException {
        HttpServer one = instance("{\"instance\":\"a\",\"bundleVersion\":7}");
        HttpServer two = instance("{\"instance\":\"b\",\"bundleVersion\":6}");
        int silent = FreePorts.next();
        Result result =
                run("status", "--admin", address(one), "--admin", address(two), "--admin", "127.0.0.1:" + silent);
        one.stop(0);
        two.stop(0);
        assertExit(ExitCode.UNREACHABLE, result);
        String[] lines = result.out.split("\n");
        assertTrue(lines[1].contains("current") && lines[1].contains(" 7 "), result.out);
        assertTrue(lines[2].contains("behind") && lines[2].contains(" 6 "), result.out);
        assertTrue(lines[3].contains("silent") && lines[3].contains("cannot be reached"), result.out);
    }

    /** Guards against a status for scripts that hides duplicates, cut off failure domains, or ranges without owner. */
    @Test
    void statusSumsUpInJson() throws IOException {
        String domains = "\"domains\":{\"m1\":{\"state\":\"in\",\"reachable\":true,\"bundle\":\"in-force\"},"
                + "\"m2\":{\"state\":\"in\",\"reachable\":false,\"bundle\":\"silent\"}}";
        String ranges =
                "\"ranges\":[{\"service\":\"ledger\",\"owner\":\"l1\"},{\"service\":\"ledger\",\"owner\":\"\"}]";
        String common = "{\"instance\":\"a\",\"failureDomain\":\"m1\",\"bundleVersion\":7," + domains + "," + ranges;
        HttpServer one = instance(common + ",\"startId\":\"1\"}");
        HttpServer two = instance(common + ",\"startId\":\"2\"}");
        Result result = run("status", "--admin", address(one), "--admin", address(two), "--output", "json");
        one.stop(0);
        two.stop(0);
        assertExit(ExitCode.OK, result);
        JsonNode root = Output.JSON.readTree(result.out);
        assertFalse(root.path("inForceEverywhere").asBoolean(true), result.out);
        assertEquals("a", root.path("duplicateInstances").path(0).asText());
        assertEquals("m1", root.at("/failureDomains/m2/cutOffFrom/0").asText());
        assertEquals(1, root.at("/ranges/ledger/l1").asInt());
        assertEquals(1, root.at("/ranges/ledger/none").asInt());
    }

    /** Guards against a refused question that looks like a silent instance and hides the reason. */
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
        Result result = run("request", "ledgr", "01936f2e-7c00-7000-8000-000000000001", "--admin", address(refusing));
        refusing.stop(0);
        assertExit(ExitCode.BAD_INPUT, result);
        assertTrue(result.out.contains("refused") && result.out.contains("UNKNOWN_SERVICE: no ledgr"), result.out);
    }

    private static HttpServer instance(String status) throws IOException {
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

    private static String address(HttpServer instance) {
        return "127.0.0.1:" + instance.getAddress().getPort();
    }

    private Result domain(String command, String name) {
        return run("domain", command, name, "--store", store, "--key", file("ops.key"));
    }

    private String signed(int version, int limit) throws IOException {
        String name = "bundle-" + version + "-" + limit;
        write(name + ".json", bundle(version, limit));
        assertExit(
                ExitCode.OK,
                run("bundle", "sign", file(name + ".json"), "--key", file("ops.key"), "--out", file(name)));
        return file(name);
    }

    private static String bundle(int version, int limit) {
        return BUNDLE.replace("VERSION", Integer.toString(version)).replace("LIMIT", Integer.toString(limit));
    }

    private Result rollOut(String signed) {
        return run("bundle", "rollout", signed, "--store", store, "--trust", file("ops.key.pub"));
    }

    private void put(String key, byte[] value) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + store + "/v1/kv/" + key))
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
