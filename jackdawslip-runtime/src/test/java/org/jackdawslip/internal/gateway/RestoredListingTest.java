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
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against an instance that is not listed for seconds because the copy of the store lacks its listing. */
class RestoredListingTest {

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
            writes.add("renewal");
            respond(whenDone, Result.of(renewed == lease ? Status.DONE : Status.CONFLICT));
        }

        @Override
        public void endLease(long ended, Consumer<Result> whenDone) {
            throw new AssertionError("the instance does not stop");
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

    /** Lets the store come back with lower revisions. */
    private void comeBack() {
        store.era = new StoreEra(store.era.number() + 1);
        store.revision = 100;
    }

    @Test
    void leaseThatIsGoneIsCreatedAtOnceWithTheListing() {
        comeBack();
        store.lease = 0;
        store.listing = null;
        time.run(PROMPT_MILLIS);
        assertEquals(List.of("lease", "listing"), store.writes);
        assertTrue(store.listing.revision() < 500);
    }

    /** The copy may have been made between the lease and the listing. */
    @Test
    void listingThatIsGoneIsWrittenAgainAlthoughItsLeaseIsThere() {
        comeBack();
        store.listing = null;
        time.run(PROMPT_MILLIS + 500);
        assertEquals("listing", store.writes.get(store.writes.size() - 1));
    }

    /** Guards against a listing that stays bound to a lease of the copy, whose id may be one of another instance. */
    @Test
    void listingInTheCopyIsWrittenAgainUnderANewLease() {
        comeBack();
        store.listing = new DurableStore.StoreRecord(LISTING, store.listing.value(), 90);
        time.run(2_000);
        assertEquals(List.of("lease", "listing"), store.writes);
    }

    /** Guards against a removal that is ignored because the listing was written at a higher revision before. */
    @Test
    void removalAfterTheReturnIsNotedAlthoughItsRevisionIsLower() {
        comeBack();
        store.lease = 0;
        store.listing = null;
        time.run(PROMPT_MILLIS);
        store.writes.clear();
        long removedAt = store.listing.revision() + 1;
        listings.applyRecord(LISTING, null, removedAt);
        time.run(PROMPT_MILLIS);
        assertEquals(List.of("lease", "listing"), store.writes);
    }
}
