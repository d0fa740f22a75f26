package maplespread.starvation;

/**
 * The waits that one process saw end in one window, as sparse histograms. {@code incarnation}: grows with each
 * start of the process; {@code sequence}: of the window within it; {@code omitted}: requests that had no room
 * here, or none on the wire; {@code codes}: see {@link CellCode}, ascending, each with its count; {@code
 * ongoingCodes}: of requests that were ongoing for longer than a window when this one was closed; they count only
 * until the process's next window. The arrays are not copied and must not be changed.
 */
public record WaitWindow(
        String process,
        long incarnation,
        long sequence,
        int lengthMs,
        int omitted,
        long[] codes,
        int[] counts,
        long[] ongoingCodes,
        int[] ongoingCounts) {
    /** How many requests ended in it, the omitted ones too. */
    public int requestCount() {
        int total = omitted;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
