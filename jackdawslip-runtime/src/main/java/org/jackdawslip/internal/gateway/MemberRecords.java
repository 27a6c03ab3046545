package org.jackdawslip.internal.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import org.jackdawslip.InstanceId;
import org.jackdawslip.JackdawslipException;
import org.jackdawslip.internal.json.Addresses;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MemberStanding;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Lists this instance in the store under a lease and follows the listings of the others.
 *
 * <p>Confined to the event loop.
 */
final class MemberRecords {

    private static final String MEMBERS = "members/";
    /** Stands between the address and the failure domain in a record. */
    private static final char SEPARATOR = ' ';
    /** Term of a listing. Peers share budgets with a lost instance for at most this time. */
    private static final long TERM_MILLIS = 8_000;

    private static final long RENEW_MILLIS = 2_500;
    private static final long RETRY_MILLIS = 500;

    /** Is called when the set of live instances changes. */
    interface Listener {
        void changed(Map<InstanceId, PeerExchange.Peer> live);
    }

    private final GatewaySettings settings;
    private final DurableStore store;
    private final PlatformAdapter adapter;
    private final EventLoop loop;
    private final EventLog log;
    private final MonotonicClock clock;
    private final PlatformView view;
    private final MemberStanding standing;
    private final Listener listener;
    private final Map<InstanceId, PeerExchange.Peer> live = new HashMap<>();
    private long lease;
    private long termMillis;
    /** Revision of the newest listing that was written; a removal is of that listing only if it came later. */
    private long listedRevision;
    /** Number of attempts to be listed; only the newest goes on. */
    private long attempts;

    private boolean stopped;

    MemberRecords(Context context, PlatformView view, MemberStanding standing, Listener listener) {
        this.settings = context.settings();
        this.store = context.store();
        this.adapter = context.adapter();
        this.loop = context.loop();
        this.log = context.log();
        this.clock = context.clock();
        this.view = view;
        this.standing = standing;
        this.listener = listener;
    }

    /** Lists this instance and keeps the listing. */
    void register() {
        if (stopped) {
            return;
        }
        long attempt = ++attempts;
        long sentAt = clock.millis();
        store.lease(TERM_MILLIS, made -> {
            view.callEnded(made.status());
            if (attempt != attempts) {
                return;
            }
            if (made.status() != DurableStore.Status.DONE) {
                again(attempt, this::register, RETRY_MILLIS);
                return;
            }
            lease = made.lease();
            termMillis = made.leaseMillis();
            byte[] value = (settings.peerAddress() + SEPARATOR + settings.domain()).getBytes(StandardCharsets.UTF_8);
            String key = adapter.ownKey(MEMBERS + settings.instance());
            DurableStore.Change change =
                    new DurableStore.Change(List.of(), List.of(new DurableStore.Item(key, value, 0)), lease);
            store.change(change, written -> {
                view.callEnded(written.status());
                if (attempt != attempts) {
                    return;
                }
                if (written.status() == DurableStore.Status.DONE) {
                    listedRevision = written.revision();
                    standing.listed(sentAt, termMillis);
                    again(attempt, this::renew, RENEW_MILLIS);
                } else {
                    again(attempt, this::register, RETRY_MILLIS);
                }
            });
        });
    }

    private void renew() {
        if (stopped) {
            return;
        }
        long attempt = attempts;
        long sentAt = clock.millis();
        store.renew(lease, result -> {
            view.callEnded(result.status());
            if (attempt != attempts) {
                return;
            }
            switch (result.status()) {
                case DONE -> {
                    standing.renewed(sentAt, termMillis);
                    again(attempt, this::renew, RENEW_MILLIS);
                }
                case CONFLICT -> {
                    log.warn("member-lease-ended", "lease", lease);
                    standing.unlisted();
                    register();
                }
                default -> again(attempt, this::renew, RETRY_MILLIS);
            }
        });
    }

    private void again(long attempt, Runnable action, long millis) {
        loop.schedule(
                () -> {
                    if (attempt == attempts) {
                        action.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    /** Takes a change of one of the project's records; returns whether it concerned members. */
    boolean record(String name, byte[] value, long revision) {
        if (!name.startsWith(MEMBERS)) {
            return false;
        }
        try {
            InstanceId instance = new InstanceId(name.substring(MEMBERS.length()));
            if (value == null) {
                live.remove(instance);
                if (instance.equals(settings.instance()) && revision > listedRevision && listedRevision > 0) {
                    lost(revision);
                }
            } else {
                live.put(instance, peer(new String(value, StandardCharsets.UTF_8)));
            }
            log.info(value == null ? "member-gone" : "member-listed", "member", instance, "live", live.size());
            listener.changed(Map.copyOf(live));
        } catch (JackdawslipException | IllegalArgumentException e) {
            log.warn("member-record-invalid", "name", name, "problem", e.getMessage());
        }
        return true;
    }

    /** The store may remove a listing whose lease still seems to be valid. */
    private void lost(long revision) {
        if (!stopped) {
            log.warn("member-listing-lost", "lease", lease, "revision", revision);
            standing.unlisted();
            register();
        }
    }

    private PeerExchange.Peer peer(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            throw new IllegalArgumentException("\"" + text + "\" has no failure domain");
        }
        boolean near = text.substring(separator + 1).equals(settings.domain().value());
        String address = text.substring(0, separator);
        int colon = address.lastIndexOf(':');
        // A host name would be looked up on the event loop.
        if (colon < 0
                || Addresses.port(address.substring(colon + 1)) < 0
                || !Addresses.isIpAddress(address.substring(0, colon))) {
            throw new IllegalArgumentException("\"" + address + "\" is not an address");
        }
        return new PeerExchange.Peer(address(address), near);
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("\"" + text + "\" has no port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Removes the listing. */
    void stop() {
        stopped = true;
        standing.unlisted();
        if (lease != 0) {
            store.endLease(lease, ended -> view.callEnded(ended.status()));
        }
    }
}
