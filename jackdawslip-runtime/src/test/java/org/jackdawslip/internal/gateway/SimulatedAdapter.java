package org.jackdawslip.internal.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.handler.codec.http.HttpHeaders;
import org.jackdawslip.BackendServerId;
import org.jackdawslip.FailureDomainId;
import org.jackdawslip.ServiceName;
import org.jackdawslip.internal.balance.Backend;
import org.jackdawslip.internal.balance.LoadReport;
import org.jackdawslip.internal.keyspace.KeySegment;
import org.jackdawslip.internal.traffic.CallerLimits;
import org.jackdawslip.internal.traffic.HostRoute;
import org.jackdawslip.internal.traffic.RequestKind;
import org.jackdawslip.internal.traffic.RoutingConfig;
import org.jackdawslip.internal.traffic.WeightedService;

/**
 * Translates keys and values of the simulated store. The value of a server is its state, "ready" or "draining",
 * and optionally the time of its start.
 */
final class SimulatedAdapter implements PlatformAdapter {

    private static final ServiceName SERVICE = new ServiceName("pool");

    @Override
    public boolean isConfiguration(String key) {
        return key.equals("config");
    }

    @Override
    public HeaderNames headers() {
        throw new UnsupportedOperationException("the simulation sends no requests");
    }

    @Override
    public PlatformEvent decode(DurableStore.StoreRecord storeRecord) {
        String key = storeRecord.key();
        String name = key.substring(key.indexOf('/') + 1);
        if (storeRecord.value() != null && text(storeRecord).equals("unreadable")) {
            return new PlatformEvent.Unreadable(key, "unreadable");
        } else if (key.equals("config")) {
            if (storeRecord.value() == null) {
                return new PlatformEvent.Unreadable(key, "the record was removed");
            }
            return new PlatformEvent.ConfigWritten(config(Integer.parseInt(text(storeRecord))));
        } else if (key.startsWith("out/")) {
            return new PlatformEvent.DomainTakenOut(new FailureDomainId(name), storeRecord.value() != null);
        } else if (key.startsWith("members/")) {
            return new PlatformEvent.RouterRecordChanged(storeRecord);
        } else if (key.equals("table")) {
            return new PlatformEvent.Ignored(key);
        } else if (storeRecord.value() == null) {
            return new PlatformEvent.BackendRemoved(key);
        }
        String[] fields = text(storeRecord).split(" ");
        Backend backend = new Backend(
                new BackendServerId(name),
                fields.length > 1 ? Long.parseLong(fields[1]) : 1,
                SERVICE,
                "10.0.0.1",
                80,
                new FailureDomainId("a"),
                3,
                fields[0].equals("draining"),
                0);
        return new PlatformEvent.BackendListed(key, backend);
    }

    private static String text(DurableStore.StoreRecord storeRecord) {
        return new String(storeRecord.value(), StandardCharsets.UTF_8);
    }

    private static RoutingConfig config(int version) {
        List<HostRoute> routes = List.of(new HostRoute(
                "r-" + version,
                SimulatedViews.HOST,
                "/v" + version + "/",
                RequestKind.IDEMPOTENT,
                1_000,
                400,
                2,
                1,
                List.of(new WeightedService(SERVICE, 1))));
        return new RoutingConfig(version, routes, List.of(), CallerLimits.DEFAULT);
    }

    @Override
    public boolean isStoreRead(String uri) {
        throw new UnsupportedOperationException("the simulation does not relay calls over HTTP");
    }

    @Override
    public String watchedPrefix() {
        return "";
    }

    @Override
    public String routerRecordKey(String name) {
        return name;
    }

    @Override
    public String routerRecordName(String key) {
        return key;
    }

    @Override
    public LoadReport decodeLoadReport(HttpHeaders headers) {
        return null;
    }

    @Override
    public OwnershipCall encodeGrantCall(KeySegment segment, long holdMillis, String handover) {
        throw new UnsupportedOperationException("the simulation sends no ownership calls");
    }

    @Override
    public OwnershipCall encodeReleaseCall(KeySegment segment) {
        throw new UnsupportedOperationException("the simulation sends no ownership calls");
    }
}
