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
import org.jackdawslip.internal.logging.EventLog;

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
    private final PlatformView view;
    private final Listener listener;
    private final Map<InstanceId, PeerExchange.Peer> live = new HashMap<>();
    private long lease;
    private boolean stopped;

    MemberRecords(Context context, PlatformView view, Listener listener) {
        this.settings = context.settings();
        this.store = context.store();
        this.adapter = context.adapter();
        this.loop = context.loop();
        this.log = context.log();
        this.view = view;
        this.listener = listener;
    }

    /** Lists this instance and keeps the listing. */
    void register() {
        if (stopped) {
            return;
        }
        store.lease(TERM_MILLIS, made -> {
            view.callEnded(made.status());
            if (made.status() != DurableStore.Status.DONE) {
                again(this::register, RETRY_MILLIS);
                return;
            }
            lease = made.lease();
            byte[] value = (settings.peerAddress() + SEPARATOR + settings.domain()).getBytes(StandardCharsets.UTF_8);
            String key = adapter.ownKey(MEMBERS + settings.instance());
            DurableStore.Change change =
                    new DurableStore.Change(List.of(), List.of(new DurableStore.Item(key, value, 0)), lease);
            store.change(change, written -> {
                view.callEnded(written.status());
                boolean done = written.status() == DurableStore.Status.DONE;
                again(done ? this::renew : this::register, done ? RENEW_MILLIS : RETRY_MILLIS);
            });
        });
    }

    private void renew() {
        if (stopped) {
            return;
        }
        store.renew(lease, result -> {
            view.callEnded(result.status());
            if (result.status() == DurableStore.Status.CONFLICT) {
                log.warn("member-lease-ended", "lease", lease);
                register();
            } else {
                boolean done = result.status() == DurableStore.Status.DONE;
                again(this::renew, done ? RENEW_MILLIS : RETRY_MILLIS);
            }
        });
    }

    private void again(Runnable action, long millis) {
        loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** Takes a change of one of the project's records; returns whether it concerned members. */
    boolean record(String name, byte[] value) {
        if (!name.startsWith(MEMBERS)) {
            return false;
        }
        try {
            InstanceId instance = new InstanceId(name.substring(MEMBERS.length()));
            if (value == null) {
                live.remove(instance);
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

    private PeerExchange.Peer peer(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            throw new IllegalArgumentException("\"" + text + "\" has no failure domain");
        }
        boolean near = text.substring(separator + 1).equals(settings.domain().value());
        return new PeerExchange.Peer(address(text.substring(0, separator)), near);
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
        if (lease != 0) {
            store.endLease(lease, ended -> view.callEnded(ended.status()));
        }
    }
}
