package org.jackdawslip.internal.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.jackdawslip.AccountName;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.account.Quota;
import org.jackdawslip.internal.keyspace.KeyMoveAnnouncement;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.quota.QuotaClaim;
import org.jackdawslip.internal.quota.QuotaDecision;
import org.jackdawslip.internal.quota.QuotaReply;
import org.jackdawslip.internal.quota.QuotaRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against quotas that do not hold between instances which exchange datagrams over loopback, requests that are
 * never decided, and messages for accounts without a limit. The clock is simulated, the event loop is real.
 */
@Timeout(30)
class QuotaExchangeTest {

    private static final int INSTANCES = 3;
    private static final long LEASE_MILLIS = 8_000;
    private static final ClientAccount LIMITED = new ClientAccount(new AccountName("mossbank"), 0, new Quota(10, 40));

    private final AtomicLong now = new AtomicLong(1_000_000);
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AsyncLineWriter lines =
            new AsyncLineWriter(new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
    private final List<Node> nodes = new ArrayList<>();
    private final List<QuotaDecision> decisions = Collections.synchronizedList(new ArrayList<>());

    /** The parts of one gateway that take part in the exchange. */
    private final class Node {
        final InstanceId id;
        final InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        final MembershipStatus status = new MembershipStatus(now::get, now::get);
        final AtomicInteger messages = new AtomicInteger();
        final AtomicInteger claimMessages = new AtomicInteger();
        final PeerExchange peers;
        final QuotaExchange quotas;

        Node(String name) {
            id = new InstanceId(name);
            GatewaySettings settings = SimulatedViews.settings(id, 2_000);
            EventLog log = new EventLog(lines, name, now::get);
            GatewayContext context = new GatewayContext(settings, group.next(), now::get, log, null, null);
            BackendDirectory directory = new BackendDirectory(group, now::get, log, status, null, new Random(1));
            peers = new PeerExchange(context, directory, new PeerListener() {
                @Override
                public void keyUsed(ServiceName service, int slot) {}

                @Override
                public void moveAnnounced(KeyMoveAnnouncement announcement) {}

                @Override
                public void quotaRequested(InetSocketAddress address, List<QuotaRequest> requests) {
                    quotas.handleRequests(address, requests);
                }

                @Override
                public void quotaReplied(InstanceId replier, List<QuotaReply> replies) {
                    quotas.handleReplies(replier, replies);
                }

                @Override
                public void quotasReleased(InstanceId instance, long sentAtMillis) {
                    quotas.handleRelease(instance, sentAtMillis);
                }

                @Override
                public void quotaClaimed(InstanceId claimant, InetSocketAddress claimantAddress, QuotaClaim claim) {
                    quotas.handleClaim(claimant, claimantAddress, claim);
                }

                @Override
                public void quotaClaimAnswered(InstanceId other, QuotaClaim claim) {
                    quotas.handleClaimAnswer(other, claim);
                }
            });
            quotas = new QuotaExchange(
                    context, now::get, status, new GatewayMetrics(), () -> 1, countingMessages(), new Random(1));
        }

        private QuotaExchange.Messages countingMessages() {
            QuotaExchange.Messages messagesToPeers = peers.quotaMessages();
            return new QuotaExchange.Messages() {
                @Override
                public void send(InstanceId owner, List<QuotaRequest> requests) {
                    messages.incrementAndGet();
                    messagesToPeers.send(owner, requests);
                }

                @Override
                public void reply(InetSocketAddress recipient, List<QuotaReply> replies) {
                    messagesToPeers.reply(recipient, replies);
                }

                @Override
                public void sendClaim(List<InstanceId> recipients, QuotaClaim claim) {
                    claimMessages.addAndGet(recipients.size());
                    messagesToPeers.sendClaim(recipients, claim);
                }

                @Override
                public void answerClaim(InetSocketAddress recipient, QuotaClaim claim) {
                    messagesToPeers.answerClaim(recipient, claim);
                }

                @Override
                public void announceRelease(long sentAtMillis) {
                    messagesToPeers.announceRelease(sentAtMillis);
                }
            };
        }
    }

    private static int freePort() {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private void onLoop(Runnable action) throws Exception {
        group.next().submit(action).get(10, TimeUnit.SECONDS);
    }

    @BeforeEach
    void start() throws Exception {
        for (int i = 0; i < INSTANCES; i++) {
            nodes.add(new Node("front-" + i));
        }
        Map<InstanceId, PeerExchange.Peer> live = new HashMap<>();
        nodes.forEach(node -> live.put(node.id, new PeerExchange.Peer(node.address, true, 0)));
        for (Node node : nodes) {
            node.peers.start(node.address);
            onLoop(() -> {
                node.peers.setLivePeers(live);
                node.status.recordListing(now.get(), LEASE_MILLIS);
                node.status.recordListingInView(true);
                node.quotas.setLiveInstances(live.keySet());
            });
        }
    }

    @AfterEach
    void stop() throws Exception {
        onLoop(() -> nodes.forEach(node -> node.peers.close()));
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
        lines.close();
    }

    private void advance(long millis) throws Exception {
        onLoop(() -> {
            for (long remaining = millis; remaining > 0; remaining -= 500) {
                now.addAndGet(500);
                for (Node node : nodes) {
                    node.status.recordRenewal(now.get(), LEASE_MILLIS);
                    node.status.recordView(now.get());
                    node.quotas.check();
                }
            }
        });
    }

    private void admit(Node node, ClientAccount account, int requests) throws Exception {
        onLoop(() -> {
            for (int i = 0; i < requests; i++) {
                node.quotas.admit(account, decisions::add);
            }
        });
    }

    private void awaitDecisions(int count) throws Exception {
        while (decisions.size() < count) {
            Thread.sleep(5);
        }
        assertEquals(count, decisions.size());
    }

    private long count(QuotaDecision.Outcome outcome) {
        return decisions.stream()
                .filter(decision -> decision.outcome() == outcome)
                .count();
    }

    private Node owner() throws Exception {
        List<Node> owners = new ArrayList<>();
        QuotaRequest request = new QuotaRequest(0, LIMITED.name(), 1, LIMITED.quota(), 0, 0);
        for (Node node : nodes) {
            onLoop(() -> {
                if (node.quotas.reply(request).owner()) {
                    owners.add(node);
                }
            });
        }
        assertEquals(1, owners.size());
        return owners.get(0);
    }

    @Test
    void instancesShareTheQuota() throws Exception {
        advance(60_000);
        for (Node node : nodes) {
            admit(node, LIMITED, 40);
        }
        awaitDecisions(120);
        // The burst and half of the tolerated excess of 20 requests.
        assertEquals(50, count(QuotaDecision.Outcome.ADMITTED));
        assertEquals(70, count(QuotaDecision.Outcome.QUOTA_EXCEEDED));
        int messages = nodes.stream().mapToInt(node -> node.messages.get()).sum();
        assertTrue(messages <= INSTANCES - 1, "requests of one turn share a message, but there were " + messages);
    }

    @Test
    void accountWithoutALimitSendsNothing() throws Exception {
        ClientAccount unlimited = new ClientAccount(new AccountName("fernhill"), 0, Quota.UNLIMITED);
        for (Node node : nodes) {
            admit(node, unlimited, 100);
        }
        advance(20_000);
        for (Node node : nodes) {
            assertEquals(0, node.messages.get());
            assertEquals(0, node.claimMessages.get());
        }
        assertEquals(300, count(QuotaDecision.Outcome.ADMITTED));
    }

    @Test
    void requestsAreRefusedWhileTheOwnerIsNotReached() throws Exception {
        advance(60_000);
        Node owner = owner();
        onLoop(owner.peers::close);
        Node other = nodes.stream().filter(node -> node != owner).findAny().orElseThrow();
        admit(other, LIMITED, 2);
        while (decisions.size() < 2) {
            Thread.sleep(20);
            onLoop(() -> now.addAndGet(20));
        }
        assertEquals(2, count(QuotaDecision.Outcome.UNKNOWN));
        decisions.forEach(decision -> assertTrue(decision.retryDelayMillis() > 0));
    }

    /** Nobody would be served for a longer time after a restart of all instances. */
    @Test
    void instancesThatConfirmOneAnotherOwnAccountsSooner() throws Exception {
        for (Node node : nodes) {
            admit(node, LIMITED, 1);
        }
        // The first view is recorded 500 ms after the start, and the claim is answered after that.
        advance(MembershipStatus.EXCLUSIVE_VIEW_AGE_MILLIS + 500);
        QuotaRequest request = new QuotaRequest(0, LIMITED.name(), 1, LIMITED.quota(), 0, 0);
        AtomicInteger owners = new AtomicInteger();
        while (owners.get() == 0) {
            Thread.sleep(5);
            for (Node node : nodes) {
                onLoop(() -> owners.addAndGet(node.quotas.reply(request).owner() ? 1 : 0));
            }
        }
        assertEquals(1, owners.get());
    }

    /** After a restart of all instances nobody knows which tokens were granted before. */
    @Test
    void requestsAreRefusedWithoutAnOwner() throws Exception {
        onLoop(() -> nodes.forEach(node -> node.status.recordListingEnd()));
        admit(nodes.get(0), LIMITED, 3);
        awaitDecisions(3);
        assertEquals(3, count(QuotaDecision.Outcome.UNKNOWN));
    }

    /** An instance that the store refuses is not listed, but serves callers with the view of its peers. */
    @Test
    void instanceThatIsNotListedReceivesReplies() throws Exception {
        advance(60_000);
        Node owner = owner();
        Node other = nodes.stream().filter(node -> node != owner).findAny().orElseThrow();
        onLoop(() -> owner.peers.setLivePeers(Map.of()));
        admit(other, LIMITED, 2);
        awaitDecisions(2);
        assertEquals(2, count(QuotaDecision.Outcome.ADMITTED));
    }

    /** Each planned restart would otherwise leave accounts without an owner for seconds. */
    @Test
    void successorOfAStoppedOwnerStartsAtOnceWithAnEmptyBucket() throws Exception {
        advance(60_000);
        admit(nodes.get(0), LIMITED, 1);
        admit(nodes.get(1), LIMITED, 1);
        awaitDecisions(2);
        Node stopped = owner();
        List<Node> others = nodes.stream().filter(node -> node != stopped).toList();
        onLoop(() -> {
            stopped.status.recordListingEnd();
            stopped.quotas.release();
        });
        QuotaRequest request = new QuotaRequest(0, LIMITED.name(), 1, LIMITED.quota(), 100, 0);
        List<QuotaReply> replies = new ArrayList<>();
        while (replies.isEmpty()) {
            Thread.sleep(5);
            for (Node node : others) {
                onLoop(() -> {
                    QuotaReply reply = node.quotas.reply(request);
                    if (reply.owner()) {
                        replies.add(reply);
                    }
                });
            }
        }
        assertEquals(1, replies.size());
        assertEquals(0, replies.get(0).granted());
    }
}
