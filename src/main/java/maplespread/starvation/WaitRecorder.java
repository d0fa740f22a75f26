package maplespread.starvation;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * One process's waits, from taken to the last byte sent, by tenant, class, place and band of work, window by
 * window.
 *
 * <p>A job that was refused or failed has not been served by its deadline: it waited at least that long, not
 * the two milliseconds until its refusal, or who is always refused at once would look well. A client that
 * left waited at least until then. A job that is still in work has waited at least so long.
 *
 * <p>Guards against a process that stood still and then takes its own pause for a place that is slow; and
 * against growth: beyond so many cells and open jobs, jobs are counted and no more.
 */
public final class WaitRecorder {
    /** How a job ended. */
    public enum Completion {
        SERVED,
        REJECTED,
        FAILED,
        CLIENT_LEFT
    }

    /** A job that was taken. {@code workMs}: NaN where nobody said. */
    private record Open(int tenant, int cls, int place, double workMs, long takenMs) {}

    /** The job ended where it was to be. */
    public static final int SAME_PLACE = -1;

    private static final int MOST_CELLS = 4096;
    private static final int MOST_OPEN = 8192;
    private static final long STILL = 3; // windows
    private final String process;
    private final long run;
    private final int lengthMs;
    private final double[] deadlinesMs;
    private Map<Long, WaitHistogram> cells = new HashMap<>();
    private final Map<Long, Open> open = new HashMap<>();
    private long number;
    private long closedMs = Long.MIN_VALUE;
    private int left;

    /** {@code deadlinesMs}: by class; {@code lengthMs}: of a window. */
    public WaitRecorder(String process, long run, int lengthMs, double[] deadlinesMs) {
        this.process = process;
        this.run = run;
        this.lengthMs = lengthMs;
        this.deadlinesMs = deadlinesMs.clone();
    }

    /** A job was taken; {@code place}: where it would be, as far as is known. */
    public void requestAccepted(long nowMs, long id, int tenant, int cls, int place, double workMs) {
        if (open.size() < MOST_OPEN
                && tenant < CellCode.MAX_TENANTS
                && cls < CellCode.MAX_CLASSES
                && place < CellCode.MAX_PLACES) {
            open.put(id, new Open(tenant, cls, place, workMs, nowMs));
        }
    }

    /** It ended: its last byte was sent, or nobody waits for it; {@code place}: or WHERE_TAKEN. */
    public void requestCompleted(long nowMs, long id, int place, Completion end) {
        Open job = open.remove(id);
        if (job == null) {
            left++;
            return;
        }
        double waitMs = nowMs - job.takenMs;
        boolean held = end != Completion.SERVED;
        if (end == Completion.REJECTED || end == Completion.FAILED) {
            waitMs = Math.max(waitMs, deadlinesMs[job.cls]);
        }
        long cell = cell(job, place == SAME_PLACE ? job.place : place);
        WaitHistogram s = cells.get(cell);
        if (s == null) {
            if (cells.size() >= MOST_CELLS) {
                left++;
                return;
            }
            s = new WaitHistogram();
            cells.put(cell, s);
        }
        s.add(held, bin(job, waitMs), 1);
    }

    private static long cell(Open job, int place) {
        return CellCode.cell(job.tenant, job.cls, place, CellCode.bandFor(job.workMs));
    }

    private static int bin(Open job, double waitMs) {
        return CellCode.binFor(waitMs - (Double.isNaN(job.workMs) ? 0 : job.workMs));
    }

    /**
     * Ends the window and begins the next one. Where that comes far too late, this process stood still, and
     * its jobs waited for it and for nobody else: what ended, and what is open, counts as left out.
     */
    public WaitWindow closeWindow(long nowMs) {
        if (closedMs != Long.MIN_VALUE && nowMs - closedMs > STILL * lengthMs) {
            cells.values().forEach(s -> left += s.total());
            cells.clear();
            open.clear();
        }
        closedMs = nowMs;
        TreeMap<Long, Integer> ended = new TreeMap<>();
        cells.forEach((cell, s) -> {
            for (int i = 0; i < s.size(); i++) {
                ended.put(CellCode.of(cell, s.held(i), s.bin(i)), s.count(i));
            }
        });
        TreeMap<Long, Integer> waiting = new TreeMap<>();
        for (Open job : open.values()) {
            if (nowMs - job.takenMs > lengthMs) {
                waiting.merge(CellCode.of(cell(job, job.place), true, bin(job, nowMs - job.takenMs)), 1, Integer::sum);
            }
        }
        WaitWindow w = new WaitWindow(
                process, run, number++, lengthMs, left, codes(ended), counts(ended), codes(waiting), counts(waiting));
        cells = new HashMap<>();
        left = 0;
        return w;
    }

    private static long[] codes(TreeMap<Long, Integer> all) {
        return all.keySet().stream().mapToLong(Long::longValue).toArray();
    }

    private static int[] counts(TreeMap<Long, Integer> all) {
        return all.values().stream().mapToInt(Integer::intValue).toArray();
    }
}
