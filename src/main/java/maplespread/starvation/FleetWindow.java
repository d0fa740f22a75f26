package maplespread.starvation;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The windows of the last while, of one process or of many, added up. A window counts once, however often and
 * in whatever order it comes; one of an earlier run, or from before what is kept, not at all.
 */
public final class FleetWindow {
    /** What is known of a process. {@code seen}: its newest numbers as bits, the newest lowest. */
    private static final class Source {
        long run, newest = -1, seen, heardMs;
        WaitWindow open; // the window whose open jobs count
    }

    private record Kept(long atMs, WaitWindow window) {}

    private static final int MOST_SOURCES = 4096;
    private static final int MOST_ENTRIES = 4_000_000; // 12 bytes each
    private final long keepMs;
    private final boolean separatesPlaces;
    private final ArrayDeque<Kept> kept = new ArrayDeque<>();
    private final Map<String, Source> sources = new TreeMap<>();
    private final Map<Long, WaitHistogram> cells = new HashMap<>(); // by cell
    private final Map<Long, WaitHistogram> strata = new HashMap<>(); // all tenants of a class, place and band
    private final TreeMap<Long, int[]> jobs = new TreeMap<>(); // that ended, by time and tenant
    private int slotMs = 1;
    private int entries;
    private long jobsMs; // of all windows, for rates
    private long dropped;

    /**
     * {@code keepMs}: so long a window counts; {@code places}: whether places are told apart. One process
     * among many sees too few jobs in each for that.
     */
    public FleetWindow(long keepMs, boolean places) {
        this.keepMs = keepMs;
        this.separatesPlaces = places;
    }

    /** Whether the window counts. */
    public boolean add(long nowMs, WaitWindow w) {
        Source s = sources.get(w.process());
        if (s == null) {
            if (sources.size() >= MOST_SOURCES) {
                sources.entrySet().removeIf(e -> nowMs - e.getValue().heardMs >= keepMs);
            }
            if (sources.size() >= MOST_SOURCES) {
                dropped++;
                return false;
            }
            s = new Source();
            s.run = w.incarnation();
            sources.put(w.process(), s);
        }
        if (w.incarnation() < s.run) {
            return false;
        }
        if (w.incarnation() > s.run) {
            s.run = w.incarnation();
            s.newest = -1;
            s.seen = 0;
        }
        long behind = s.newest - w.sequence();
        if (s.newest >= 0 && behind >= 0) {
            long most = Math.min(Long.SIZE, keepMs / Math.max(1, w.lengthMs()));
            if (behind >= most || (s.seen >>> behind & 1) == 1) {
                return false;
            }
            s.seen |= 1L << behind;
        } else {
            s.seen = s.newest < 0 || -behind >= Long.SIZE ? 1 : s.seen << -behind | 1;
            s.newest = w.sequence();
            open(s, w);
        }
        s.heardMs = nowMs;
        if (entries + w.codes().length > MOST_ENTRIES) {
            dropped++;
            return false;
        }
        kept.add(new Kept(nowMs, w));
        ended(w, 1);
        asked(nowMs, w);
        return true;
    }

    private void open(Source s, WaitWindow w) {
        if (s.open != null) {
            sum(s.open.ongoingCodes(), s.open.ongoingCounts(), -1);
        }
        s.open = w;
        if (w != null) {
            sum(w.ongoingCodes(), w.ongoingCounts(), 1);
        }
    }

    private void ended(WaitWindow w, int sign) {
        entries += sign * w.codes().length;
        jobsMs += sign * w.lengthMs();
        sum(w.codes(), w.counts(), sign);
    }

    /** Counts who asked how much when, for what is beyond a share. */
    private void asked(long nowMs, WaitWindow w) {
        slotMs = Math.max(1, w.lengthMs());
        int[] of = jobs.computeIfAbsent(nowMs / slotMs, k -> new int[16]);
        for (int i = 0; i < w.codes().length; i++) {
            int t = CellCode.tenant(CellCode.cell(w.codes()[i]));
            if (t >= of.length) {
                of = Arrays.copyOf(of, 2 * t);
                jobs.put(nowMs / slotMs, of);
            }
            of[t] += w.counts()[i];
        }
    }

    private void sum(long[] codes, int[] counts, int sign) {
        for (int i = 0; i < codes.length; i++) {
            long cell = CellCode.cell(codes[i]);
            if (!separatesPlaces) {
                cell = CellCode.cell(CellCode.tenant(cell), CellCode.requestClass(cell), 0, CellCode.band(cell));
            }
            add(cells, cell, codes[i], sign * counts[i]);
            add(strata, stratum(cell), codes[i], sign * counts[i]);
        }
    }

    private static void add(Map<Long, WaitHistogram> all, long key, long code, int count) {
        WaitHistogram s = all.computeIfAbsent(key, k -> new WaitHistogram());
        s.add(CellCode.censored(code), CellCode.bin(code), count);
        if (s.total() == 0) {
            all.remove(key);
        }
    }

    /** A cell's class, place and band, of whichever tenant. */
    static long stratum(long cell) {
        return CellCode.cell(0, CellCode.requestClass(cell), CellCode.place(cell), CellCode.band(cell));
    }

    /** Lets go of what is too old. */
    public void evictExpired(long nowMs) {
        while (!kept.isEmpty() && nowMs - kept.peek().atMs() >= keepMs) {
            WaitWindow w = kept.remove().window();
            ended(w, -1);
        }
        jobs.headMap((nowMs - keepMs) / slotMs, true).clear();
        for (Source s : sources.values()) {
            if (nowMs - s.heardMs >= keepMs) { // its open jobs are of long ago
                open(s, null);
            }
        }
    }

    /** How many processes are in it. */
    public int reportingProcesses(long nowMs) {
        return (int) sources.values().stream()
                .filter(s -> nowMs - s.heardMs < keepMs)
                .count();
    }

    /** How long the view reaches back on the mean of its processes, seconds. */
    double seconds(int processes) {
        return jobsMs / 1000.0 / Math.max(1, processes);
    }

    /** Windows that had no room here. */
    public long dropped() {
        return dropped;
    }

    Map<Long, WaitHistogram> cells() {
        return cells;
    }

    Map<Long, WaitHistogram> strata() {
        return strata;
    }

    /** The tenant's jobs in it that had ended. */
    int jobs(int tenant) {
        return jobs.values().stream()
                .mapToInt(of -> tenant < of.length ? of[tenant] : 0)
                .sum();
    }

    /**
     * The tenant's jobs beyond what is due to it a second, in the stretch up to now in which it asked the
     * most too much. What comes at once within {@code slackMs} is no excess, nor are a few jobs: jobs are
     * seen as they end, and those of a deadline may end together.
     */
    double maxOveruse(int tenant, double due, double slackMs) {
        double most = 0;
        double asked = 0;
        double may = Math.max(3, due * slackMs / 1000);
        for (int[] of : jobs.descendingMap().values()) {
            asked += tenant < of.length ? of[tenant] : 0;
            may += due * slotMs / 1000;
            most = Math.max(most, asked - may);
        }
        return most;
    }

    boolean separatesPlaces() {
        return separatesPlaces;
    }

    /** About how many bytes it holds. */
    public long estimatedBytes() {
        long samples = cells.size() + strata.size();
        return entries * 12L + samples * 200 + sources.size() * 200L;
    }
}
