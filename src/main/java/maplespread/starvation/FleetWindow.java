package maplespread.starvation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The windows of the last while, of one dispatcher or of many, added up. A window counts once, however often
 * and in whatever order it comes; one of an earlier incarnation, or from before what is retained, not at all. Not
 * thread-safe.
 */
public final class FleetWindow {
    private static final int MAX_PROCESSES = 4096;
    /** Entries of all windows together, at 12 bytes each. */
    private static final int MAX_ENTRIES = 4_000_000;

    private static final int BYTES_PER_ENTRY = 12;
    private static final int BYTES_PER_HISTOGRAM = 200;
    private static final int BYTES_PER_PROCESS = 200;
    private static final int INITIAL_TENANTS = 16;
    private static final double MS_PER_SECOND = 1000.0;
    /** Requests that are no overuse, however small the allowance. */
    private static final double MIN_BURST = 3;

    /** What is known of one process. */
    private static final class Source {
        private static final long NONE = -1;

        long incarnation;
        long newestSequence = NONE;
        /** Which of the newest sequence numbers have come, as bits, the newest one lowest. */
        long receivedBits;

        long receivedAtMs;
        WaitWindow ongoing; // the window whose ongoing requests count; null: none does

        Source(long incarnation) {
            this.incarnation = incarnation;
        }

        void restart(long nextIncarnation) {
            incarnation = nextIncarnation;
            newestSequence = NONE;
            receivedBits = 0;
        }

        /** Whether the window is the newest of the process so far. */
        boolean isNewest(WaitWindow window) {
            return newestSequence < 0 || window.sequence() > newestSequence;
        }

        void recordNewest(WaitWindow window) {
            long ahead = window.sequence() - newestSequence;
            receivedBits = newestSequence < 0 || ahead >= Long.SIZE ? 1 : receivedBits << ahead | 1;
            newestSequence = window.sequence();
        }

        /** Takes note of an older window; false where it has come before or is too old. */
        boolean recordOlder(WaitWindow window, long retentionMs) {
            long behind = newestSequence - window.sequence();
            long maxBehind = Math.min(Long.SIZE, retentionMs / Math.max(1, window.lengthMs()));
            if (behind >= maxBehind || (receivedBits >>> behind & 1) == 1) {
                return false;
            }
            receivedBits |= 1L << behind;
            return true;
        }
    }

    private record RetainedWindow(long atMs, WaitWindow window) {}

    private final long retentionMs;
    private final boolean separatesPlaces;
    private final ArrayDeque<RetainedWindow> retained = new ArrayDeque<>();
    private final Map<String, Source> sources = new TreeMap<>();
    private final Map<Long, WaitHistogram> cells = new HashMap<>();
    private final Map<Long, WaitHistogram> strata = new HashMap<>();
    /** Requests that ended, by time slot, then by tenant. */
    private final TreeMap<Long, int[]> requestsBySlot = new TreeMap<>();

    private int slotMs = 1;
    private int entries;
    private long windowsMs;
    private long dropped;

    /**
     * {@code retentionMs}: for how long a window counts; {@code separatesPlaces}: whether places are told apart. One
     * dispatcher among many sees too few requests in each for that.
     */
    public FleetWindow(long retentionMs, boolean separatesPlaces) {
        this.retentionMs = retentionMs;
        this.separatesPlaces = separatesPlaces;
    }

    // ------------------------------------------------------------ adding and evicting

    /** Adds a window; returns whether it counts. */
    public boolean add(long nowMs, WaitWindow window) {
        Source source = sourceOf(nowMs, window);
        if (source == null) {
            dropped++;
            return false;
        }
        if (window.incarnation() < source.incarnation) {
            return false;
        }
        if (window.incarnation() > source.incarnation) {
            source.restart(window.incarnation());
        }
        if (source.isNewest(window)) {
            source.recordNewest(window);
            replaceOngoing(source, window);
        } else if (!source.recordOlder(window, retentionMs)) {
            return false;
        }
        source.receivedAtMs = nowMs;
        if (entries + window.codes().length > MAX_ENTRIES) {
            dropped++;
            return false;
        }
        retained.add(new RetainedWindow(nowMs, window));
        addEnded(window, 1);
        countRequests(nowMs, window);
        return true;
    }

    /** The process of the window; null where there is no room for another one. */
    private Source sourceOf(long nowMs, WaitWindow window) {
        Source known = sources.get(window.process());
        if (known != null) {
            return known;
        }
        if (sources.size() >= MAX_PROCESSES) {
            sources.values().removeIf(source -> nowMs - source.receivedAtMs >= retentionMs);
        }
        if (sources.size() >= MAX_PROCESSES) {
            return null;
        }
        Source added = new Source(window.incarnation());
        sources.put(window.process(), added);
        return added;
    }

    /** {@code next}: the window whose ongoing requests count from now on; null: none does. */
    private void replaceOngoing(Source source, WaitWindow next) {
        if (source.ongoing != null) {
            addCounts(source.ongoing.ongoingCodes(), source.ongoing.ongoingCounts(), -1);
        }
        source.ongoing = next;
        if (next != null) {
            addCounts(next.ongoingCodes(), next.ongoingCounts(), 1);
        }
    }

    /** {@code sign}: 1 adds, -1 takes out. */
    private void addEnded(WaitWindow window, int sign) {
        entries += sign * window.codes().length;
        windowsMs += (long) sign * window.lengthMs();
        addCounts(window.codes(), window.counts(), sign);
    }

    private void countRequests(long nowMs, WaitWindow window) {
        slotMs = Math.max(1, window.lengthMs());
        long slot = nowMs / slotMs;
        int[] byTenant = requestsBySlot.computeIfAbsent(slot, k -> new int[INITIAL_TENANTS]);
        for (int i = 0; i < window.codes().length; i++) {
            int tenant = CellCode.tenant(CellCode.cell(window.codes()[i]));
            if (tenant >= byTenant.length) {
                byTenant = Arrays.copyOf(byTenant, 2 * tenant);
                requestsBySlot.put(slot, byTenant);
            }
            byTenant[tenant] += window.counts()[i];
        }
    }

    private void addCounts(long[] codes, int[] counts, int sign) {
        for (int i = 0; i < codes.length; i++) {
            long cell = CellCode.cell(codes[i]);
            if (!separatesPlaces) {
                cell = CellCode.cell(CellCode.tenant(cell), CellCode.requestClass(cell), 0, CellCode.band(cell));
            }
            addCount(cells, cell, codes[i], sign * counts[i]);
            addCount(strata, stratum(cell), codes[i], sign * counts[i]);
        }
    }

    private static void addCount(Map<Long, WaitHistogram> all, long key, long code, int count) {
        WaitHistogram histogram = all.computeIfAbsent(key, k -> new WaitHistogram());
        histogram.add(CellCode.censored(code), CellCode.bin(code), count);
        if (histogram.total() == 0) {
            all.remove(key);
        }
    }

    /** The cell's class, place and band, of all tenants. */
    static long stratum(long cell) {
        return CellCode.cell(0, CellCode.requestClass(cell), CellCode.place(cell), CellCode.band(cell));
    }

    /** Removes what is older than {@code retentionMs}. */
    public void evictExpired(long nowMs) {
        while (!retained.isEmpty() && nowMs - retained.peek().atMs() >= retentionMs) {
            addEnded(retained.remove().window(), -1);
        }
        requestsBySlot.headMap((nowMs - retentionMs) / slotMs, true).clear();
        for (Source source : sources.values()) {
            if (nowMs - source.receivedAtMs >= retentionMs) {
                replaceOngoing(source, null);
            }
        }
    }

    // ------------------------------------------------------------ what it holds

    /** How many processes' windows are in it. */
    public int reportingProcesses(long nowMs) {
        return (int) sources.values().stream()
                .filter(source -> nowMs - source.receivedAtMs < retentionMs)
                .count();
    }

    /** How long it reaches back on the mean of so many processes, seconds. */
    double seconds(int processes) {
        return windowsMs / MS_PER_SECOND / Math.max(1, processes);
    }

    /** Windows that had no room here. */
    public long dropped() {
        return dropped;
    }

    /** By cell (see {@link CellCode#cell(int, int, int, int)}) the waits of its requests. */
    Map<Long, WaitHistogram> cells() {
        return cells;
    }

    /** By {@link #stratum} the waits of all tenants' requests. */
    Map<Long, WaitHistogram> strata() {
        return strata;
    }

    /** The tenant's requests in it that had ended. */
    int requests(int tenant) {
        return requestsBySlot.values().stream()
                .mapToInt(byTenant -> tenant < byTenant.length ? byTenant[tenant] : 0)
                .sum();
    }

    /**
     * The tenant's requests beyond what is due to it, {@code duePerS} a second, in the stretch up to now in
     * which it asked the most too much. What comes at once within {@code slackMs} is no overuse, nor are a few
     * requests: they are seen as they end, and those of one deadline may end together.
     */
    double maxOveruse(int tenant, double duePerS, double slackMs) {
        double most = 0;
        double asked = 0;
        double allowed = Math.max(MIN_BURST, duePerS * slackMs / MS_PER_SECOND);
        for (int[] byTenant : requestsBySlot.descendingMap().values()) {
            asked += tenant < byTenant.length ? byTenant[tenant] : 0;
            allowed += duePerS * slotMs / MS_PER_SECOND;
            most = Math.max(most, asked - allowed);
        }
        return most;
    }

    boolean separatesPlaces() {
        return separatesPlaces;
    }

    /** About how many bytes it holds. */
    public long estimatedBytes() {
        long histograms = (long) cells.size() + strata.size();
        return (long) entries * BYTES_PER_ENTRY
                + histograms * BYTES_PER_HISTOGRAM
                + (long) sources.size() * BYTES_PER_PROCESS;
    }
}
