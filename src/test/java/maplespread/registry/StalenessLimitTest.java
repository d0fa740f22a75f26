package maplespread.registry;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.lab.registry.Store;
import maplespread.lab.registry.VirtualRegistry;
import maplespread.registry.RegistrySettings.Dialect;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;

/** The clock: whatever falls silent, and whenever, what the registry says is known within the stated time. */
class StalenessLimitTest {
    private static final int STEP_MS = 5, WORKERS = 10;

    /** So many dispatchers of one registry on a virtual clock, and what each was told, and when. */
    private static final class World {
        final Store store = new Store();
        final RegistrySettings settings;
        final List<VirtualRegistry.Member> members;
        final VirtualRegistry registry;
        final List<VirtualRegistry.Conversation> conversations = new ArrayList<>();
        final List<Map<String, Long>> published = new ArrayList<>();
        final List<String> events = new ArrayList<>();
        long now = 1;

        World(RegistrySettings settings, int dispatchers, long seed) {
            this.settings = settings;
            members = settings.endpoints().stream()
                    .map(e -> new VirtualRegistry.Member(store))
                    .toList();
            registry = new VirtualRegistry(settings, members);
            for (int i = 0; i < WORKERS; i++) {
                store.put(key(i), "SERVING");
            }
            for (int d = 0; d < dispatchers; d++) {
                Map<String, Long> mine = new HashMap<>();
                published.add(mine);
                RegistryListener sink = new RegistryListener() {
                    @Override
                    public void endpointsChanged(EndpointUpdate update) {
                        update.endpoints().forEach(r -> mine.putIfAbsent(r.worker() + r.state(), now));
                    }

                    @Override
                    public void eventOccurred(boolean warning, String name, Object... pairs) {
                        events.add(name);
                    }
                };
                EndpointView view = new EndpointView(
                        2,
                        (k, text) -> new Endpoint(k, "127.0.0.1:1", Endpoint.State.valueOf(text), 1, 0, 0, 0, 0),
                        1000,
                        sink);
                int each = settings.dialect().returnsFullSnapshots() ? 1 : 2;
                for (int first = 0; first < 2; first += each) {
                    conversations.add(registry
                    .new Conversation(
                            new RegistryWatcher(
                                    settings, first, each, dispatchers, view, seed + 100 * d + first, now, sink),
                            seed + d));
                }
            }
            until(20_000, () -> conversations.stream().allMatch(VirtualRegistry.Conversation::upToDate));
        }

        static String key(int worker) {
            return (worker % 2 == 0 ? "/a/" : "/b/") + worker;
        }

        void until(long mostMs, java.util.function.BooleanSupplier done) {
            for (long end = now + mostMs; now < end && !done.getAsBoolean(); now += STEP_MS) {
                conversations.forEach(c -> c.step(now));
            }
            assertTrue(done.getAsBoolean(), () -> "not within " + mostMs + " ms " + events);
        }

        void run(long ms) {
            long end = now + ms;
            until(ms + STEP_MS, () -> now >= end);
        }

        /** Drains it or deletes it; what is to be published. */
        String change(int worker, boolean delete) {
            if (delete) {
                store.delete(key(worker));
            } else {
                store.put(key(worker), "DRAINING");
            }
            return key(worker) + (delete ? "DELETED" : "DRAINING");
        }
    }

    private static RegistrySettings settings(Dialect dialect, int endpoints) {
        return RegistrySettings.withDefaults(
                dialect,
                IntStream.range(0, endpoints).mapToObj(i -> "m" + i + ":1").toList(),
                List.of("/a/", "/b/"));
    }

    /**
     * One member answers in time, however slowly; its watches and questions, one or all, may be silent for
     * good. Each other one is well, or refuses, or errs, or takes calls and says nothing.
     */
    @Property(tries = 500, seed = "20261202", shrinking = ShrinkingMode.OFF)
    void everySilenceEndsWithTheNewWordInTime(
            @ForAll boolean consul, @ForAll @IntRange(min = 1, max = 5) int n, @ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RegistrySettings s = settings(consul ? Dialect.CONSUL_KV : Dialect.ETCD, n);
        assertNull(s.keyBreakingStalenessLimit());
        World world = new World(s, 1, seed);
        world.run(random.nextInt(3000));
        int good = random.nextInt(n);
        for (VirtualRegistry.Member m : world.members) {
            m.notices = random.nextBoolean();
            m.muted = random.nextInt(4);
            int fault = m == world.members.get(good) ? 0 : random.nextInt(6);
            m.down = fault == 1;
            m.errors = fault == 2;
            m.silent = fault >= 3;
            m.slowMs = random.nextInt(3) == 0 ? random.nextLong(s.answerMs()) : 0;
        }
        Map<String, Long> due = new HashMap<>();
        for (int i = 0; i < WORKERS; i++) {
            due.put(world.change(i, random.nextInt(4) == 0), world.now);
            world.run(random.nextInt(1, 2500));
        }
        world.run(s.stalenessLimitMs());
        due.forEach((what, since) -> {
            Long at = world.published.get(0).get(what);
            assertTrue(
                    at != null && at - since < s.stalenessLimitMs(),
                    () -> what + " after " + (at == null ? "never" : at - since) + " of " + s.stalenessLimitMs()
                            + " ms, " + world.events);
        });
    }

    /** Hundreds that fall silent together neither ask in one instant nor come late. */
    @Example
    void aFleetThatFallsSilentAtOnceComesBackSpreadAndInTime() {
        World world = new World(settings(Dialect.ETCD, 1), 300, 5);
        world.members.get(0).muted = 3;
        String drain = world.change(0, false), gone = world.change(1, true);
        long begun = world.now, most = 0;
        while (world.now < begun + world.settings.stalenessLimitMs()) {
            long before = world.registry.requests();
            world.run(100);
            most = Math.max(most, world.registry.requests() - before);
        }
        for (Map<String, Long> mine : world.published) {
            assertTrue(mine.containsKey(drain) && mine.containsKey(gone));
        }
        assertTrue(most <= 300, "requests in a tenth of a second: " + most);
    }

    /** After an outage of any length the return is bounded, and the age of the list was told meanwhile. */
    @Property(tries = 12, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void theReturnAfterAnOutageIsBounded(@ForAll boolean consul, @ForAll boolean refuses, @ForAll long seed) {
        World world = new World(settings(consul ? Dialect.CONSUL_KV : Dialect.ETCD, 2), 20, seed);
        world.members.forEach(m -> {
            m.down = refuses;
            m.silent = !refuses;
        });
        world.run(60_000);
        assertTrue(world.events.stream().filter("registry.stale"::equals).count() >= 20);
        String drain = world.change(3, false);
        world.members.forEach(m -> m.down = m.silent = false);
        world.until(
                refuses ? 1500 : 7500,
                () -> world.published.stream().allMatch(t -> t.containsKey(drain))
                        && world.events.stream()
                                        .filter("registry.stale"::equals)
                                        .count()
                                == world.events.stream()
                                        .filter("registry.fresh"::equals)
                                        .count());
    }

    /** Late is better than never: a registry that cannot keep the clock is followed as it can. */
    @Property(tries = 4, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void aRegistrySlowerThanAllowedIsFollowedAllTheSame(@ForAll boolean consul) {
        World world = new World(settings(consul ? Dialect.CONSUL_KV : Dialect.ETCD, 2), 1, 7);
        world.members.forEach(m -> {
            m.slowMs = 2500;
            m.muted = 3;
        });
        String drain = world.change(4, false);
        world.until(60_000, () -> world.published.get(0).containsKey(drain));
    }

    /** The settings that are asked for are the loosest that keep the clock. */
    @Example
    void theTimeForAnswersFollowsFromTheClock() {
        for (Dialect dialect : Dialect.values()) {
            for (int n = 1; n <= 7; n++) {
                RegistrySettings s = settings(dialect, n);
                long next = s.answerMs() + 50;
                RegistrySettings looser = new RegistrySettings(
                        dialect,
                        s.endpoints(),
                        s.follow(),
                        "",
                        1000,
                        2000,
                        s.dialMs(),
                        next,
                        s.silenceMs(),
                        s.waitMs(),
                        30_000,
                        3000,
                        15_000,
                        60_000);
                assertTrue(next > 1000 || "answer_ms".equals(looser.keyBreakingStalenessLimit()), dialect + " " + n);
                assertNull(s.keyBreakingStalenessLimit(), dialect + " " + n);
            }
        }
    }
}
