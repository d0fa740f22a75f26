package maplespread.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Computes which workers of the endpoint list one dispatcher uses, and how many dispatchers share a worker. Each zone
 * is divided separately, in proportion to its size, so that a dispatcher that loses a zone still has workers in all
 * others.
 *
 * <p>A limit that dispatchers share, such as the slow-start budget, is divided by {@link #maxDispatchersPerWorker}: the
 * largest number of dispatchers that use one of its workers. Divided by the number of all dispatchers, a limit would be
 * too small; divided by fewer than use the worker, the sum would exceed the limit. A dispatcher keeps its initial
 * index: when another one leaves, no arc moves. Not thread-safe.
 */
public final class SubsetAssignment {
    private record RingPosition(long hash, String worker) implements Comparable<RingPosition> {
        @Override
        public int compareTo(RingPosition other) {
            return hash != other.hash ? Long.compare(hash, other.hash) : worker.compareTo(other.worker);
        }
    }

    /**
     * How the workers are divided.
     *
     * @param dispatchersPerWorker target number of dispatchers that use a worker; 0: all of them
     * @param minWorkers least number of workers that a dispatcher uses, as far as there are so many
     */
    public record SubsetSettings(double dispatchersPerWorker, double minWorkers) {
        /** Every dispatcher uses every worker. */
        public static final SubsetSettings ALL = new SubsetSettings(0, 1);

        /** Checks the ranges; the message has the names that the settings have in the operator's file. */
        public SubsetSettings {
            if (!(dispatchersPerWorker >= 0) || !(minWorkers >= 1)) {
                throw new IllegalArgumentException("sharers must be 0 or more, least 1 or more");
            }
        }
    }

    private final int index;
    private final long seed;
    private final TreeMap<Integer, TreeMap<RingPosition, String>> workersByZone = new TreeMap<>();
    private final Map<String, Integer> zoneByWorker = new HashMap<>();
    private SubsetSettings settings;
    private int dispatchers;

    /** Result of the last {@link #workers}; the number of all dispatchers before the first. */
    private int maxDispatchersPerWorker;

    /**
     * Creates an assignment without workers.
     *
     * @param index of this dispatcher, from 0
     * @param seed of the workers' order, the same at all dispatchers
     */
    public SubsetAssignment(int index, int dispatchers, SubsetSettings settings, long seed) {
        if (index < 0) {
            throw new IllegalArgumentException("index must not be negative");
        }
        this.index = index;
        this.seed = seed;
        resize(dispatchers, settings);
    }

    /** Changes the number of dispatchers that share the workers, and the settings. */
    public void resize(int dispatcherCount, SubsetSettings newSettings) {
        settings = newSettings;
        dispatchers = Math.max(dispatcherCount, index + 1);
        maxDispatchersPerWorker = dispatchers;
    }

    /** The number of workers that a dispatcher covers in all zones; may be fractional. */
    public double width() {
        int all = zoneByWorker.size();
        double wanted = Math.max(settings.minWorkers, settings.dispatchersPerWorker * all / dispatchers);
        return settings.dispatchersPerWorker == 0 ? all : Math.min(all, wanted);
    }

    /** Adds a worker of the endpoint list, or changes its zone. */
    public void put(String worker, int zone) {
        Integer previousZone = zoneByWorker.put(worker, zone);
        if (previousZone != null && previousZone != zone) {
            removeFromZone(worker, previousZone);
        }
        workersByZone.computeIfAbsent(zone, z -> new TreeMap<>()).put(position(worker), worker);
    }

    /** Removes a worker that is no longer on the endpoint list. */
    public void remove(String worker) {
        Integer zone = zoneByWorker.remove(worker);
        if (zone != null) {
            removeFromZone(worker, zone);
        }
    }

    /** Removes all workers. */
    public void clear() {
        workersByZone.clear();
        zoneByWorker.clear();
    }

    private void removeFromZone(String worker, int zone) {
        TreeMap<RingPosition, String> workers = workersByZone.get(zone);
        workers.remove(position(worker));
        if (workers.isEmpty()) {
            workersByZone.remove(zone);
        }
    }

    /** The worker's position on the ring, the same at all dispatchers. */
    private RingPosition position(String worker) {
        return new RingPosition(DeterministicAperture.ringHash(worker, seed), worker);
    }

    /** Computes the workers that this dispatcher uses, and {@link #maxDispatchersPerWorker}. */
    public Set<String> workers() {
        Set<String> used = new LinkedHashSet<>();
        maxDispatchersPerWorker = 0;
        double width = width();
        double all = zoneByWorker.size();
        for (TreeMap<RingPosition, String> zone : workersByZone.values()) {
            List<String> order = new ArrayList<>(zone.values());
            int places = order.size();
            double widthInZone = Math.max(1, width * places / all);
            int[] dispatchersAt = dispatchersByPlace(widthInZone, places);
            DeterministicAperture.visitArc(index, widthInZone, places, (place, covered) -> {
                used.add(order.get(place));
                maxDispatchersPerWorker = Math.max(maxDispatchersPerWorker, dispatchersAt[place]);
            });
        }
        maxDispatchersPerWorker = Math.max(1, maxDispatchersPerWorker);
        return used;
    }

    /** The number of dispatchers by place on the ring, counting every arc that touches the place. */
    private int[] dispatchersByPlace(double width, int places) {
        int[] edges = new int[places + 1];
        for (int dispatcher = 0; dispatcher < dispatchers; dispatcher++) {
            addArc(dispatcher, width, places, edges);
        }
        int[] byPlace = new int[places];
        int count = 0;
        for (int place = 0; place < places; place++) {
            count += edges[place];
            byPlace[place] = count;
        }
        return byPlace;
    }

    /**
     * Adds one dispatcher's arc to the edges: +1 at its first place, -1 after its last one, wrapping around the ring.
     */
    private static void addArc(int dispatcher, double width, int places, int[] edges) {
        double start = DeterministicAperture.position(dispatcher) * places;
        int from = (int) Math.floor(start);
        int end = (int) Math.ceil(start + width);
        if (width >= places || end - from >= places) {
            edges[0]++;
        } else if (end <= places) {
            edges[from]++;
            edges[end]--;
        } else {
            edges[from]++;
            edges[0]++;
            edges[end - places]--;
        }
    }

    /** The largest number of dispatchers, including this one, that use one worker of {@link #workers}; at least 1. */
    public int maxDispatchersPerWorker() {
        return maxDispatchersPerWorker;
    }
}
