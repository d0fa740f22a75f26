package maplespread.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Assigns one dispatcher the workers of the list that it uses, and tells among how many dispatchers each of them
 * is shared. Every zone is divided by itself, in proportion to its size, so that a zone that is lost leaves each
 * dispatcher with workers in all others.
 *
 * <p>Limits that dispatchers share by their count, as the slow-start budget, go by
 * {@link #maxDispatchersPerWorker}: the most dispatchers that can meet at one worker, as all of them compute it.
 * Divided by all dispatchers a limit would be too small, by fewer than meet the sum would exceed it. A dispatcher
 * keeps the index that it has started with: when one leaves, nobody's arc moves. Not thread-safe.
 */
public final class SubsetAssignment {
    private record RingPosition(long hash, String worker) implements Comparable<RingPosition> {
        @Override
        public int compareTo(RingPosition other) {
            return hash != other.hash ? Long.compare(hash, other.hash) : worker.compareTo(other.worker);
        }
    }

    /**
     * {@code dispatchersPerWorker}: how many dispatchers are to meet at a worker, 0: all of them; {@code
     * minWorkers}: workers that a dispatcher uses at the least, as far as there are so many.
     */
    public record SubsetSettings(double dispatchersPerWorker, double minWorkers) {
        /** Every dispatcher uses every worker. */
        public static final SubsetSettings ALL = new SubsetSettings(0, 1);

        /** Checks the ranges; the message has the names of the operators' file. */
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
    private int maxDispatchersPerWorker;

    /** {@code index}: of this dispatcher; {@code seed}: of the workers' order, the same at all dispatchers. */
    public SubsetAssignment(int index, int dispatchers, SubsetSettings settings, long seed) {
        if (index < 0) {
            throw new IllegalArgumentException("index must not be negative");
        }
        this.index = index;
        this.seed = seed;
        resize(dispatchers, settings);
    }

    /** So many dispatchers share the workers from now on, by these settings. */
    public void resize(int dispatcherCount, SubsetSettings newSettings) {
        settings = newSettings;
        dispatchers = Math.max(dispatcherCount, index + 1);
        maxDispatchersPerWorker = dispatchers;
    }

    /** How many workers a dispatcher uses, over all zones. */
    public double width() {
        int all = zoneByWorker.size();
        double wanted = Math.max(settings.minWorkers, settings.dispatchersPerWorker * all / dispatchers);
        return settings.dispatchersPerWorker == 0 ? all : Math.min(all, wanted);
    }

    /** The worker is on the list, in that zone. */
    public void put(String worker, int zone) {
        Integer previousZone = zoneByWorker.put(worker, zone);
        if (previousZone != null && previousZone != zone) {
            removeFromZone(worker, previousZone);
        }
        workersByZone.computeIfAbsent(zone, z -> new TreeMap<>()).put(position(worker), worker);
    }

    /** The worker has left the list. */
    public void remove(String worker) {
        Integer zone = zoneByWorker.remove(worker);
        if (zone != null) {
            removeFromZone(worker, zone);
        }
    }

    /** The list is empty. */
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

    /** The worker's place among the others, the same for all dispatchers. */
    private RingPosition position(String worker) {
        return new RingPosition(DeterministicAperture.ringHash(worker, seed), worker);
    }

    /** The workers that this dispatcher uses. */
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

    /** By place on the ring how many dispatchers' arcs touch it. */
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

    /** Adds one dispatcher's arc to the edges: +1 where it begins, -1 behind its end, in one turn of the ring. */
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

    /** The most dispatchers that use one worker of {@link #workers}, this one among them; at least 1. */
    public int maxDispatchersPerWorker() {
        return maxDispatchersPerWorker;
    }
}
