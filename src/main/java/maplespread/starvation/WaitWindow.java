package maplespread.starvation;

/**
 * What one process saw end in one window, as sparse histograms: {@code codes} ascending, each with its count.
 * {@code run}: grows with each start of the process; {@code number}: of the window within the run. {@code
 * open}: jobs that were in work for longer than a window when this one was closed; they count only until the
 * process's next window. {@code left}: jobs that had no room here, or none on the wire.
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
    /** How many jobs ended in it, those without room too. */
    public int requestCount() {
        int n = omitted;
        for (int c : counts) {
            n += c;
        }
        return n;
    }
}
