package maplespread.registry;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;

/**
 * What the registry says of the workers, by key and by worker, and what the dispatcher has been told of it. A
 * change costs what it touches, not the fleet. May serve several cores, each with parts of its own; whoever
 * shares it guards it.
 *
 * <p>Several keys may claim one worker. The claim with the latest start counts; of equals, one that drains;
 * then the first key. So what is shown depends only on what is held, not on the order in which it came.
 *
 * <p>After another history (a restored registry) two things that were told before still count. A drain
 * ({@code drains}): it holds until that worker is written again or has another start, also for one that had
 * gone meanwhile. A worker that the new
 * history does not know ({@code orphans}): its absence is lost data and not somebody's word, so it stays for
 * a time in which it can register anew.
 */
public final class EndpointView {
    private static final class Claim {
        final int part;
        final String key;
        long revision;
        int print; // of the value last seen, readable or not
        long readAt; // when its route was last read, as a count
        Endpoint route; // null: no value of it could be read yet
        long orphanUntil = Long.MAX_VALUE;

        Claim(int part, String key) {
            this.part = part;
            this.key = key;
        }
    }

    private static final int MOST_DRAINS = 50_000;

    /** One start of a worker that was told to be draining. */
    private record DrainedStart(String worker, double startedAtMs) {}

    /** What a rebuild has changed, in workers. */
    public record ChangeCounts(int added, int removed, int drained, int restarted, int changed) {
        boolean none() {
            return added + removed + drained + restarted + changed == 0;
        }
    }

    private final EntryDecoder reader;
    private final RegistryListener sink;
    private final long forgetAfterMs;
    private final List<Map<String, Claim>> parts = new ArrayList<>();
    private final BitSet unread = new BitSet(); // parts that have never been whole
    private final Map<String, List<Claim>> byWorker = new HashMap<>();
    private final Map<String, Endpoint> publishedEndpoints = new LinkedHashMap<>();
    /** Drains told, and up to which reading each holds whatever the registry says; 0: none. */
    private final Map<DrainedStart, Long> drains = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<DrainedStart, Long> eldest) {
            return size() > MOST_DRAINS;
        }
    };

    private long reading;
    private final Set<Claim> orphans = new LinkedHashSet<>();
    private long orphansUntil = Long.MAX_VALUE;
    private long generation;
    private boolean published;

    public EndpointView(int parts, EntryDecoder reader, long forgetAfterMs, RegistryListener sink) {
        this.reader = reader;
        this.forgetAfterMs = forgetAfterMs;
        this.sink = sink;
        for (int i = 0; i < parts; i++) {
            this.parts.add(new HashMap<>());
        }
        unread.set(0, parts);
    }

    /** Whether every part has been read whole, so that the dispatcher has been told. */
    public boolean published() {
        return published;
    }

    /** What the dispatcher has been told, by worker. */
    public Map<String, Endpoint> publishedEndpoints() {
        return java.util.Collections.unmodifiableMap(publishedEndpoints);
    }

    /** How many keys the registry is held to have in a part. */
    long entryCount(int part) {
        return parts.get(part).size()
                - orphans.stream().filter(h -> h.part == part).count();
    }

    /** The key of a part that was changed last; null where it has none. */
    String newestKey(int part) {
        Claim best = null;
        for (Claim h : parts.get(part).values()) {
            if (h.orphanUntil == Long.MAX_VALUE
                    && (best == null
                            || h.revision > best.revision
                            || h.revision == best.revision && h.key.compareTo(best.key) < 0)) {
                best = h;
            }
        }
        return best == null ? null : best.key;
    }

    /** Whether an item is what is held under the newest key; null: none is held. */
    boolean newestEntryIs(int part, RegistryEntry item) {
        String key = newestKey(part);
        return key == null
                ? item == null
                : item != null && key.equals(item.key()) && same(parts.get(part).get(key), item);
    }

    /** How many keys of a part have gone, where it has so many now and these have changed. */
    long countDeleted(int part, List<RegistryEntry> changed, long count) {
        long fresh = changed.stream()
                .map(item -> parts.get(part).get(item.key()))
                .filter(h -> h == null || h.orphanUntil < Long.MAX_VALUE)
                .count();
        return entryCount(part) + fresh - count;
    }

    /** Workers kept though a restored registry does not know them. */
    public int orphans() {
        return orphans.size();
    }

    /** The changes of one or more whole revisions. */
    void apply(int part, List<RegistryEntry> items, long revision) {
        Set<String> touched = new LinkedHashSet<>();
        for (RegistryEntry item : items) {
            if (item.isDeleted()) {
                remove(part, item.key(), touched);
            } else {
                put(part, item, touched);
            }
        }
        publish(touched, revision);
    }

    /**
     * All of a part as it stands. {@code other}: by another history than the one held so far.
     */
    ChangeCounts replace(int part, Map<String, RegistryEntry> fresh, boolean other, long revision, long now) {
        Set<String> touched = new LinkedHashSet<>();
        Map<String, Claim> held = parts.get(part);
        for (Claim h : List.copyOf(held.values())) {
            if (fresh.containsKey(h.key) || h.orphanUntil < Long.MAX_VALUE && !other) {
                continue;
            }
            if (other && h.route != null && forgetAfterMs > 0) {
                if (h.orphanUntil == Long.MAX_VALUE) {
                    h.orphanUntil = now + forgetAfterMs;
                    orphans.add(h);
                    orphansUntil = Math.min(orphansUntil, h.orphanUntil);
                }
            } else {
                remove(part, h.key, touched);
            }
        }
        for (RegistryEntry item : fresh.values()) {
            Claim h = held.get(item.key());
            if (other || h == null || h.orphanUntil < Long.MAX_VALUE || !same(h, item)) {
                put(part, item, touched);
            }
        }
        if (other) {
            drains.replaceAll((drain, upTo) -> reading);
        }
        unread.clear(part);
        return publish(touched, revision);
    }

    /**
     * Whether what is read cannot be of the history held up to {@code revision}: a key that was changed
     * before that and is not held so. Guards against a registry that was restored and has come further
     * since, whose revisions alone look right.
     */
    boolean contradicts(int part, Map<String, RegistryEntry> fresh, long revision) {
        Map<String, Claim> held = parts.get(part);
        for (RegistryEntry item : fresh.values()) {
            Claim h = held.get(item.key());
            if (h == null || h.orphanUntil < Long.MAX_VALUE
                    ? item.revision() <= revision
                    : item.revision() < h.revision || item.revision() == h.revision && !same(h, item)) {
                return true;
            }
        }
        return false;
    }

    private static boolean same(Claim h, RegistryEntry item) {
        return h.revision == item.revision() && h.print == item.valueHash();
    }

    /**
     * Lets go of a part's workers that a restored registry has not come to know in time. {@code heardAt}: up
     * to when all that it says of the part is known; time alone does not say that nobody came back.
     */
    void releaseOrphans(int part, long heardAt) {
        if (heardAt < orphansUntil) {
            return;
        }
        Set<String> touched = new LinkedHashSet<>();
        orphansUntil = Long.MAX_VALUE;
        for (Claim h : List.copyOf(orphans)) {
            if (h.part == part && h.orphanUntil <= heardAt) {
                remove(h.part, h.key, touched);
            } else {
                orphansUntil = Math.min(orphansUntil, h.orphanUntil);
            }
        }
        if (!touched.isEmpty()) {
            sink.eventOccurred(true, "registry.forgotten", "workers", touched.size());
            publish(touched, generation);
        }
    }

    private void put(int part, RegistryEntry item, Set<String> touched) {
        Claim h = parts.get(part).computeIfAbsent(item.key(), k -> new Claim(part, k));
        h.revision = item.revision();
        h.print = item.valueHash();
        if (orphans.remove(h)) {
            h.orphanUntil = Long.MAX_VALUE;
        }
        Endpoint route;
        try {
            route = Objects.requireNonNull(reader.decode(item.key(), item.value()));
        } catch (RuntimeException e) {
            // Costs this change only: what the key said before still counts.
            sink.eventOccurred(
                    true, "registry.unreadable", "key", item.key(), "revision", item.revision(), "why", e.getMessage());
            return;
        }
        if (h.route != null && !h.route.worker().equals(route.worker())) {
            leave(h, touched);
        }
        if (h.route == null) {
            List<Claim> claims = byWorker.computeIfAbsent(route.worker(), w -> new ArrayList<>(1));
            claims.add(h);
            if (claims.size() > 1) {
                sink.eventOccurred(
                        true,
                        "registry.claimed_twice",
                        "worker",
                        route.worker(),
                        "key",
                        item.key(),
                        "other",
                        claims.get(0).key);
            }
        }
        h.route = route;
        h.readAt = ++reading;
        touched.add(route.worker());
    }

    private void remove(int part, String key, Set<String> touched) {
        Claim h = parts.get(part).remove(key);
        if (h != null) {
            orphans.remove(h);
            leave(h, touched);
        }
    }

    private void leave(Claim h, Set<String> touched) {
        if (h.route == null) {
            return;
        }
        String worker = h.route.worker();
        List<Claim> claims = byWorker.get(worker);
        claims.remove(h);
        if (claims.isEmpty()) {
            byWorker.remove(worker);
        }
        h.route = null;
        touched.add(worker);
    }

    private Endpoint winner(String worker) {
        Claim best = null;
        for (Claim h : byWorker.getOrDefault(worker, List.of())) {
            best = best == null || before(h, best) ? h : best;
        }
        if (best == null) {
            return null;
        }
        Endpoint r = best.route;
        if (best.readAt > drains.getOrDefault(new DrainedStart(worker, r.startedAtMs()), 0L)) {
            return r; // nothing is held against it, or it is newer
        }
        return new Endpoint(
                r.worker(),
                r.address(),
                Endpoint.State.DRAINING,
                r.weight(),
                r.kind(),
                r.cell(),
                r.zone(),
                r.startedAtMs());
    }

    private static boolean before(Claim a, Claim b) {
        int byStart = Double.compare(a.route.startedAtMs(), b.route.startedAtMs());
        int byDrain =
                Boolean.compare(a.route.state() != Endpoint.State.SERVING, b.route.state() != Endpoint.State.SERVING);
        int byKey = a.part != b.part ? b.part - a.part : b.key.compareTo(a.key);
        return (byStart != 0 ? byStart : byDrain != 0 ? byDrain : byKey) > 0;
    }

    /** Tells what differs from what was told; nothing before all parts have been read. */
    private ChangeCounts publish(Collection<String> touched, long revision) {
        generation = Math.max(generation, revision);
        if (!unread.isEmpty()) {
            return new ChangeCounts(0, 0, 0, 0, 0);
        }
        int added = 0, gone = 0, drained = 0, restarted = 0, other = 0;
        List<Endpoint> changes = new ArrayList<>();
        for (String worker : published ? touched : List.copyOf(byWorker.keySet())) {
            Endpoint now = winner(worker);
            Endpoint before = now == null ? publishedEndpoints.remove(worker) : publishedEndpoints.put(worker, now);
            if (Objects.equals(before, now)) {
                continue;
            }
            if (now != null && now.state() == Endpoint.State.SERVING) {
                drains.remove(new DrainedStart(worker, now.startedAtMs()));
            } else if (now != null) {
                drains.putIfAbsent(new DrainedStart(worker, now.startedAtMs()), 0L);
            }
            changes.add(
                    now != null
                            ? now
                            : new Endpoint(
                                    worker,
                                    before.address(),
                                    Endpoint.State.DELETED,
                                    before.weight(),
                                    before.kind(),
                                    before.cell(),
                                    before.zone(),
                                    before.startedAtMs()));
            if (before == null) {
                added++;
            } else if (now == null) {
                gone++;
            } else if (now.startedAtMs() != before.startedAtMs()) {
                restarted++;
            } else if (now.state() != before.state() && now.state() != Endpoint.State.SERVING) {
                drained++;
            } else {
                other++;
            }
        }
        if (!published || !changes.isEmpty()) {
            EndpointUpdate.Kind kind = published ? EndpointUpdate.Kind.DELTA : EndpointUpdate.Kind.FULL_SNAPSHOT;
            published = true;
            sink.endpointsChanged(new EndpointUpdate(kind, generation, changes));
        }
        return new ChangeCounts(added, gone, drained, restarted, other);
    }
}
