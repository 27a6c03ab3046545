package org.jackdawslip.internal.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

/** Guards against calls for a lease of an earlier era, whose id the store may have given to another instance. */
class RestoredLeaseTest {

    private static final String LISTING = "members/front";
    /** Less than the interval of the renewals. */
    private static final long PROMPT_MILLIS = 700;

    private final SimulatedStore time = new SimulatedStore();
    private final AsyncLineWriter lines =
            new AsyncLineWriter(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
    private final ListingStore store = new ListingStore();
    private final StoreEraTracker eras = new StoreEraTracker();
    private final MembershipStatus status = new MembershipStatus(() -> time.now, () -> time.now);
    private MemberListings listings;
    private PlatformView view;

    /** A store with the lease and the listing of one instance. It responds after 2 ms. */
    private final class ListingStore implements DurableStore {
        private StoreEra era = new StoreEra(1);
        private long revision = 500;
        private long lease;
        /** Lease to which the listing of the instance is bound. */
        private long listingLease;
        /** Lease of another instance, or 0. */
        private long otherLease;

        private StoreRecord listing;
        private final List<String> writes = new ArrayList<>();

        private void respond(Consumer<Result> whenDone, Result result) {
            Result stated = result.withEra(era);
            time.loop().schedule(() -> whenDone.accept(stated), 2, TimeUnit.MILLISECONDS);
        }

        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<Result> whenDone) {
            List<StoreRecord> records = listing == null ? List.of() : List.of(listing);
            respond(whenDone, new Result(Status.DONE, records, revision, 0, 0));
        }

        @Override
        public void watch(
                String prefix, long afterRevision, long waitMillis, long timeoutMillis, Consumer<Result> whenDone) {
            List<StoreRecord> changes =
                    listing != null && listing.revision() > afterRevision ? List.of(listing) : List.of();
            respond(whenDone, new Result(Status.DONE, changes, revision, 0, 0));
        }

        @Override
        public void commit(Transaction transaction, Consumer<Result> whenDone) {
            writes.add("listing");
            listingLease = transaction.lease();
            revision++;
            listing = new StoreRecord(LISTING, transaction.writes().get(0).value(), revision);
            respond(whenDone, new Result(Status.DONE, List.of(), revision, 0, 0));
        }

        @Override
        public void createLease(long termMillis, Consumer<Result> whenDone) {
            writes.add("lease");
            lease++;
            respond(whenDone, new Result(Status.DONE, List.of(), 0, lease, termMillis));
        }

        @Override
        public void renewLease(long renewed, Consumer<Result> whenDone) {
            writes.add("renewal of " + renewed);
            respond(whenDone, Result.of(renewed == lease || renewed == otherLease ? Status.DONE : Status.CONFLICT));
        }

        @Override
        public void endLease(long ended, Consumer<Result> whenDone) {
            writes.add("end of " + ended);
        }
    }

    @BeforeEach
    void start() {
        InstanceId id = new InstanceId("front");
        GatewaySettings settings = GatewaySettings.builder(id, new FailureDomainId("a"))
                .callerAddresses("", "")
                .internalAddresses("127.0.0.1:1", "")
                .storeAddress("")
                .platformLimits(new GatewaySettings.PlatformLimits(1_000, 6_000, 0.2, 60, 10_000, 10_000, 2_000))
                .build();
        GatewayContext context = new GatewayContext(
                settings,
                time.loop(),
                () -> time.now,
                new EventLog(lines, "front", () -> time.now),
                new SimulatedAdapter(),
                new EraCheckedStore(store, eras));
        FailoverReader reader = new FailoverReader(context, peer -> context.store(), peer -> {});
        FeedReader feedReader = new FeedReader(context, reader, (address, era, after, wait, timeout, done) -> {}, eras);
        ViewFeed feed = new ViewFeed(time.loop(), () -> time.now, () -> time.now, 2_000, feedReader::followsStore);
        view = new PlatformView(context, feedReader, feed, status, event -> {
            if (event instanceof PlatformEvent.RouterRecordChanged changed) {
                DurableStore.StoreRecord own = changed.storeRecord();
                listings.applyRecord(own.key(), own.value(), own.revision());
            }
        });
        listings = new MemberListings(context, view, status, live -> {});
        eras.subscribe((earlier, current) -> {
            reader.storeRestored();
            listings.storeRestored();
            view.storeRestored();
        });
        view.start();
        listings.start();
        time.run(1_000);
        assertEquals(List.of("lease", "listing"), store.writes);
        store.writes.clear();
    }

    @AfterEach
    void stop() {
        lines.close();
    }

    /** Lets the store come back from a copy without the lease, whose id it gives to another instance. */
    private void comeBackWithLeaseOfAnotherInstance() {
        store.era = new StoreEra(store.era.number() + 1);
        store.revision = 100;
        store.otherLease = store.lease;
        store.listing = null;
    }

    private void runUntilReturnIsKnown() {
        for (int i = 0; i < PROMPT_MILLIS && eras.current().number() < 2; i += 2) {
            time.run(2);
        }
        assertEquals(2, eras.current().number());
    }

    /** Guards against a planned stop that ends the lease of the role of another instance, and so makes two holders. */
    @Test
    void plannedStopEndsNoLeaseOfAnEarlierEra() {
        comeBackWithLeaseOfAnotherInstance();
        runUntilReturnIsKnown();
        store.writes.clear();
        listings.stop();
        assertEquals(List.of(), store.writes);
    }

    /** Guards against a failed instance that keeps its role or listing, because another one renews its lease. */
    @Test
    void leaseOfAnEarlierEraIsNotRenewed() {
        comeBackWithLeaseOfAnotherInstance();
        time.run(PROMPT_MILLIS);
        assertFalse(store.writes.contains("renewal of " + store.otherLease), () -> "calls: " + store.writes);
    }

    /** Guards against an instance that relies for ever on the lease of another one to which its late write was bound. */
    @Test
    void listingIsNotLeftBoundToTheLeaseOfAnotherInstance() {
        byte[] value = store.listing.value();
        comeBackWithLeaseOfAnotherInstance();
        store.revision++;
        store.listing = new DurableStore.StoreRecord(LISTING, value, store.revision);
        time.run(10 * PROMPT_MILLIS);
        assertNotEquals(store.otherLease, store.listingLease);
    }
}
