package maplespread.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.lab.registry.Store;
import maplespread.lab.registry.VirtualRegistry;
import maplespread.registry.RegistrySettings.Dialect;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Random histories of a registry and its faults against the plain truth. Each operation is one number: what
 * it is, and which worker it concerns.
 */
class RegistryWatcherModelTest {
    private static final String[] PREFIXES = {"/a/", "/b/"};
    private static final int WORKERS = 6;

    /** One history, played. */
    private static final class World {
        final Store store = new Store();
        final RegistrySettings settings;
        final VirtualRegistry registry;
        final List<VirtualRegistry.Member> members = new ArrayList<>();
        final List<VirtualRegistry.Conversation> conversations = new ArrayList<>();
        final List<RegistryWatcher> watchers = new ArrayList<>();
        final EndpointView view;
        final Map<String, Endpoint> published = new TreeMap<>();
        final Map<String, Double> drained = new HashMap<>(); // told as draining, and since when up
        final List<String> events = new ArrayList<>();
        long now = 1;
        long lastStart = 100;
        int cell;
        boolean lost; // the store has once begun with nothing
        boolean restored;
        boolean twice; // two keys have claimed one worker
        Store.Backup backup;

        World(Dialect dialect) {
            settings = new RegistrySettings(
                    dialect,
                    List.of("one:1", "two:2"),
                    List.of(PREFIXES),
                    "",
                    3,
                    2000,
                    500,
                    300,
                    2000,
                    3000,
                    4000,
                    1000,
                    5000,
                    60_000);
            members.add(new VirtualRegistry.Member(store));
            members.add(new VirtualRegistry.Member(store));
            registry = new VirtualRegistry(settings, members);
            RegistryListener sink = new RegistryListener() {
                @Override
                public void endpointsChanged(EndpointUpdate update) {
                    onUpdate(update);
                }

                @Override
                public void eventOccurred(boolean warning, String name, Object... pairs) {
                    events.add(name);
                }
            };
            view = new EndpointView(2, World::claim, settings.forgetAfterMs(), sink);
            int each = dialect.returnsFullSnapshots() ? 1 : 2;
            for (int first = 0; first < 2; first += each) {
                RegistryWatcher watcher = new RegistryWatcher(settings, first, each, 1, view, 5 + first, now, sink);
                watchers.add(watcher);
                conversations.add(registry.new Conversation(watcher, 9 + first));
            }
            for (int i = 0; i < 10; i++) { // even one that lags sees workers
                pair();
            }
            write(2, "SERVING", 0);
        }

        static Endpoint claim(String key, String text) {
            String[] f = text.split(" ");
            return new Endpoint(
                    f[0],
                    "127.0.0.1:" + f[4],
                    Endpoint.State.valueOf(f[1]),
                    1,
                    0,
                    Integer.parseInt(f[3]),
                    0,
                    Double.parseDouble(f[2]));
        }

        static String key(int worker) {
            return PREFIXES[worker % 2] + 'w' + worker;
        }

        private String text(int worker, String state, long start) {
            return "w" + worker + ' ' + state + ' ' + start + ' ' + cell + ' ' + (worker + start % 7);
        }

        private void write(int worker, String state, long start) {
            store.put(key(worker), text(worker, state, start));
        }

        /** Two workers that change together, always. */
        private void pair() {
            cell++;
            store.change(Map.of("/a/p0", "p0 SERVING 1 " + cell + " 1", "/a/p1", "p1 SERVING 1 " + cell + " 2"), 0);
        }

        void onUpdate(EndpointUpdate update) {
            boolean whole = update.kind() == EndpointUpdate.Kind.FULL_SNAPSHOT;
            assertEquals(published.isEmpty() && !lost, whole && !lost, "whole once, and first");
            for (Endpoint r : update.endpoints()) {
                if (r.state() == Endpoint.State.DELETED) {
                    assertTrue(published.remove(r.worker()) != null, "deleted what was never told " + r);
                    continue;
                }
                Endpoint before = published.put(r.worker(), r);
                if (r.state() == Endpoint.State.DRAINING) {
                    drained.put(r.worker(), r.startedAtMs());
                } else {
                    Double since = drained.get(r.worker());
                    assertFalse(
                            since != null && since == r.startedAtMs(),
                            "a drain was unlearned: " + before + " then " + r + " " + events);
                }
                assertTrue(
                        restored || twice || before == null || before.startedAtMs() <= r.startedAtMs(),
                        "back in time: " + before + " then " + r);
            }
            assertFalse(published.isEmpty() && !lost, "empty where the truth was not");
            Endpoint a = published.get("p0"), b = published.get("p1");
            assertEquals(a == null ? -1 : a.cell(), b == null ? -1 : b.cell(), "half a revision");
        }

        void operation(int code) {
            int worker = code / 32 % WORKERS;
            String now = store.get(key(worker)) == null
                    ? null
                    : store.get(key(worker)).value();
            VirtualRegistry.Member member = members.get(worker % 2);
            switch (code % 32) {
                case 0, 1, 2 -> write(worker, "SERVING", ++lastStart);
                case 3, 4, 5 -> {
                    if (now != null && now.contains("SERVING")) {
                        store.put(key(worker), now.replace("SERVING", "DRAINING"));
                    }
                }
                case 6 -> store.delete(key(worker));
                case 7, 8 -> pair();
                case 9 -> store.put(key(worker), "?");
                case 10 -> {
                    store.put("/b/also" + worker, text(worker, "SERVING", ++lastStart));
                    twice = true;
                }
                case 11 -> store.delete("/b/also" + worker);
                case 12 -> store.compact(store.revision());
                case 13 -> store.compact(store.revision() - 2);
                case 14 -> conversations.forEach(c -> c.cut(this.now, true));
                case 15 -> conversations.forEach(c -> c.cut(this.now, false));
                case 16 -> member.down = !member.down;
                case 17 -> member.silent = !member.silent;
                case 18 -> member.errors = !member.errors;
                case 19 -> member.lag = member.lag > 0 ? 0 : 1 + worker;
                case 20 -> member.denies = !member.denies;
                case 21 -> backup = store.backup();
                case 22 -> restore(worker % 2 == 0);
                case 23 -> {
                    if (worker == 0) {
                        conversations.forEach(c -> c.cut(this.now, false));
                        store.wipe();
                        lost = true;
                        restored = true;
                    }
                }
                case 24 -> {
                    Map<String, String> gone = new HashMap<>();
                    for (int i = 0; i < WORKERS; i++) {
                        gone.put(key(i), null);
                    }
                    store.change(gone, 0);
                }
                case 25 -> store.elect();
                case 26 -> this.now += 700L * (1 + worker);
                default -> run(1 + worker * 2);
            }
        }

        private void restore(boolean sameCluster) {
            // Consul names no cluster: put back over lost data, a backup is like workers that register anew.
            if (backup != null && !(lost && settings.dialect().returnsFullSnapshots())) {
                conversations.forEach(c -> c.cut(now, false));
                store.restore(backup, sameCluster);
                restored = true;
            }
        }

        void run(int steps) {
            for (int i = 0; i < steps; i++) {
                for (VirtualRegistry.Conversation c : conversations) {
                    c.step(now);
                }
                now += 5;
            }
        }

        /** Everything is well again: the view must come to be what the store holds. */
        void settle() {
            for (VirtualRegistry.Member m : members) {
                m.down = m.silent = m.errors = m.denies = false;
                m.lag = 0;
            }
            if (lost) {
                pair();
            }
            boolean done = false;
            for (int i = 0; i < 4000 && !done; i++) {
                run(1);
                now += 35;
                done = view.published()
                        && view.orphanCount() == 0
                        && conversations.stream().allMatch(VirtualRegistry.Conversation::upToDate);
            }
            assertTrue(done, "not settled: " + watchers + events);
            Map<String, Endpoint> truth = truth();
            Set<String> doubtful = new HashSet<>();
            for (int i = 0; i < WORKERS; i++) {
                Store.Version v = store.get(key(i));
                if (v != null && v.value().equals("?")) { // what it said before may still count
                    doubtful.add("w" + i);
                }
            }
            Set<String> all = new HashSet<>(truth.keySet());
            all.addAll(published.keySet());
            all.removeAll(doubtful);
            for (String worker : all) {
                Endpoint is = published.get(worker), should = truth.get(worker);
                if (restored
                        && should != null
                        && is != null
                        && drained.containsKey(worker)
                        && drained.get(worker) == should.startedAtMs()) {
                    assertEquals(Endpoint.State.DRAINING, is.state(), "a restore undid a drain");
                    continue;
                }
                assertEquals(should, is, "the view is not the store " + events);
            }
        }

        Map<String, Endpoint> truth() {
            Map<String, List<Map.Entry<String, Endpoint>>> claims = new TreeMap<>();
            for (String prefix : PREFIXES) {
                try {
                    for (Store.Version v : store.range(prefix, prefix + '\uffff', 0, 1000)) {
                        if (!v.value().equals("?")) {
                            Endpoint r = claim(v.key(), v.value());
                            claims.computeIfAbsent(r.worker(), w -> new ArrayList<>())
                                    .add(Map.entry(v.key(), r));
                        }
                    }
                } catch (Store.Gone e) {
                    throw new AssertionError(e);
                }
            }
            Map<String, Endpoint> truth = new TreeMap<>();
            claims.forEach((worker, list) -> truth.put(
                    worker,
                    list.stream()
                            .sorted(Comparator.<Map.Entry<String, Endpoint>>comparingDouble(
                                            e -> -e.getValue().startedAtMs())
                                    .thenComparing(e -> e.getValue().state() == Endpoint.State.SERVING)
                                    .thenComparing(Map.Entry::getKey))
                            .findFirst()
                            .orElseThrow()
                            .getValue()));
            return truth;
        }
    }

    private static void play(Dialect dialect, List<Integer> operations) {
        World world = new World(dialect);
        operations.forEach(world::operation);
        world.settle();
    }

    @Property(tries = 12_000, seed = "20261201", shrinking = ShrinkingMode.BOUNDED)
    void etcdEndsWhereTheStoreIs(@ForAll @Size(max = 70) List<@IntRange(max = 32 * WORKERS - 1) Integer> ops) {
        play(Dialect.ETCD, ops);
    }

    @Property(tries = 6_000, seed = "20261202", shrinking = ShrinkingMode.BOUNDED)
    void consulEndsWhereTheStoreIs(@ForAll @Size(max = 70) List<@IntRange(max = 32 * WORKERS - 1) Integer> ops) {
        play(Dialect.CONSUL_KV, ops);
    }
}
