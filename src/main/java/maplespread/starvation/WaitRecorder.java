package maplespread.starvation;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Records one process's waits, from accepted to the last byte sent, by tenant, class, place and band of work,
 * window by window. Not thread-safe.
 *
 * <p>A request that was rejected or failed was not served by its deadline, so its wait counts as that long at
 * least: counted until its rejection, a tenant that is always rejected at once would look well served. A client
 * that left, and a request that is still ongoing, waited at least until then.
 *
 * <p>A window that is closed far too late means that this process was paused; its requests are left out, since
 * they waited for it and not for a place. Beyond a number of cells and ongoing requests, requests are counted
 * as omitted and no more.
 */
public final class WaitRecorder {
    /** How a request was completed. */
    public enum Completion {
        SERVED,
        REJECTED,
        FAILED,
        CLIENT_LEFT
    }

    /** A request that was accepted and is not complete. {@code workMs}: NaN where it is not known. */
    private record OngoingRequest(int tenant, int requestClass, int place, double workMs, long acceptedAtMs) {
        long cell(int endedPlace) {
            return CellCode.cell(tenant, requestClass, endedPlace, CellCode.bandFor(workMs));
        }

        /** The bin of the wait less the request's own work. */
        int bin(double waitMs) {
            return CellCode.binFor(waitMs - (Double.isNaN(workMs) ? 0 : workMs));
        }
    }

    /** Where a request ended: in the place that was named when it was accepted. */
    public static final int SAME_PLACE = -1;

    private static final int MAX_CELLS = 4096;
    private static final int MAX_ONGOING = 8192;

    /** Windows after which one that is not closed shows that this process was paused. */
    private static final long PAUSE_WINDOWS = 3;

    private static final long NEVER = Long.MIN_VALUE;

    private final String process;
    private final long incarnation;
    private final int lengthMs;
    private final double[] deadlinesMs;
    private final Map<Long, OngoingRequest> ongoing = new HashMap<>();
    private Map<Long, WaitHistogram> cells = new HashMap<>();
    private long sequence;
    private long closedAtMs = NEVER;
    private int omitted;

    /** {@code lengthMs}: of a window; {@code deadlinesMs}: by class. */
    public WaitRecorder(String process, long incarnation, int lengthMs, double[] deadlinesMs) {
        this.process = process;
        this.incarnation = incarnation;
        this.lengthMs = lengthMs;
        this.deadlinesMs = deadlinesMs.clone();
    }

    /** A request was accepted; {@code place}: where it would go, as far as is known. */
    public void requestAccepted(long nowMs, long id, int tenant, int requestClass, int place, double workMs) {
        if (ongoing.size() < MAX_ONGOING
                && tenant < CellCode.MAX_TENANTS
                && requestClass < CellCode.MAX_CLASSES
                && place < CellCode.MAX_PLACES) {
            ongoing.put(id, new OngoingRequest(tenant, requestClass, place, workMs, nowMs));
        }
    }

    /** It is complete: its last byte was sent, or nobody waits for it; {@code place}: or SAME_PLACE. */
    public void requestCompleted(long nowMs, long id, int place, Completion completion) {
        OngoingRequest request = ongoing.remove(id);
        if (request == null) {
            omitted++;
            return;
        }
        double waitMs = nowMs - request.acceptedAtMs;
        if (completion == Completion.REJECTED || completion == Completion.FAILED) {
            waitMs = Math.max(waitMs, deadlinesMs[request.requestClass]);
        }
        long cell = request.cell(place == SAME_PLACE ? request.place : place);
        WaitHistogram histogram = cells.get(cell);
        if (histogram == null) {
            if (cells.size() >= MAX_CELLS) {
                omitted++;
                return;
            }
            histogram = new WaitHistogram();
            cells.put(cell, histogram);
        }
        histogram.add(completion != Completion.SERVED, request.bin(waitMs), 1);
    }

    /** Ends the window and begins the next one. */
    public WaitWindow closeWindow(long nowMs) {
        if (closedAtMs != NEVER && nowMs - closedAtMs > PAUSE_WINDOWS * lengthMs) {
            cells.values().forEach(histogram -> omitted += histogram.total());
            cells.clear();
            ongoing.clear();
        }
        closedAtMs = nowMs;
        TreeMap<Long, Integer> ended = endedCounts();
        TreeMap<Long, Integer> ongoingCodeCounts = ongoingCounts(nowMs);
        WaitWindow window = new WaitWindow(
                process,
                incarnation,
                sequence++,
                lengthMs,
                omitted,
                codes(ended),
                counts(ended),
                codes(ongoingCodeCounts),
                counts(ongoingCodeCounts));
        cells = new HashMap<>();
        omitted = 0;
        return window;
    }

    private TreeMap<Long, Integer> endedCounts() {
        TreeMap<Long, Integer> ended = new TreeMap<>();
        cells.forEach((cell, histogram) -> {
            for (int i = 0; i < histogram.size(); i++) {
                ended.put(CellCode.of(cell, histogram.censored(i), histogram.bin(i)), histogram.count(i));
            }
        });
        return ended;
    }

    /** Of the requests that are ongoing for longer than a window. */
    private TreeMap<Long, Integer> ongoingCounts(long nowMs) {
        TreeMap<Long, Integer> counts = new TreeMap<>();
        for (OngoingRequest request : ongoing.values()) {
            long waitMs = nowMs - request.acceptedAtMs;
            if (waitMs > lengthMs) {
                long code = CellCode.of(request.cell(request.place), true, request.bin(waitMs));
                counts.merge(code, 1, Integer::sum);
            }
        }
        return counts;
    }

    private static long[] codes(TreeMap<Long, Integer> all) {
        return all.keySet().stream().mapToLong(Long::longValue).toArray();
    }

    private static int[] counts(TreeMap<Long, Integer> all) {
        return all.values().stream().mapToInt(Integer::intValue).toArray();
    }
}
