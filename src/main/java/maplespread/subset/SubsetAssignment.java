package maplespread.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.policy.StableHash;

/**
 * Which workers of the list one dispatcher uses, and among how many dispatchers each of these is shared.
 * Every zone is cut by itself, in proportion to its size, so that a zone that is lost leaves each dispatcher
 * with workers in all others, among which the module's crossing toll decides.
 *
 * <p>Guards against a cold budget, or any other limit that dispatchers share by their count, that is split
 * among all of them while only some use the worker (too little), or among too few (the sum overruns it):
 * {@link #maxDispatchersPerWorker} is the most that can meet at one worker of this cut, as all of them compute it. A
 * dispatcher keeps the index it has started with: where indices are given out anew because one has gone, only
 * the gap it leaves is felt, and nobody's arc moves.
 */
public final class SubsetAssignment {
    private record RingPosition(long hash, String worker) implements Comparable<RingPosition> {
        @Override
        public int compareTo(RingPosition o) {
            return hash != o.hash ? Long.compare(hash, o.hash) : worker.compareTo(o.worker);
        }
    }

    /**
     * {@code sharers}: how many dispatchers are to meet at a worker, 0: all of them; {@code least}: workers
     * that a dispatcher uses at the least, as far as there are so many.
     */
    public record SubsetSettings(double dispatchersPerWorker, double minWorkers) {
        public static final SubsetSettings ALL = new SubsetSettings(0, 1);

        public SubsetSettings {
            if (!(dispatchersPerWorker >= 0) || !(minWorkers >= 1)) {
                throw new IllegalArgumentException("sharers must be 0 or more, least 1 or more");
            }
        }
    }

    private final int index;
    private final long seed;
    private SubsetSettings wish;
    private int dispatchers;
    private final TreeMap<Integer, TreeMap<RingPosition, String>> zones = new TreeMap<>();
    private final Map<String, Integer> zoneOf = new HashMap<>();
    private int maxDispatchersPerWorker;

    /** {@code seed}: of the order in which workers stand, the same at all dispatchers. */
    public SubsetAssignment(int index, int dispatchers, SubsetSettings wish, long seed) {
        if (index < 0) {
            throw new IllegalArgumentException("index must not be negative");
        }
        this.index = index;
        this.seed = seed;
        resize(dispatchers, wish);
    }

    /** So many dispatchers there are from now on, and so they share the workers. */
    public void resize(int count, SubsetSettings now) {
        wish = now;
        dispatchers = Math.max(count, index + 1);
        maxDispatchersPerWorker = dispatchers;
    }

    /** How many workers a dispatcher uses, over all zones. */
    public double width() {
        int all = zoneOf.size();
        double wanted = Math.max(wish.minWorkers, wish.dispatchersPerWorker * all / dispatchers);
        return wish.dispatchersPerWorker == 0 ? all : Math.min(all, wanted);
    }

    /** The worker is on the list, there. */
    public void put(String worker, int zone) {
        Integer was = zoneOf.put(worker, zone);
        if (was != null && was != zone) {
            take(worker, was);
        }
        zones.computeIfAbsent(zone, z -> new TreeMap<>()).put(spot(worker), worker);
    }

    /** The worker has left the list. */
    public void remove(String worker) {
        Integer zone = zoneOf.remove(worker);
        if (zone != null) {
            take(worker, zone);
        }
    }

    /** The list is told anew. */
    public void clear() {
        zones.clear();
        zoneOf.clear();
    }

    private void take(String worker, int zone) {
        TreeMap<RingPosition, String> here = zones.get(zone);
        here.remove(spot(worker));
        if (here.isEmpty()) {
            zones.remove(zone);
        }
    }

    /** A worker's place among the others, the same for all dispatchers; see {@link DeterministicAperture#ordered}. */
    private RingPosition spot(String worker) {
        return new RingPosition(StableHash.hash(seed + "/" + worker), worker);
    }

    /** The workers that this dispatcher uses. */
    public Set<String> workers() {
        Set<String> mine = new LinkedHashSet<>();
        maxDispatchersPerWorker = 0;
        double width = width();
        double all = zoneOf.size();
        for (TreeMap<RingPosition, String> zone : zones.values()) {
            List<String> order = new ArrayList<>(zone.values());
            int m = order.size();
            double part = Math.max(1, width * m / all);
            int[] edges = new int[m + 1];
            for (int i = 0; i < dispatchers; i++) {
                meet(i, part, m, edges);
            }
            int[] met = new int[m];
            int count = 0;
            for (int j = 0; j < m; j++) {
                count += edges[j];
                met[j] = count;
            }
            DeterministicAperture.arc(index, part, m, (place, covered) -> {
                mine.add(order.get(place));
                maxDispatchersPerWorker = Math.max(maxDispatchersPerWorker, met[place]);
            });
        }
        maxDispatchersPerWorker = Math.max(1, maxDispatchersPerWorker);
        return mine;
    }

    /**
     * Adds one dispatcher's arc to the sums: +1 where it begins, -1 behind its end, in one turn of the ring.
     */
    private static void meet(int index, double part, int m, int[] edges) {
        int from = (int) Math.floor(DeterministicAperture.position(index) * m);
        int to = (int) Math.ceil(DeterministicAperture.position(index) * m + part);
        if (part >= m || to - from >= m) {
            edges[0]++;
        } else if (to <= m) {
            edges[from]++;
            edges[to]--;
        } else {
            edges[from]++;
            edges[0]++;
            edges[to - m]--;
        }
    }

    /** The most dispatchers that use one worker of the last cut, this one among them; at least 1. */
    public int maxDispatchersPerWorker() {
        return maxDispatchersPerWorker;
    }
}
