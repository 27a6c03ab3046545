package org.jackdawslip.internal.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

import org.jackdawslip.internal.account.Quota;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against more requests of an account in a window than its quota allows, and against requests within the quota
 * that are refused.
 */
class QuotaFleetTest {

    /** Steps between faults on average. A single instance would never be the owner with faults so often. */
    private static final int FAULT_INTERVAL_STEPS = 12;

    private static final int FAULT_INTERVAL_STEPS_OF_SINGLE_INSTANCE = 150;
    /** Time from the start of all instances until each account has an owner whose bucket is filled. */
    private static final long SERVED_FROM_MILLIS = 15_000;
    /**
     * Requests of independent callers at a rate of 1 / 1.6 of the limit exceed it by chance now and then; a small account
     * loses most.
     */
    private static final double MIN_SERVED_SHARE = 0.99;

    /** The bucket is full when the overload begins, so at least the rate is served. */
    private static final double MIN_QUOTA_SHARE = 0.97;

    private static final long STEP_MILLIS = 100;

    /** A fault at random instances. */
    private enum Fault {
        CRASH {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.crash(200 + random.nextInt(12_000));
            }
        },
        STOP {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.stop(200 + random.nextInt(2_000));
            }
        },
        FREEZE {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.freeze(50 + random.nextInt(random.nextBoolean() ? 500 : 20_000));
            }
        },
        SUSPENSION {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.suspend(50 + random.nextInt(random.nextBoolean() ? 500 : 20_000));
            }
        },
        STORE_CUT {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.storeCutUntil = fleet.now + random.nextInt(20_000);
            }
        },
        STORE_CUT_FOR_ALL {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                if (random.nextInt(4) == 0) {
                    long until = fleet.now + random.nextInt(12_000);
                    fleet.instances.forEach(each -> each.storeCutUntil = until);
                }
            }
        },
        PEERS_CUT {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.peersCutUntil = fleet.now + random.nextInt(10_000);
            }
        },
        CUT_OFF {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.peersCutUntil = fleet.now + random.nextInt(15_000);
                instance.storeCutUntil = instance.peersCutUntil;
            }
        },
        LISTING_LOST {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                fleet.store.loseListing(instance.id);
            }
        },
        LISTING_LOST_WHILE_STORE_CUT {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.storeCutUntil = fleet.now + random.nextInt(20_000);
                fleet.store.loseListing(instance.id);
            }
        },
        LISTING_LOST_WHILE_FROZEN {
            @Override
            void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random) {
                instance.suspend(random.nextInt(20_000));
                fleet.store.loseListing(instance.id);
            }
        };

        abstract void inject(SimulatedFleet fleet, SimulatedFleet.Instance instance, Random random);
    }

    private static List<SimulatedFleet.Account> addBusyAccounts(SimulatedFleet fleet) {
        List<SimulatedFleet.Account> accounts = new ArrayList<>();
        accounts.add(fleet.addAccount("even", new Quota(60, 60), 180, 0));
        accounts.add(fleet.addAccount("uneven", new Quota(100, 20), 250, 0.9));
        accounts.add(fleet.addAccount("small", new Quota(2, 2), 15, 0.3));
        SimulatedFleet.Account bursts = fleet.addAccount("bursts", new Quota(15, 300), 150, 0.2);
        bursts.pauseShare = 0.7;
        accounts.add(bursts);
        return accounts;
    }

    /**
     * Random faults, half of them at the owner of an account, with callers that always send more than the quota. Guards
     * against two owners of one account at the same time, tokens that are used twice or late, and buckets that are full
     * after a change of the owner. Seeds 123, 1052 and 2033 found two owners: a listing was lost before the response
     * that it was written, and a claim arrived before the listing under which it was made.
     */
    @ParameterizedTest
    @CsvSource({
        "1, 1, 24",
        "12, 100, 24",
        "74, 200, 6",
        "300, 300, 2",
        "12, 1052, 1",
        "5, 2033, 1",
    })
    void sumStaysWithinTheQuota(int size, long firstSeed, int seeds) {
        for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(size, seed);
            List<SimulatedFleet.Account> accounts = addBusyAccounts(fleet);
            fleet.lossShare = 0.02;
            fleet.duplicateShare = 0.2;
            fleet.lateShare = 0.02;
            Random random = new Random(seed);
            int faultInterval = size == 1 ? FAULT_INTERVAL_STEPS_OF_SINGLE_INSTANCE : FAULT_INTERVAL_STEPS;
            long admitted = 0;
            for (int step = 0; step < 900; step++) {
                fleet.run(STEP_MILLIS);
                for (SimulatedFleet.Account account : accounts) {
                    long owners = fleet.countOwners(account.name);
                    assertTrue(
                            owners <= 1,
                            "seed " + seed + ", time " + fleet.now + ": " + owners + " own " + account.name);
                }
                if (random.nextInt(faultInterval) == 0) {
                    injectFault(fleet, accounts, random);
                }
                if (random.nextInt(200) == 0) {
                    accounts.get(0).changeQuota(new Quota(30 + random.nextInt(60), 30 + random.nextInt(60)));
                }
            }
            for (SimulatedFleet.Account account : accounts) {
                assertEquals(
                        -1, account.violatedWindow(), "seed " + seed + ": window over the quota of " + account.name);
                admitted += account.admittedAt.size();
            }
            assertTrue(admitted > 0, "seed " + seed + ": no request was admitted");
        }
    }

    /**
     * Without faults, and with callers that send less than the quota. Guards against a quota that refuses requests within
     * the limit, and reports the served share.
     */
    @ParameterizedTest
    @CsvSource({"1, 1", "12, 2", "74, 3", "300, 4"})
    void requestsWithinTheQuotaAreServed(int size, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(size, seed);
        List<SimulatedFleet.Account> accounts = List.of(
                fleet.addAccount("even", new Quota(224, 224), 140, 0),
                fleet.addAccount("uneven", new Quota(224, 224), 140, 0.9),
                fleet.addAccount("medium", new Quota(32, 32), 20, 0),
                fleet.addAccount("small", new Quota(1.6, 1.6), 1, 0));
        accounts.forEach(account -> account.measureFrom = SERVED_FROM_MILLIS);
        fleet.run(SERVED_FROM_MILLIS + 120_000);
        report("no faults", fleet, seed);
        for (SimulatedFleet.Account account : accounts) {
            assertTrue(servedShare(account) > MIN_SERVED_SHARE, account.name + ": served " + servedShare(account));
        }
    }

    /**
     * All instances are restarted one after the other, every 2 s, as planned or by a crash. Reports the served share and
     * guards against two owners and against accounts that stay without an owner.
     */
    @ParameterizedTest
    @CsvSource({"12, 5, true", "74, 6, true", "74, 7, false"})
    void accountsAreServedDuringARollingRestart(int size, long seed, boolean planned) {
        SimulatedFleet fleet = new SimulatedFleet(size, seed);
        List<SimulatedFleet.Account> accounts = List.of(
                fleet.addAccount("even", new Quota(224, 224), 140, 0),
                fleet.addAccount("uneven", new Quota(224, 224), 140, 0.9),
                fleet.addAccount("medium", new Quota(32, 32), 20, 0),
                fleet.addAccount("small", new Quota(1.6, 1.6), 1, 0));
        accounts.forEach(account -> account.measureFrom = SERVED_FROM_MILLIS);
        fleet.run(SERVED_FROM_MILLIS);
        for (int i = 0; i < size; i++) {
            if (planned) {
                fleet.instances.get(i).stop(300);
            } else {
                fleet.instances.get(i).crash(300);
            }
            fleet.run(2_000);
            accounts.forEach(account -> assertTrue(fleet.countOwners(account.name) <= 1));
        }
        fleet.run(20_000);
        report(planned ? "planned restarts" : "crashes", fleet, seed);
        accounts.forEach(account -> {
            assertEquals(-1, account.violatedWindow(), account.name + ": window over the quota");
            assertEquals(1, fleet.countOwners(account.name));
        });
    }

    /**
     * Callers that send 7.5 times their usual rate. Guards against an account that receives less than its quota then, and
     * against requests for tokens whose number grows with the requests of callers.
     */
    @ParameterizedTest
    @CsvSource({"1, 8, 0", "12, 9, 0", "74, 10, 0", "74, 11, 0.9", "300, 12, 0"})
    void overloadedAccountReceivesItsQuota(int size, long seed, double concentration) {
        SimulatedFleet fleet = new SimulatedFleet(size, seed);
        SimulatedFleet.Account account = fleet.addAccount("overloaded", new Quota(224, 224), 7.5 * 140, concentration);
        account.measureFrom = SERVED_FROM_MILLIS;
        fleet.run(SERVED_FROM_MILLIS);
        int before = account.admittedAt.size();
        long datagramsBefore = fleet.datagrams;
        fleet.run(60_000);
        double admittedShare = (account.admittedAt.size() - before) / (60 * account.quota.requestsPerSecond());
        System.out.printf(
                Locale.ROOT,
                "overload, instances %d, seed %d, concentration %.1f: %.4f of the quota served, datagrams %.0f/s%n",
                size,
                seed,
                concentration,
                admittedShare,
                (fleet.datagrams - datagramsBefore) / 60.0);
        assertTrue(admittedShare > MIN_QUOTA_SHARE, "share of the quota " + admittedShare);
        assertEquals(-1, account.violatedWindow());
    }

    private static double servedShare(SimulatedFleet.Account account) {
        return 1 - (double) (account.refused + account.unknown) / account.sent;
    }

    private static void report(String condition, SimulatedFleet fleet, long seed) {
        for (SimulatedFleet.Account account : fleet.accounts.values()) {
            System.out.printf(
                    Locale.ROOT,
                    "%s, instances %d, seed %d, account %s: sent %d, served %.5f, 429 %d, 503 %d, decision %.1f ms%n",
                    condition,
                    fleet.instances.size(),
                    seed,
                    account.name,
                    account.sent,
                    servedShare(account),
                    account.refused,
                    account.unknown,
                    (double) account.decisionMillis / account.sent);
        }
        System.out.printf(Locale.ROOT, "datagrams %.0f/s in sum%n", fleet.datagrams / (fleet.now / 1_000.0));
    }

    private static void injectFault(SimulatedFleet fleet, List<SimulatedFleet.Account> accounts, Random random) {
        SimulatedFleet.Instance owner = fleet.owner(accounts.get(random.nextInt(accounts.size())).name);
        SimulatedFleet.Instance instance = owner != null && random.nextBoolean()
                ? owner
                : fleet.instances.get(random.nextInt(fleet.instances.size()));
        if (instance.running && fleet.now >= instance.frozenUntil) {
            Fault.values()[random.nextInt(Fault.values().length)].inject(fleet, instance, random);
        }
    }
}
