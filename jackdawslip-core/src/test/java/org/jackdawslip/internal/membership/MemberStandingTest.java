package org.jackdawslip.internal.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against shares of a common bound that add up to more, because their users do not count one another. */
class MemberStandingTest {

    private static final long TERM_MILLIS = 8_000;

    private long monotonic = 1_000;
    private long wall = 1_000_000;
    private final MemberStanding standing = new MemberStanding(() -> monotonic, () -> wall);

    private void pass(long millis) {
        for (long left = millis; left > 0; left -= 500) {
            monotonic += 500;
            wall += 500;
            standing.renewed(monotonic, TERM_MILLIS);
            standing.viewed(monotonic);
        }
    }

    /** An instance that has just started counts others that do not count it yet. */
    @Test
    void newInstanceIsEstablishedOnceEveryViewShowsIt() {
        standing.listed(monotonic, TERM_MILLIS);
        standing.viewed(monotonic);
        pass(MemberStanding.SETTLE_MILLIS - 500);
        assertFalse(standing.established());
        pass(500);
        assertTrue(standing.established());
    }

    /** The others divide a bound without an instance whose listing lapsed. */
    @Test
    void instanceWhoseListingWasRemovedStartsAgain() {
        standing.listed(monotonic, TERM_MILLIS);
        pass(12_000);
        standing.unlisted();
        assertFalse(standing.established());
        standing.listed(monotonic, TERM_MILLIS);
        pass(5_000);
        assertFalse(standing.established());
    }

    @Test
    void instanceThatCannotRenewIsNoLongerEstablished() {
        standing.listed(monotonic, TERM_MILLIS);
        pass(12_000);
        monotonic += TERM_MILLIS;
        wall += TERM_MILLIS;
        standing.viewed(monotonic);
        assertFalse(standing.established());
    }

    /** It may not know instances that were listed since. */
    @Test
    void instanceWithAnOldViewIsNotEstablished() {
        standing.listed(monotonic, TERM_MILLIS);
        pass(12_000);
        monotonic += MemberStanding.VIEW_MILLIS;
        wall += MemberStanding.VIEW_MILLIS;
        standing.renewed(monotonic, TERM_MILLIS);
        assertFalse(standing.established());
    }

    /** The monotonic clock stands still while a machine is suspended. */
    @Test
    void suspendedInstanceIsNotEstablishedUntilItHasRenewedAndRead() {
        standing.listed(monotonic, TERM_MILLIS);
        pass(12_000);
        wall += 5_000;
        assertFalse(standing.established());
        standing.renewed(monotonic, TERM_MILLIS);
        assertFalse(standing.established());
        standing.viewed(monotonic);
        assertTrue(standing.established());
    }

    /** A store and instances on simulated time; calls take up to two seconds, one of each kind at a time. */
    private static final class World {
        private final Random random;
        private final List<Instance> instances = new ArrayList<>();
        private final PriorityQueue<Answer> answers = new PriorityQueue<>(Comparator.comparingLong(Answer::at));
        private long now;

        World(long seed) {
            random = new Random(seed);
        }

        private record Answer(long at, Runnable action) {}

        private void answerLater(Runnable action) {
            answers.add(new Answer(now + random.nextInt(2_000), action));
        }

        void step() {
            now += 100;
            if (instances.size() < 3 || random.nextInt(40) == 0) {
                instances.add(new Instance());
            }
            instances.forEach(Instance::step);
            while (!answers.isEmpty() && answers.peek().at() <= now) {
                answers.poll().action().run();
            }
        }

        Set<Instance> established() {
            return instances.stream()
                    .filter(instance -> instance.up && instance.standing.established())
                    .collect(Collectors.toSet());
        }

        private final class Instance {
            private final MemberStanding standing = new MemberStanding(() -> now, () -> now);
            private Set<Instance> view = Set.of();
            private boolean up = true;
            private boolean renewing;
            private boolean reading;
            private long cutUntil;
            private long leaseUntil;

            private void step() {
                int event = random.nextInt(400);
                if (event == 0) {
                    up = false;
                } else if (event < 3) {
                    cutUntil = now + random.nextInt(12_000);
                }
                if (up && now >= cutUntil && random.nextInt(5) == 0) {
                    if (!renewing) {
                        renew();
                    }
                    if (!reading) {
                        read();
                    }
                }
            }

            private void renew() {
                renewing = true;
                boolean ended = leaseUntil <= now;
                long sentAt = now;
                leaseUntil = now + TERM_MILLIS;
                answerLater(() -> {
                    renewing = false;
                    if (ended) {
                        standing.listed(sentAt, TERM_MILLIS);
                    } else {
                        standing.renewed(sentAt, TERM_MILLIS);
                    }
                });
            }

            private void read() {
                reading = true;
                long sentAt = now;
                Set<Instance> seen = instances.stream()
                        .filter(other -> other.leaseUntil > now)
                        .collect(Collectors.toSet());
                answerLater(() -> {
                    reading = false;
                    view = seen;
                    standing.viewed(sentAt);
                });
            }
        }
    }

    /** Random histories of starts, ends, cuts and listings that lapse. */
    @Property(tries = 300)
    void establishedInstancesCountOneAnother(@ForAll long seed) {
        World world = new World(seed);
        int most = 0;
        for (int i = 0; i < 900; i++) {
            world.step();
            Set<World.Instance> established = world.established();
            most = Math.max(most, established.size());
            for (World.Instance one : established) {
                assertTrue(one.view.containsAll(established), "an established instance does not count another");
            }
        }
        assertTrue(most > 1, "no two instances were established");
    }
}
