package maplespread.registry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import maplespread.GoldenOutput;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.lab.registry.Store;
import maplespread.lab.registry.VirtualRegistry;
import maplespread.registry.RegistrySettings.Dialect;
import org.junit.jupiter.api.Test;

/** Seeded plays of a registry and its faults: each step, event and update, to the last draw, as a hash. */
class RegistryTraceGoldenTest {
    private static final String[] PREFIXES = {"/a/", "/b/"};
    private static final int PLAYS = 40;
    private static final int OPERATIONS = 60;

    private static final class Play {
        final StringBuilder trace = new StringBuilder();
        final Map<String, Integer> events = new TreeMap<>();
        final Store store = new Store();
        final List<VirtualRegistry.Member> members = new ArrayList<>();
        final List<VirtualRegistry.Conversation> conversations = new ArrayList<>();
        final List<RegistryWatcher> watchers = new ArrayList<>();
        final SplittableRandom random;
        Store.Backup backup;
        long now = 1;

        Play(Dialect dialect, long seed) {
            random = new SplittableRandom(seed);
            RegistrySettings settings = new RegistrySettings(
                    dialect,
                    List.of("one:1", "two:2", "three:3"),
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
            for (int i = 0; i < 3; i++) {
                members.add(new VirtualRegistry.Member(store));
            }
            VirtualRegistry registry = new VirtualRegistry(settings, members);
            RegistryListener sink = new RegistryListener() {
                @Override
                public void endpointsChanged(EndpointUpdate update) {
                    trace.append(recordedName(update.kind())).append(' ').append(update.version());
                    for (Endpoint r : update.endpoints()) {
                        trace.append(' ').append(r.worker()).append(' ').append(r.state());
                        trace.append(' ').append(r.cell()).append(' ').append(r.startedAtMs());
                    }
                    trace.append('\n');
                }

                @Override
                public void eventOccurred(boolean warning, String name, Object... pairs) {
                    events.merge(name, 1, Integer::sum);
                    trace.append(warning).append(' ').append(name).append(' ').append(Arrays.toString(pairs));
                    trace.append('\n');
                }
            };
            EndpointView view = new EndpointView(2, Play::claim, settings.forgetAfterMs(), sink);
            int each = dialect.returnsFullSnapshots() ? 1 : 2;
            for (int first = 0; first < 2; first += each) {
                RegistryWatcher watcher = new RegistryWatcher(settings, first, each, 3, view, seed + first, now, sink);
                watchers.add(watcher);
                conversations.add(registry.new Conversation(watcher, seed + 9 + first));
            }
        }

        /** The names that the constants had when the hashes were recorded. */
        private static String recordedName(EndpointUpdate.Kind kind) {
            return switch (kind) {
                case DELTA -> "CHANGES";
                case FULL_SNAPSHOT -> "WHOLE";
                case CACHED_SNAPSHOT -> "HELD";
            };
        }

        static Endpoint claim(String key, String text) {
            String[] f = text.split(" ");
            return new Endpoint(
                    f[0],
                    "127.0.0.1:1",
                    Endpoint.State.valueOf(f[1]),
                    1,
                    0,
                    Integer.parseInt(f[2]),
                    0,
                    Double.parseDouble(f[3]));
        }

        void play() {
            for (int i = 0; i < 8; i++) {
                write(i, "SERVING");
            }
            for (int i = 0; i < OPERATIONS; i++) {
                operate(random.nextInt(22), random.nextInt(8), members.get(random.nextInt(3)));
                long until = now + 1 + random.nextInt(600);
                for (int calls = 0; now < until && calls < 200; calls++) {
                    step();
                }
            }
        }

        private void write(int worker, String state) {
            store.put(
                    PREFIXES[worker % 2] + 'w' + worker,
                    "w" + worker % 6 + ' ' + state + ' ' + random.nextInt(99) + ' ' + random.nextInt(3));
        }

        private void operate(int what, int worker, VirtualRegistry.Member member) {
            switch (what) {
                case 0, 1, 2 -> write(worker, "SERVING");
                case 3, 4 -> write(worker, "DRAINING");
                case 5 -> store.delete(PREFIXES[worker % 2] + 'w' + worker);
                case 6 -> store.put(PREFIXES[worker % 2] + 'w' + worker, "unreadable");
                case 7 -> store.change(Map.of("/a/p", "p SERVING 1 1", "/b/p", "p DRAINING 1 1"), 0);
                case 8 -> member.down = !member.down;
                case 9 -> member.silent = !member.silent;
                case 10 -> member.muted = random.nextInt(4);
                case 11 -> member.errors = !member.errors;
                case 12 -> member.denies = !member.denies;
                case 13 -> member.lag = random.nextInt(5);
                case 14 -> member.slowMs = random.nextInt(400);
                case 15 -> store.compact(store.revision() - random.nextInt(3));
                case 16 -> backup = store.backup();
                case 17 -> {
                    if (backup != null && random.nextInt(2) == 0) {
                        store.restore(backup, random.nextInt(2) == 0);
                    }
                }
                case 18 -> store.elect();
                case 19 -> {
                    if (random.nextInt(4) == 0) {
                        store.wipe();
                    }
                }
                case 20 -> conversations.forEach(c -> c.cut(now, random.nextInt(2) == 0));
                default -> watchers.forEach(watcher -> watcher.onTokenChanged(now));
            }
        }

        private void step() {
            long next = Long.MAX_VALUE;
            for (int i = 0; i < watchers.size(); i++) {
                next = Math.min(next, conversations.get(i).step(now));
                RegistryWatcher watcher = watchers.get(i);
                trace.append(now)
                        .append(' ')
                        .append(watcher.phase())
                        .append(' ')
                        .append(watcher.revision());
                trace.append(' ').append(watcher.confirmedAtMs()).append(' ').append(watcher.callTimeoutAtMs());
                trace.append(' ')
                        .append(watcher.denied())
                        .append(' ')
                        .append(next)
                        .append('\n');
            }
            now = Math.max(now + 1, Math.min(next, now + 50));
        }
    }

    @Test
    void everyStepIsTheSame() throws Exception {
        StringBuilder seen = new StringBuilder();
        for (Dialect dialect : Dialect.values()) {
            Map<String, Integer> events = new TreeMap<>();
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (long seed = 1; seed <= PLAYS; seed++) {
                Play play = new Play(dialect, seed);
                play.play();
                digest.update(play.trace.toString().getBytes(StandardCharsets.UTF_8));
                play.events.forEach((name, count) -> events.merge(name, count, Integer::sum));
            }
            seen.append(dialect).append(' ').append(HexFormat.of().formatHex(digest.digest()));
            seen.append('\n').append(events).append('\n');
        }
        GoldenOutput.assertMatches("registry/trace.txt", seen.toString());
    }
}
