package org.jackdawslip.internal.entry;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.Bundle;
import org.jackdawslip.internal.ownership.CoordinatorRecord;
import org.jackdawslip.internal.ownership.HomesRecord;
import org.jackdawslip.internal.store.ListResult;
import org.jackdawslip.protocol.DomainSummary;
import org.jackdawslip.protocol.Envelope;
import org.jackdawslip.protocol.InstanceAddress;

/**
 * Sends summaries of this failure domain to the other failure domains, and forwards their summaries to the
 * members of this one.
 *
 * <p>Only the coordinator and the successor send, so that the number of messages to other failure domains
 * grows with the number of failure domains and not of instances. Not thread-safe; confined to the decision
 * thread.
 */
final class DomainSummaryExchange {

    /** Two receivers, so that summaries still arrive in a failure domain when one instance of it is lost. */
    private static final int RECEIVERS_PER_DOMAIN = 2;
    /** The instance list of the platform and the homes are read every 10 summary intervals. */
    private static final int TICKS_PER_READ = 10;

    private final InstanceContext context;
    private final MemberDriver driver;
    private final BundleUpdater bundleUpdater;
    private final Predicate<InstanceId> isAlive;
    private final Random shuffle = new Random();
    private int tickCount;

    DomainSummaryExchange(
            InstanceContext context, MemberDriver driver, BundleUpdater bundleUpdater, Predicate<InstanceId> isAlive) {
        this.isAlive = isAlive;
        this.context = context;
        this.driver = driver;
        this.bundleUpdater = bundleUpdater;
    }

    /** Sends the summaries that are due. To be called every 500 ms. */
    void tick() {
        if (!driver.member().isCoordinator() && !driver.member().isSuccessor()) {
            return;
        }
        if (tickCount++ % TICKS_PER_READ == 0) {
            readInstanceList();
            readHomes();
        }
        DomainSummary ownSummary = ownSummary();
        for (FailureDomainId domain : context.peerDirectory().domains()) {
            if (!domain.equals(context.domain())) {
                receivers(domain).forEach(peer -> send(peer, ownSummary));
            }
        }
        context.peerDirectory().recentDomainViews(context.nowMillis()).forEach((domain, view) -> {
            // Forwarding indirect summaries too would let the coordinator and the successor refresh the
            // summary of a silent failure domain from each other's messages.
            if (view.direct()) {
                DomainSummary summary = summary(domain, view);
                context.peerDirectory().instancesOf(context.domain()).forEach(member -> send(member, summary));
            }
        });
    }

    private List<InstanceId> receivers(FailureDomainId domain) {
        List<InstanceId> candidates =
                new ArrayList<>(context.peerDirectory().entryInstances(domain, context.nowMillis()));
        if (candidates.isEmpty()) {
            candidates.addAll(context.peerDirectory().instancesOf(domain));
        }
        Collections.shuffle(candidates, shuffle);
        return candidates.subList(0, Math.min(RECEIVERS_PER_DOMAIN, candidates.size()));
    }

    private DomainSummary ownSummary() {
        DomainSummary.Builder summary = DomainSummary.newBuilder()
                .setFailureDomain(context.domain().value())
                .setBundleVersion(bundleUpdater.version())
                .setHomesVersion(homesVersion())
                .setForward(true)
                .setFrom(context.address())
                .addInstances(context.address());
        for (InstanceId peer : context.peerDirectory().instancesOf(context.domain())) {
            if (isAlive.test(peer)) {
                address(peer, context.domain()).ifPresent(summary::addInstances);
            }
        }
        return summary.build();
    }

    private DomainSummary summary(FailureDomainId domain, PeerDirectory.DomainView view) {
        DomainSummary.Builder summary = DomainSummary.newBuilder()
                .setFailureDomain(domain.value())
                .setBundleVersion(view.bundleVersion())
                .setHomesVersion(view.homesVersion())
                .setFrom(context.address());
        view.instances().forEach(id -> address(id, domain).ifPresent(summary::addInstances));
        return summary.build();
    }

    private Optional<InstanceAddress> address(InstanceId id, FailureDomainId domain) {
        return context.peerDirectory().address(id).map(address -> InstanceAddress.newBuilder()
                .setInstance(id.value())
                .setFailureDomain(domain.value())
                .setHost(address.getAddress().getHostAddress())
                .setPeerPort(address.getPort())
                .build());
    }

    private void send(InstanceId peer, DomainSummary summary) {
        Envelope envelope = Envelope.newBuilder().setDomainSummary(summary).build();
        context.peerDirectory().address(peer).ifPresent(address -> context.transport()
                .send(address, envelope)
                .exceptionally(failure -> null));
    }

    void receive(DomainSummary message) {
        FailureDomainId domain = new FailureDomainId(message.getFailureDomain());
        if (domain.equals(context.domain())) {
            return;
        }
        long now = context.nowMillis();
        List<InstanceId> instances = new ArrayList<>();
        for (InstanceAddress address : message.getInstancesList()) {
            context.peerDirectory().addFromMessage(address, now);
            instances.add(new InstanceId(address.getInstance()));
        }
        context.peerDirectory()
                .recordDomainView(
                        domain,
                        new PeerDirectory.DomainView(
                                instances,
                                message.getBundleVersion(),
                                message.getHomesVersion(),
                                now,
                                message.getFrom().getFailureDomain().equals(message.getFailureDomain())));
        if (message.getBundleVersion() > bundleUpdater.version()) {
            bundleUpdater.fetch(new InetSocketAddress(
                    message.getFrom().getHost(), message.getFrom().getPeerPort()));
        }
        if (driver.member().isCoordinator() && message.getHomesVersion() > homesVersion()) {
            readHomes();
        }
        if (message.getForward()) {
            forward(message);
        }
    }

    private void forward(DomainSummary message) {
        DomainSummary forwarded = message.toBuilder().setForward(false).build();
        Optional<CoordinatorRecord> record = driver.member().coordinator();
        record.flatMap(CoordinatorRecord::coordinator)
                .filter(coordinator -> !coordinator.equals(context.self()))
                .ifPresent(coordinator -> send(coordinator, forwarded));
        record.flatMap(CoordinatorRecord::successor)
                .filter(successor -> !successor.equals(context.self()))
                .ifPresent(successor -> send(successor, forwarded));
    }

    private long homesVersion() {
        return driver.member().table().homes().stream()
                .mapToLong(HomesRecord::version)
                .sum();
    }

    private void readHomes() {
        if (driver.member().isCoordinator()) {
            for (ServiceName service : bundleUpdater
                    .bundle()
                    .map(Bundle::services)
                    .map(Map::keySet)
                    .orElseGet(Set::of)) {
                driver.readHomes(service);
            }
        }
    }

    /** Reads the instance list of the platform into the peer directory. */
    void readInstanceList() {
        context.store()
                .listInstances()
                .thenAccept(result -> context.runOnDecisionThread(() -> {
                    if (result instanceof ListResult.Listed listed) {
                        listed.instances().forEach(entry -> context.peerDirectory()
                                .addListed(
                                        entry.instance(),
                                        entry.failureDomain(),
                                        new InetSocketAddress(entry.host(), entry.port())));
                        driver.updatePeers();
                    }
                }));
    }
}
