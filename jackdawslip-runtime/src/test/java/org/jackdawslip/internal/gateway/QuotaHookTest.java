package org.jackdawslip.internal.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jackdawslip.AccountName;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.account.AccountDirectory;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.account.ConfigurationFreshness;
import org.jackdawslip.internal.account.Quota;
import org.jackdawslip.internal.balance.Balancer;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.quota.QuotaDecision;
import org.jackdawslip.internal.time.SuspensionDetector;
import org.jackdawslip.internal.traffic.CallerLimits;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RequestKind;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.ServiceConfig;
import org.jackdawslip.internal.traffic.WeightedService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against a request that waits for the decision on its quota and misses its deadline, the disconnect of its
 * caller, the exit of the instance or the revocation of its key. There is no backend server, so that a request that
 * continues is refused for that.
 */
class QuotaHookTest {

    private static final String KEY = "ta828m82thhkmgjqnirt";
    private static final ClientAccount ACCOUNT = new ClientAccount(new AccountName("alpha"), 2, new Quota(10, 10));
    private static final HeaderNames NAMES = new HeaderNames(
            "Id",
            "Left",
            "Sign",
            "Expected",
            "Load",
            "Not-Run",
            "Server",
            "Cold",
            "Key",
            "Leaving",
            "Account",
            "Scheme",
            "Handover",
            "Era");
    private static final long TIMEOUT_MILLIS = 1_500;

    private final SimulatedStore store = new SimulatedStore();
    private final AsyncLineWriter lines =
            new AsyncLineWriter(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
    private final DefaultEventLoopGroup group = new DefaultEventLoopGroup(1);
    private final List<ClientAccount> asked = new ArrayList<>();
    private final List<Consumer<QuotaDecision>> pending = new ArrayList<>();
    private final List<Response> responses = new ArrayList<>();
    private RoutingState routing;
    private ConfigurationFreshness freshness;
    private RequestComponents components;

    private record Response(int status, HttpHeaders headers, String body) {}

    /** Records the response. */
    private final class Recorder implements ResponseWriter {
        @Override
        public void write(int status, HttpHeaders headers, byte[] body) {
            responses.add(new Response(status, headers, new String(body, StandardCharsets.UTF_8)));
        }

        @Override
        public boolean canWriteParts(long contentLength) {
            return false;
        }

        @Override
        public ResponseBodyWriter start(int status, HttpHeaders headers, long contentLength, Runnable onWritable) {
            throw new AssertionError("no server responds");
        }
    }

    @BeforeEach
    void start() {
        GatewaySettings settings = SimulatedViews.settings(new InstanceId("front"), 2_000);
        EventLog log = new EventLog(lines, "front", () -> store.now);
        PlatformAdapter adapter = (PlatformAdapter) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {PlatformAdapter.class}, (proxy, method, arguments) -> {
                    assertEquals("headers", method.getName(), "no record is decoded and no server called");
                    return NAMES;
                });
        MembershipStatus membershipStatus = new MembershipStatus(() -> store.now, () -> store.now);
        GatewayContext context =
                new GatewayContext(settings, store.loop(), () -> store.now, log, adapter, store.new Client());
        Random random = new Random(1);
        routing = new RoutingState(settings, log, random, membershipStatus);
        BackendDirectory directory = new BackendDirectory(group, () -> store.now, log, membershipStatus, NAMES, random);
        freshness = new ConfigurationFreshness(
                () -> store.now, new SuspensionDetector(() -> store.now, () -> store.now), 5_000);
        GatewayMetrics metrics = new GatewayMetrics();
        AccountGate accounts = new AccountGate(
                routing,
                freshness,
                true,
                (account, whenDecided) -> {
                    asked.add(account);
                    pending.add(whenDecided);
                },
                NAMES,
                metrics.accounts(),
                log);
        components = new RequestComponents(
                store.loop(),
                () -> store.now,
                log,
                adapter,
                routing,
                directory,
                new Balancer(settings.domain(), random),
                new PeerExchange(context, directory, null),
                metrics,
                new PlannedStop(),
                accounts);
        putInForce(1, AccountDirectory.builder().add(ACCOUNT, List.of(KEY)).build());
    }

    @AfterEach
    void stop() {
        lines.close();
        group.shutdownGracefully();
    }

    private void putInForce(long version, AccountDirectory accounts) {
        ServiceName service = new ServiceName("pool");
        HostRoute route = new HostRoute(
                "r",
                "a.example",
                "/x/",
                RequestKind.AT_MOST_ONCE,
                TIMEOUT_MILLIS,
                400,
                2,
                1,
                List.of(new WeightedService(service, 1)));
        ServiceConfig serviceConfig = new ServiceConfig(service, "/health", 10, 0, 1, false);
        RoutingConfig config =
                new RoutingConfig(version, List.of(route), List.of(serviceConfig), CallerLimits.DEFAULT, accounts);
        routing.applyIfNewer(config);
        components.accounts().recordStoredConfiguration(config);
        components.accounts().recordView(store.now);
    }

    private RequestForwarder startRequest() {
        HttpHeaders headers = new DefaultHttpHeaders()
                .add("Host", "a.example")
                .add("Id", "request-1")
                .add("Authorization", "Scheme " + KEY);
        RequestForwarder forwarder = new RequestForwarder(
                components,
                new CallerRequest(HttpMethod.GET, "/x/1", headers, Unpooled.EMPTY_BUFFER, store.now, false),
                new Recorder());
        forwarder.start();
        return forwarder;
    }

    private void assertOnlyResponse(int status, String code) {
        assertEquals(1, responses.size());
        assertEquals(status, responses.get(0).status());
        assertTrue(responses.get(0).body().startsWith(code), responses.get(0).body());
    }

    @Test
    void requestWaitsForTheDecisionAndContinues() {
        startRequest();
        store.run(100);
        assertEquals(List.of(ACCOUNT), asked);
        assertEquals(0, responses.size());
        pending.get(0).accept(QuotaDecision.ADMITTED);
        assertOnlyResponse(503, "NO_BACKEND_SERVER");
    }

    @Test
    void requestBeyondTheQuotaIsRefusedWithTheDelayOfTheDecision() {
        startRequest();
        pending.get(0).accept(new QuotaDecision(QuotaDecision.Outcome.QUOTA_EXCEEDED, 1_234));
        assertOnlyResponse(429, "QUOTA_EXCEEDED");
        assertEquals("1.234", responses.get(0).headers().get("Retry-After"));
    }

    @Test
    void requestWithAnUnknownQuotaIsRefusedWithTheDelayOfTheDecision() {
        startRequest();
        pending.get(0).accept(new QuotaDecision(QuotaDecision.Outcome.UNKNOWN, 350));
        assertOnlyResponse(503, "QUOTA_UNKNOWN");
        assertEquals("0.350", responses.get(0).headers().get("Retry-After"));
    }

    @Test
    void deadlineEndsTheWait() {
        startRequest();
        store.run(TIMEOUT_MILLIS + 10);
        assertOnlyResponse(503, "DEADLINE_EXCEEDED");
        pending.get(0).accept(QuotaDecision.ADMITTED);
        assertEquals(1, responses.size());
    }

    @Test
    void disconnectOfTheCallerEndsTheWait() {
        startRequest().onCallerDisconnect();
        for (QuotaDecision.Outcome outcome : QuotaDecision.Outcome.values()) {
            pending.get(0).accept(new QuotaDecision(outcome, 10));
        }
        store.run(TIMEOUT_MILLIS + 10);
        assertEquals(0, responses.size());
    }

    @Test
    void exitOfTheInstanceEndsTheWait() {
        startRequest().onInstanceExit();
        assertOnlyResponse(503, "STOPPING");
        pending.get(0).accept(QuotaDecision.ADMITTED);
        assertEquals(1, responses.size());
    }

    @Test
    void keyThatIsRevokedDuringTheWaitIsRefused() {
        startRequest();
        putInForce(
                2, AccountDirectory.builder().add(ACCOUNT, List.of("another")).build());
        pending.get(0).accept(QuotaDecision.ADMITTED);
        assertOnlyResponse(401, "UNAUTHORIZED");
    }

    /** The request was admitted under the quota of an account that does not have its key any more. */
    @Test
    void keyThatChangesItsAccountDuringTheWaitIsRefusedAsNotRun() {
        startRequest();
        ClientAccount other = new ClientAccount(new AccountName("beta"), 2, new Quota(10, 10));
        putInForce(2, AccountDirectory.builder().add(other, List.of(KEY)).build());
        pending.get(0).accept(QuotaDecision.ADMITTED);
        assertOnlyResponse(503, "CONFIGURATION_OUTDATED");
    }

    @Test
    void configurationThatGrowsOldDuringTheWaitEndsIt() {
        components.accounts().recordView(store.now);
        store.run(freshness.maxAgeMillis() - 10);
        startRequest();
        store.run(100);
        pending.get(0).accept(QuotaDecision.ADMITTED);
        assertOnlyResponse(503, "CONFIGURATION_OUTDATED");
    }

    @Test
    void quotaIsNotAskedForARequestThatIsRefusedAnyway() {
        store.run(freshness.maxAgeMillis() + 10);
        startRequest();
        assertOnlyResponse(503, "CONFIGURATION_OUTDATED");
        assertEquals(List.of(), asked);
    }
}
