package org.jackdawslip.internal.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.bundle.BackendServer;
import org.jackdawslip.internal.routing.RoutingTable;
import org.jackdawslip.protocol.BackendLoad;

/**
 * The routing table of this instance, derived from the domain member, the load reports in heartbeats and the
 * peer directory.
 *
 * <p>Not thread-safe; confined to the decision thread.
 */
final class MemberRoutingTable implements RoutingTable {

    private final InstanceContext context;
    private final MemberDriver driver;
    private final Function<ServiceName, SenderView> localSenderView;
    private final BundleUpdater bundleUpdater;
    private final Map<ServiceName, Map<BackendServerId, InstanceId>> remoteSendersByService = new HashMap<>();

    MemberRoutingTable(
            InstanceContext context,
            MemberDriver driver,
            BundleUpdater bundleUpdater,
            Function<ServiceName, SenderView> localSenderView) {
        this.context = context;
        this.driver = driver;
        this.bundleUpdater = bundleUpdater;
        this.localSenderView = localSenderView;
    }

    @Override
    public Optional<FailureDomainId> homeDomain(ServiceName service, long keyHash) {
        return driver.member().route(service, keyHash).home();
    }

    @Override
    public Optional<BackendServerId> owner(ServiceName service, long keyHash) {
        return driver.member().route(service, keyHash).owner();
    }

    @Override
    public Optional<InstanceId> sender(BackendServerId server) {
        return driver.member().sender(context.nowMillis(), server).filter(instance -> !context.peerDirectory()
                .isAvoided(instance, context.nowMillis()));
    }

    /**
     * Clears the remote senders cached from the send rights and the bundle, after either may have changed.
     */
    void clearCachedSenders() {
        remoteSendersByService.clear();
    }

    @Override
    public List<SenderView> senders(ServiceName service) {
        Map<InstanceId, SenderView> views = new HashMap<>();
        for (Map.Entry<BackendServerId, InstanceId> entry : remoteSendersByService
                .computeIfAbsent(service, this::remoteSenders)
                .entrySet()) {
            InstanceId instance = entry.getValue();
            if (!context.peerDirectory().isAvoided(instance, context.nowMillis())) {
                views.merge(instance, reportedView(instance, entry.getKey()), MemberRoutingTable::sum);
            }
        }
        List<SenderView> all = new ArrayList<>(views.values());
        all.add(localSenderView.apply(service));
        return all;
    }

    private Map<BackendServerId, InstanceId> remoteSenders(ServiceName service) {
        Map<BackendServerId, InstanceId> senders = new TreeMap<>();
        for (BackendServer server : bundleUpdater.bundle().orElseThrow().backendServers(service, context.domain())) {
            driver.member()
                    .sender(context.nowMillis(), server.id())
                    .filter(instance -> !instance.equals(context.self()))
                    .ifPresent(instance -> senders.put(server.id(), instance));
        }
        return senders;
    }

    private SenderView reportedView(InstanceId instance, BackendServerId server) {
        BackendLoad load =
                driver.reportedLoads().getOrDefault(instance, Map.of()).get(server);
        return load == null
                ? new SenderView(instance, 0, 0, 0)
                : new SenderView(instance, load.getSlots(), load.getFreeSlots(), load.getQueueLength());
    }

    private static SenderView sum(SenderView first, SenderView second) {
        // A sender has one queue per service, so each of its backend servers reports the same queue length.
        return new SenderView(
                first.instance(),
                first.slots() + second.slots(),
                first.freeSlots() + second.freeSlots(),
                Math.max(first.queueLength(), second.queueLength()));
    }

    @Override
    public boolean isInService(FailureDomainId domain) {
        return driver.member().maySendTo(domain);
    }

    @Override
    public List<FailureDomainId> otherDomains(ServiceName service) {
        return bundleUpdater.bundle().stream()
                .flatMap(bundle -> bundle.backendServers().values().stream())
                .filter(server -> server.service().equals(service) && !server.leaving())
                .map(BackendServer::failureDomain)
                .filter(domain -> !domain.equals(context.domain()))
                .distinct()
                .sorted()
                .toList();
    }

    @Override
    public List<InstanceId> entryInstances(FailureDomainId domain) {
        return context.peerDirectory().entryInstances(domain, context.nowMillis());
    }
}
