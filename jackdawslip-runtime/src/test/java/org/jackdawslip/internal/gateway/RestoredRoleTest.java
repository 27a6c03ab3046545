package org.jackdawslip.internal.gateway;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.jackdawslip.FailureDomainId;
import org.jackdawslip.InstanceId;
import org.jackdawslip.internal.durable.StoreEra;
import org.jackdawslip.internal.durable.StoreEraTracker;
import org.jackdawslip.internal.logging.AsyncLineWriter;
import org.jackdawslip.internal.logging.EventLog;
import org.jackdawslip.internal.membership.MembershipStatus;
import org.jackdawslip.internal.time.LeaseGuard;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against calls for the lease of a role of an earlier era, whose id may belong to another instance. */
class RestoredRoleTest {

    private static final long TICK_MILLIS = 40;
    private static final long PROMPT_MILLIS = 1_000;

    private final SimulatedStore time = new SimulatedStore();
    private final AsyncLineWriter lines =
            new AsyncLineWriter(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
    private final RoleStore store = new RoleStore();
    private StoreEraTracker eras;
    private final LeaseGuard guard = new LeaseGuard(() -> time.now, () -> time.now);
    private boolean earlierHolder;
    private KeyCoordinatorLease role;

    /** A store with the record of the role. It responds after 2 ms, or not at all. */
    private final class RoleStore implements DurableStore {
        private StoreEra era = new StoreEra(1);
        private long revision = 500;
        private long lease = 40;
        private StoreRecord record;
        private boolean silent;
        private final List<String> leaseCalls = new ArrayList<>();

        private void respond(Consumer<Result> whenDone, Result result) {
            Result stated = silent ? Result.of(Status.UNKNOWN) : result.withEra(era);
            time.loop().schedule(() -> whenDone.accept(stated), 2, TimeUnit.MILLISECONDS);
        }

        @Override
        public void readAll(String prefix, long timeoutMillis, Consumer<Result> whenDone) {
            respond(whenDone, new Result(Status.DONE, record == null ? List.of() : List.of(record), revision, 0, 0));
        }

        @Override
        public void watch(
                String prefix, long afterRevision, long waitMillis, long timeoutMillis, Consumer<Result> whenDone) {
            time.loop()
                    .schedule(
                            () -> respond(whenDone, new Result(Status.DONE, List.of(), revision, 0, 0)),
                            waitMillis,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        public void commit(Transaction transaction, Consumer<Result> whenDone) {
            StoreRecord condition = transaction.conditions().get(0);
            if (condition.revision() != (record == null ? 0 : record.revision())) {
                respond(whenDone, Result.of(Status.CONFLICT));
                return;
            }
            revision++;
            record =
                    new StoreRecord(condition.key(), transaction.writes().get(0).value(), revision);
            respond(whenDone, new Result(Status.DONE, List.of(), revision, 0, 0));
        }

        @Override
        public void createLease(long termMillis, Consumer<Result> whenDone) {
            lease++;
            respond(whenDone, new Result(Status.DONE, List.of(), 0, lease, termMillis));
        }

        @Override
        public void renewLease(long renewed, Consumer<Result> whenDone) {
            leaseCalls.add("renewal of " + renewed);
            respond(whenDone, Result.of(Status.DONE));
        }

        @Override
        public void endLease(long ended, Consumer<Result> whenDone) {
            leaseCalls.add("end of " + ended);
            respond(whenDone, Result.of(Status.DONE));
        }
    }

    @BeforeEach
    void start() {
        startInstance();
        tick(2 * PROMPT_MILLIS);
        assertTrue(role.isValid());
        store.leaseCalls.clear();
    }

    private void startInstance() {
        eras = new StoreEraTracker();
        GatewaySettings settings = GatewaySettings.builder(new InstanceId("front"), new FailureDomainId("a"))
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
        MembershipStatus status = new MembershipStatus(() -> time.now, () -> time.now);
        PlatformView view = new PlatformView(context, feedReader, feed, status, event -> {});
        KeyCoordinatorLease.Listener listener = new KeyCoordinatorLease.Listener() {
            @Override
            public void roleTaken(long now) {}

            @Override
            public void roleLost() {}
        };
        role = new KeyCoordinatorLease(context, view, guard, eras, new Random(1), () -> earlierHolder, listener);
        eras.subscribe((earlier, current) -> {
            role.storeRestored();
            reader.storeRestored();
            view.storeRestored();
        });
        view.start();
    }

    @AfterEach
    void stop() {
        lines.close();
    }

    private void tick(long millis) {
        for (long end = time.now + millis; time.now < end; ) {
            if (role.isHeld()) {
                role.renewIfDue(time.now);
            } else {
                role.claimIfFree();
            }
            time.run(TICK_MILLIS);
        }
    }

    private void comeBack() {
        store.era = new StoreEra(store.era.number() + 1);
        store.revision = 100;
        store.lease = 80;
    }

    @Test
    void leaseOfAnEarlierEraIsNotUsedOnceTheReturnIsKnown() {
        comeBack();
        store.record =
                new DurableStore.StoreRecord(KeyCoordinatorLease.RECORD, "other".getBytes(StandardCharsets.UTF_8), 90);
        tick(PROMPT_MILLIS);
        assertFalse(role.isHeld());
        store.leaseCalls.clear();
        // Attempts to claim the role end their own leases.
        tick(PROMPT_MILLIS);
        role.stop();
        assertFalse(store.leaseCalls.stream().anyMatch(call -> call.endsWith(" 41")), store.leaseCalls::toString);
    }

    @Test
    void earlierHolderReplacesItsOwnRecordOfTheCopy() {
        comeBack();
        store.record =
                new DurableStore.StoreRecord(KeyCoordinatorLease.RECORD, "front".getBytes(StandardCharsets.UTF_8), 90);
        earlierHolder = true;
        tick(PROMPT_MILLIS);
        assertTrue(role.isValid());
        assertEquals(101, role.revision());
    }

    /** Guards against a new process that gets the role before the earlier holder, which knows the owners of all keys. */
    @Test
    void processThatStartsAfterAReturnClaimsTheRoleLater() {
        store.era = new StoreEra(3);
        store.record = null;
        startInstance();
        tick(PROMPT_MILLIS);
        assertFalse(role.isHeld());
        tick(PROMPT_MILLIS);
        assertTrue(role.isValid());
    }

    /** Guards against a planned stop that ends the lease of another holder before it learns of the return. */
    @Test
    void plannedStopEndsNoLeaseThatMayHaveExpired() {
        store.silent = true;
        tick(KeyCoordinatorLease.TERM_MILLIS);
        assertFalse(role.isValid());
        store.leaseCalls.clear();
        role.stop();
        assertEquals(List.of(), store.leaseCalls);
    }
}
