package org.jackdawslip.internal.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.jackdawslip.AccountName;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.account.ClientAccount;
import org.jackdawslip.internal.account.Quota;
import org.jackdawslip.internal.membership.MembershipStatus;

/**
 * Instances with quotas, a store and callers in simulated time. Clocks of the instances differ in rate by up to 2 %. A
 * frozen process receives afterwards what arrived in the meantime; a suspended host in addition stops its monotonic
 * clock. Not thread-safe.
 */
final class SimulatedFleet {

    static final long WINDOW_MILLIS = 5_000;
    static final double EXCESS_RATIO = 0.1;
    static final double EXCESS_REQUESTS = 20;
    static final long VALIDITY_MILLIS = 375;

    private static final long LEASE_MILLIS = 8_000;
    private static final long RENEWAL_MILLIS = 2_500;
    private static final long RETRY_MILLIS = 500;
    private static final long READ_TIMEOUT_MILLIS = 560;
    private static final long MAX_RELEASE_AGE_MILLIS = 2_000;
    private static final long TICK_MILLIS = 20;
    private static final double MAX_CLOCK_RATE_ERROR = 0.02;

    final Random random;
    final List<Instance> instances = new ArrayList<>();
    final Map<AccountName, Account> accounts = new LinkedHashMap<>();
    final Store store = new Store();
    long now;
    /** Share of datagrams that are lost, duplicated, and up to two seconds late. */
    double lossShare;

    double duplicateShare;
    double lateShare;
    long datagrams;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long nextOrder;
    private long nextLease = 1;
    private long nextVersion = 1;

    private record Event(long at, long order, Instance instance, Runnable action) {}

    SimulatedFleet(int size, long seed) {
        random = new Random(seed);
        for (int i = 0; i < size; i++) {
            instances.add(null);
        }
        for (int i = 0; i < size; i++) {
            start(i, random.nextInt(1_000));
        }
    }

    /** An account, its callers and what was admitted. */
    final class Account {
        final AccountName name;
        final double concentration;
        final List<Long> admittedAt = new ArrayList<>();
        final List<Limit> limits = new ArrayList<>();
        Quota quota;
        double requestsPerSecond;
        /** Requests stop for this part of a period of 20 s. */
        double pauseShare;

        long sent;
        long refused;
        long unknown;
        long decisionMillis;
        long measureFrom;

        Account(String name, Quota quota, double requestsPerSecond, double concentration) {
            this.name = new AccountName(name);
            this.quota = quota;
            this.requestsPerSecond = requestsPerSecond;
            this.concentration = concentration;
            limits.add(new Limit(quota, nextVersion++));
        }

        private Limit newest() {
            return limits.get(limits.size() - 1);
        }

        /** Changes the limit; each instance learns of it within three seconds. */
        void changeQuota(Quota changed) {
            quota = changed;
            limits.add(new Limit(changed, nextVersion++));
            limits.get(limits.size() - 2).endsAt = now + 3_000;
            newest().startsAt = now;
        }

        private Limit limitAt(Instance instance) {
            Limit newest = newest();
            boolean known = limits.size() == 1
                    || now >= newest.startsAt + Math.floorMod(instance.index * 7_919L + newest.version * 131, 3_000);
            return known ? newest : limits.get(limits.size() - 2);
        }

        private void scheduleNext() {
            double gapMillis = -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond;
            schedule(Math.max(0, Math.round(gapMillis)), null, () -> {
                boolean pausing = now % 20_000 < pauseShare * 20_000;
                if (!pausing) {
                    send();
                }
                scheduleNext();
            });
        }

        private void send() {
            int index = random.nextDouble() < concentration
                    ? Math.floorMod(name.value().hashCode() + random.nextInt(2), instances.size())
                    : random.nextInt(instances.size());
            Instance instance = instances.get(index);
            if (instance.running) {
                if (now >= measureFrom) {
                    sent++;
                }
                schedule(0, instance, () -> instance.receive(this, now));
            }
        }

        /** Returns the highest limit that was in force at any instance from one window before the given time. */
        double largestAllowance(long from, long to) {
            return limits.stream()
                    .filter(limit -> limit.startsAt <= to && limit.endsAt >= from - WINDOW_MILLIS)
                    .mapToDouble(
                            limit -> (limit.quota.requestsPerSecond() * WINDOW_MILLIS / 1_000 + limit.quota.burst())
                                            * (1 + EXCESS_RATIO)
                                    + EXCESS_REQUESTS)
                    .max()
                    .orElseThrow();
        }

        /** Returns the start of a window with more requests than allowed, or -1. */
        long violatedWindow() {
            int first = 0;
            for (int last = 0; last < admittedAt.size(); last++) {
                while (admittedAt.get(last) - admittedAt.get(first) >= WINDOW_MILLIS) {
                    first++;
                }
                if (last - first + 1 > largestAllowance(admittedAt.get(first), admittedAt.get(last))) {
                    return admittedAt.get(first);
                }
            }
            return -1;
        }
    }

    /** The limit of an account in one version of the configuration. */
    static final class Limit {
        final Quota quota;
        final long version;
        long startsAt;
        long endsAt = Long.MAX_VALUE;

        Limit(Quota quota, long version) {
            this.quota = quota;
            this.version = version;
        }
    }

    Account addAccount(String name, Quota quota, double requestsPerSecond, double concentration) {
        Account account = new Account(name, quota, requestsPerSecond, concentration);
        accounts.put(account.name, account);
        account.scheduleNext();
        return account;
    }

    void schedule(long delayMillis, Instance instance, Runnable action) {
        events.add(new Event(now + delayMillis, nextOrder++, instance, action));
    }

    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = Math.max(now, event.at());
            Instance instance = event.instance();
            if (instance != null && now < instance.frozenUntil) {
                events.add(new Event(instance.frozenUntil, event.order(), instance, event.action()));
            } else if (instance == null || instance.running) {
                event.action().run();
            }
        }
        now = end;
    }

    /** Returns how many running instances own the account now. */
    long countOwners(AccountName account) {
        return instances.stream()
                .filter(instance -> instance.running && now >= instance.frozenUntil)
                .filter(instance ->
                        instance.members.mayOwn() && instance.members.isFirst(account, instance.monotonic()))
                .count();
    }

    /** Returns the instance that owns the account now, or null. */
    Instance owner(AccountName account) {
        return instances.stream()
                .filter(instance -> instance.running && now >= instance.frozenUntil)
                .filter(instance ->
                        instance.members.mayOwn() && instance.members.isFirst(account, instance.monotonic()))
                .findFirst()
                .orElse(null);
    }

    void start(int index, long delayMillis) {
        Instance instance = new Instance(index);
        instances.set(index, instance);
        schedule(delayMillis, instance, () -> {
            instance.register();
            instance.read();
            instance.tick();
        });
    }

    /** The platform's store with the listings of the instances. */
    final class Store {
        private long revision;
        private final Map<InstanceId, Listing> listings = new HashMap<>();
        private final List<Change> log = new ArrayList<>();

        private static final class Listing {
            long lease;
            long leaseUntil;
            boolean present;
        }

        private record Change(long revision, InstanceId instance, boolean present) {}

        private void change(InstanceId instance, boolean present) {
            listings.get(instance).present = present;
            log.add(new Change(++revision, instance, present));
        }

        void expire() {
            listings.forEach((instance, listing) -> {
                if (listing.present && listing.leaseUntil <= now) {
                    change(instance, false);
                }
            });
        }

        /** Removes a listing whose lease is valid. */
        void loseListing(InstanceId instance) {
            Listing listing = listings.get(instance);
            if (listing != null && listing.present) {
                change(instance, false);
            }
        }

        private long put(InstanceId instance, long lease) {
            Listing listing = listings.computeIfAbsent(instance, id -> new Listing());
            listing.lease = lease;
            listing.leaseUntil = now + LEASE_MILLIS;
            change(instance, true);
            return revision;
        }

        private boolean renew(InstanceId instance, long lease) {
            Listing listing = listings.get(instance);
            boolean renewed = listing != null && listing.lease == lease && listing.leaseUntil > now;
            if (renewed) {
                listing.leaseUntil = now + LEASE_MILLIS;
            }
            return renewed;
        }

        private List<Change> changesSince(long since) {
            expire();
            int from = log.size();
            while (from > 0 && log.get(from - 1).revision() > since) {
                from--;
            }
            return List.copyOf(log.subList(from, log.size()));
        }

        private Set<InstanceId> present() {
            Set<InstanceId> present = new TreeSet<>();
            listings.forEach((instance, listing) -> {
                if (listing.present) {
                    present.add(instance);
                }
            });
            return present;
        }
    }

    /** One incarnation of an instance. */
    final class Instance {
        final int index;
        final InstanceId id;
        final MembershipStatus status;
        final QuotaMembers members;
        final QuotaOwner owner;
        final QuotaRequester requester;
        final QuotaClaims claims;
        boolean running = true;
        long frozenUntil;
        long storeCutUntil;
        long peersCutUntil;
        private final double clockRate = 1 + (2 * random.nextDouble() - 1) * MAX_CLOCK_RATE_ERROR;
        private final long startedAt = now;
        private long suspendedMillis;
        private long lease;
        private long listedRevision;
        private long listingAttempt;
        private long readAttempt;
        private long viewRevision;
        private boolean sendScheduled;
        private final Set<InstanceId> view = new TreeSet<>();

        Instance(int index) {
            this.index = index;
            this.id = new InstanceId("i-" + index);
            status = new MembershipStatus(this::monotonic, () -> now);
            members = new QuotaMembers(id, status);
            owner = new QuotaOwner(this::monotonic, status, members, EXCESS_REQUESTS / 2);
            requester = new QuotaRequester(
                    this::monotonic,
                    () -> now,
                    id,
                    members,
                    owner,
                    (recipient, requests) ->
                            sendDatagram(recipient, receiver -> receiver.handleRequests(this, requests)),
                    VALIDITY_MILLIS,
                    random.nextLong() >>> 1);
            claims = new QuotaClaims(
                    this::monotonic,
                    status,
                    members,
                    (recipients, claim) -> recipients.forEach(
                            recipient -> sendDatagram(recipient, receiver -> receiver.handleClaim(this, claim))),
                    random.nextLong() >>> 1);
        }

        private void handleClaim(Instance claimant, QuotaClaim claim) {
            boolean answered = claims.handleClaim(claimant.id, claim);
            owner.refresh();
            if (answered) {
                sendDatagram(claimant.id, receiver -> receiver.claims.handleAnswer(id, claim));
            }
        }

        long monotonic() {
            return 1_000 + Math.round((now - startedAt - suspendedMillis) * clockRate);
        }

        void freeze(long millis) {
            frozenUntil = Math.max(frozenUntil, now + millis);
        }

        void suspend(long millis) {
            if (now >= frozenUntil) {
                frozenUntil = now + millis;
                suspendedMillis += millis;
            }
        }

        void crash(long downMillis) {
            running = false;
            SimulatedFleet.this.schedule(downMillis, null, () -> {
                if (!instances.get(index).running) {
                    start(index, 0);
                }
            });
        }

        /** Ends the listing; the process ends two seconds later. */
        void stop(long downMillis) {
            listingAttempt++;
            listedRevision = 0;
            status.recordListingEnd();
            owner.release();
            long stoppedAt = now;
            instances.forEach(other -> sendDatagram(other.id, receiver -> {
                if (now - stoppedAt <= MAX_RELEASE_AGE_MILLIS) {
                    receiver.members.recordRelease(id, receiver.monotonic());
                    receiver.owner.refresh();
                }
            }));
            callStore(() -> {
                store.loseListing(id);
                return () -> {};
            });
            schedule(2_000, this, () -> crash(downMillis));
        }

        private boolean storeReachable() {
            return now >= storeCutUntil;
        }

        private interface StoreCall {
            Runnable execute();
        }

        private void callStore(StoreCall call) {
            schedule(1 + random.nextInt(20), null, () -> {
                store.expire();
                if (storeReachable()) {
                    Runnable response = call.execute();
                    schedule(1 + random.nextInt(random.nextInt(20) == 0 ? 500 : 20), this, () -> {
                        if (storeReachable()) {
                            response.run();
                        }
                    });
                }
            });
        }

        private void register() {
            long attempt = ++listingAttempt;
            long sentAt = monotonic();
            long newLease = nextLease++;
            callStore(() -> {
                if (!running || attempt != listingAttempt) {
                    return () -> {};
                }
                long revision = store.put(id, newLease);
                return () -> {
                    if (attempt == listingAttempt) {
                        lease = newLease;
                        listedRevision = revision;
                        status.recordListing(sentAt, LEASE_MILLIS);
                        schedule(RENEWAL_MILLIS, this, () -> renew(attempt));
                    }
                };
            });
            schedule(1_000, this, () -> {
                if (attempt == listingAttempt && listedRevision == 0) {
                    register();
                }
            });
        }

        private void renew(long attempt) {
            if (attempt != listingAttempt) {
                return;
            }
            long sentAt = monotonic();
            boolean[] answered = new boolean[1];
            callStore(() -> {
                boolean renewed = store.renew(id, lease);
                return () -> {
                    if (attempt != listingAttempt || answered[0]) {
                        return;
                    }
                    answered[0] = true;
                    if (renewed && !status.isListingMissing()) {
                        status.recordRenewal(sentAt, LEASE_MILLIS);
                        schedule(RENEWAL_MILLIS, this, () -> renew(attempt));
                    } else {
                        restoreListing();
                    }
                };
            });
            schedule(RETRY_MILLIS + 100, this, () -> {
                if (!answered[0]) {
                    answered[0] = true;
                    renew(attempt);
                }
            });
        }

        private void restoreListing() {
            status.recordListingEnd();
            listedRevision = 0;
            register();
        }

        /** Reads the state or the changes since the last view, then pauses. */
        private void read() {
            long attempt = ++readAttempt;
            long sentAt = monotonic();
            boolean watch = viewRevision > 0 && random.nextInt(4) > 0;
            callStore(() -> {
                List<Store.Change> changes = store.changesSince(viewRevision);
                Set<InstanceId> present = store.present();
                long revision = store.revision;
                return () -> {
                    if (attempt == readAttempt) {
                        status.recordView(sentAt);
                        apply(watch, changes, present, revision);
                        schedule(100 + random.nextInt(400), this, this::read);
                    }
                };
            });
            schedule(READ_TIMEOUT_MILLIS, this, () -> {
                if (attempt == readAttempt) {
                    read();
                }
            });
        }

        private void apply(boolean watch, List<Store.Change> changes, Set<InstanceId> present, long revision) {
            if (changes.isEmpty() && viewRevision > 0) {
                return;
            }
            if (watch) {
                for (Store.Change change : changes) {
                    applyChange(change.instance(), change.present(), change.revision());
                }
            } else {
                Set<InstanceId> gone = new TreeSet<>(view);
                gone.removeAll(present);
                gone.forEach(instance -> applyChange(instance, false, revision));
                present.forEach(instance -> applyChange(instance, true, revision));
                if (!present.contains(id)) {
                    applyChange(id, false, revision);
                }
            }
            viewRevision = revision;
        }

        private void applyChange(InstanceId instance, boolean present, long revision) {
            if (instance.equals(id)) {
                status.recordListingInView(present);
            }
            boolean changed = present ? view.add(instance) : view.remove(instance);
            if (!present && instance.equals(id) && listedRevision > 0 && revision > listedRevision) {
                restoreListing();
            }
            if (changed) {
                members.setLive(view, monotonic());
                owner.refresh();
            }
        }

        private void tick() {
            owner.refresh();
            claims.check();
            schedule(250, this, this::tick);
        }

        private void receive(Account account, long sentAt) {
            Limit limit = account.limitAt(this);
            requester.admit(new ClientAccount(account.name, 0, limit.quota), limit.version, decision -> {
                account.decisionMillis += now - sentAt;
                switch (decision.outcome()) {
                    case ADMITTED -> account.admittedAt.add(now);
                    case QUOTA_EXCEEDED -> account.refused += sentAt >= account.measureFrom ? 1 : 0;
                    default -> account.unknown += sentAt >= account.measureFrom ? 1 : 0;
                }
            });
            scheduleSend();
        }

        private void scheduleSend() {
            if (requester.waiting() > 0 && !sendScheduled) {
                sendScheduled = true;
                schedule(0, this, requester::sendRequests);
                schedule(TICK_MILLIS, this, () -> {
                    sendScheduled = false;
                    requester.checkTimeouts();
                    requester.sendRequests();
                    scheduleSend();
                });
            } else if (requester.waiting() > 0) {
                schedule(0, this, requester::sendRequests);
            }
        }

        private void handleRequests(Instance sender, List<QuotaRequest> requests) {
            List<QuotaReply> replies = requests.stream().map(owner::reply).toList();
            sendDatagram(sender.id, receiver -> {
                replies.forEach(reply -> receiver.requester.handleReply(id, reply));
                receiver.scheduleSend();
            });
        }

        private interface Delivery {
            void deliver(Instance receiver);
        }

        private void sendDatagram(InstanceId recipient, Delivery delivery) {
            datagrams++;
            int index = Integer.parseInt(recipient.value().substring(2));
            int copies = random.nextDouble() < duplicateShare ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                if (random.nextDouble() >= lossShare && now >= peersCutUntil) {
                    int delay = 1 + random.nextInt(random.nextDouble() < lateShare ? 2_000 : 3);
                    schedule(delay, null, () -> {
                        Instance receiver = instances.get(index);
                        if (now >= receiver.peersCutUntil) {
                            schedule(0, receiver, () -> delivery.deliver(receiver));
                        }
                    });
                }
            }
        }
    }
}
