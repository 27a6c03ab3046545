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
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.time.MonotonicClock;

/**
 * Keeps a listing of this instance in the store, bound to a lease, and tracks the listings of the other
 * instances.
 *
 * <p>Confined to the event loop.
 */
final class MemberListings {

    private static final String LISTING_PREFIX = "members/";
    /** Separates the address, the failure domain and the bandwidth in megabits per second in a record. */
    private static final String SEPARATOR = " ";
    /** Term of a listing. A failed instance keeps its share of global limits for at most this time. */
    private static final long LISTING_TERM_MILLIS = 8_000;

    private static final long RENEWAL_INTERVAL_MILLIS = 2_500;
    private static final long RETRY_DELAY_MILLIS = 500;
    /** Longest delay before a listing is written again, which spreads the calls of a fleet. */
    private static final int MAX_RESTORE_DELAY_MILLIS = 300;
    /** Time without a renewal after which the sequence of renewals has ended; the lease has then ended too. */
    private static final long MAX_STALL_MILLIS = 30_000;

    /** Receives the live instances when the set of them changes. */
    interface Listener {
        void liveInstancesChanged(Map<InstanceId, PeerExchange.Peer> live);
    }

    private final GatewayContext context;
    private final GatewaySettings settings;
    private final DurableStore store;
    private final PlatformAdapter adapter;
    private final EventLoop loop;
    private final EventLog log;
    private final MonotonicClock clock;
    private final PlatformView view;
    private final MembershipStatus membershipStatus;
    private final Listener listener;
    private final Map<InstanceId, PeerExchange.Peer> liveInstances = new HashMap<>();
    /** Differs between instances. */
    private final long restoreDelayMillis;

    private long listingLease;
    private long termMillis;
    /**
     * Revision of the newest listing that this instance wrote, or 0 if it wrote none in the present era of the store. A
     * removal with a lower revision concerns an older listing.
     */
    private long listedRevision;
    /** Number of the newest attempt to write the listing; callbacks of earlier attempts are ignored. */
    private long newestAttempt;
    /** Time of the last write or renewal that was started. */
    private long lastStepAt;

    private boolean stopped;

    MemberListings(GatewayContext context, PlatformView view, MembershipStatus membershipStatus, Listener listener) {
        this.context = context;
        this.settings = context.settings();
        this.store = context.store();
        this.adapter = context.adapter();
        this.loop = context.loop();
        this.log = context.log();
        this.clock = context.clock();
        this.view = view;
        this.membershipStatus = membershipStatus;
        this.listener = listener;
        this.restoreDelayMillis = Math.floorMod(settings.instance().hashCode(), MAX_RESTORE_DELAY_MILLIS);
    }

    /** Returns whether the name of a record of this router is one of a listing. */
    static boolean isListing(String name) {
        return name.startsWith(LISTING_PREFIX);
    }

    /** Returns the store key of the listing of an instance. */
    static String listingKey(PlatformAdapter adapter, InstanceId instance) {
        return adapter.routerRecordKey(LISTING_PREFIX + instance);
    }

    /** Keeps the listing of this instance in the store. */
    void start() {
        context.every(RENEWAL_INTERVAL_MILLIS, "listing-stall", () -> {
            // An Error may have ended the task that starts the next renewal.
            if (clock.millis() - lastStepAt > MAX_STALL_MILLIS) {
                register();
            }
        });
        register();
    }

    /** Writes the listing of this instance under a new lease, and renews the lease from then on. */
    void register() {
        if (stopped) {
            return;
        }
        lastStepAt = clock.millis();
        long attempt = ++newestAttempt;
        long sentAt = clock.millis();
        store.createLease(LISTING_TERM_MILLIS, leaseResult -> {
            view.recordCallResult(leaseResult.status());
            if (attempt != newestAttempt) {
                return;
            }
            if (leaseResult.status() != DurableStore.Status.DONE) {
                scheduleForAttempt(attempt, this::register, RETRY_DELAY_MILLIS);
                return;
            }
            listingLease = leaseResult.lease();
            termMillis = leaseResult.leaseMillis();
            byte[] value = String.join(
                            SEPARATOR,
                            settings.peerAddress(),
                            settings.domain().value(),
                            Double.toString(settings.instanceLimits().linkMegabitsPerSecond()))
                    .getBytes(StandardCharsets.UTF_8);
            String key = listingKey(adapter, settings.instance());
            DurableStore.Transaction transaction = new DurableStore.Transaction(
                    List.of(), List.of(new DurableStore.StoreRecord(key, value, 0)), listingLease);
            store.commit(transaction, writeResult -> {
                view.recordCallResult(writeResult.status());
                if (attempt != newestAttempt) {
                    return;
                }
                if (writeResult.status() == DurableStore.Status.DONE) {
                    listedRevision = writeResult.revision();
                    membershipStatus.recordListing(sentAt, termMillis);
                    scheduleForAttempt(attempt, this::renew, RENEWAL_INTERVAL_MILLIS);
                } else {
                    scheduleForAttempt(attempt, this::register, RETRY_DELAY_MILLIS);
                }
            });
        });
    }

    /**
     * Writes the listing again under a new lease, because the store came back from an earlier copy of itself, which may
     * lack both. The lease is neither renewed nor ended: its id may have been given to another instance.
     */
    void storeRestored() {
        listedRevision = 0;
        listingLease = 0;
        if (!stopped && newestAttempt > 0) {
            membershipStatus.recordListingEnd();
            scheduleForAttempt(++newestAttempt, this::register, restoreDelayMillis);
        }
    }

    private void renew() {
        if (stopped) {
            return;
        }
        lastStepAt = clock.millis();
        long attempt = newestAttempt;
        long sentAt = clock.millis();
        store.renewLease(listingLease, result -> {
            view.recordCallResult(result.status());
            if (attempt != newestAttempt) {
                return;
            }
            switch (result.status()) {
                case DONE -> {
                    if (membershipStatus.isListingMissing()) {
                        restoreListing(listedRevision);
                        return;
                    }
                    membershipStatus.recordRenewal(sentAt, termMillis);
                    scheduleForAttempt(attempt, this::renew, RENEWAL_INTERVAL_MILLIS);
                }
                case CONFLICT -> {
                    log.warn("member-lease-ended", "lease", listingLease);
                    membershipStatus.recordListingEnd();
                    register();
                }
                default -> scheduleForAttempt(attempt, this::renew, RETRY_DELAY_MILLIS);
            }
        });
    }

    /** Schedules an action, unless a newer attempt starts before. */
    private void scheduleForAttempt(long attempt, Runnable action, long millis) {
        loop.schedule(
                () -> {
                    if (attempt == newestAttempt) {
                        action.run();
                    }
                },
                millis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Applies a change of one of this router's own records.
     *
     * @param value the content, or null if the record was removed
     * @return whether the record is a listing of an instance
     */
    boolean applyRecord(String name, byte[] value, long revision) {
        if (!isListing(name)) {
            return false;
        }
        try {
            InstanceId instance = new InstanceId(name.substring(LISTING_PREFIX.length()));
            if (instance.equals(settings.instance())) {
                membershipStatus.recordListingInView(value != null);
            }
            if (value == null) {
                liveInstances.remove(instance);
                if (instance.equals(settings.instance()) && revision > listedRevision && listedRevision > 0) {
                    restoreListing(revision);
                }
            } else {
                liveInstances.put(instance, parsePeer(new String(value, StandardCharsets.UTF_8)));
            }
            log.info(value == null ? "member-gone" : "member-listed", "member", instance, "live", liveInstances.size());
            listener.liveInstancesChanged(Map.copyOf(liveInstances));
        } catch (JackdawslipException | IllegalArgumentException e) {
            log.warn("member-record-invalid", "name", name, "problem", e.getMessage());
        }
        return true;
    }

    /**
     * Writes the listing again. The store may remove a listing while its lease is still valid by the clock of this
     * instance.
     */
    private void restoreListing(long revision) {
        if (!stopped) {
            log.warn("member-listing-lost", "lease", listingLease, "revision", revision);
            membershipStatus.recordListingEnd();
            register();
        }
    }

    private PeerExchange.Peer parsePeer(String text) {
        String[] fields = text.split(SEPARATOR);
        if (fields.length < 2) {
            throw new IllegalArgumentException("\"" + text + "\": expected an address, a space and a failure domain");
        }
        String address = fields[0];
        boolean sameDomain = fields[1].equals(settings.domain().value());
        // Listings of earlier versions have no bandwidth.
        double linkMegabitsPerSecond = fields.length > 2 ? Double.parseDouble(fields[2]) : 0;
        int colon = address.lastIndexOf(':');
        // Host names are rejected, because resolving them would block the event loop.
        if (colon < 0
                || Addresses.port(address.substring(colon + 1)) < 0
                || !Addresses.isIpAddress(address.substring(0, colon))) {
            throw new IllegalArgumentException("\"" + address + "\": expected an IP address and a port");
        }
        return new PeerExchange.Peer(parseAddress(address), sameDomain, linkMegabitsPerSecond);
    }

    /**
     * Parses an address of the form {@code host:port}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("\"" + text + "\": expected host:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Ends the lease, which removes the listing. */
    void stop() {
        stopped = true;
        membershipStatus.recordListingEnd();
        if (listingLease != 0) {
            store.endLease(listingLease, endResult -> view.recordCallResult(endResult.status()));
        }
    }
}
