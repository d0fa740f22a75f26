package maplespread.starvation;

/**
 * What one process saw end in one window, as sparse histograms: {@code codes} ascending, each with its count.
 * {@code run}: grows with each start of the process; {@code number}: of the window within the run. {@code
 * open}: jobs that were in work for longer than a window when this one was closed; they count only until the
 * process's next window. {@code left}: jobs that had no room here, or none on the wire.
 */
public record Window(
        String process,
        long run,
        long number,
        int lengthMs,
        int left,
        long[] codes,
        int[] counts,
        long[] open,
        int[] openCounts) {
    /** How many jobs ended in it, those without room too. */
    public int jobs() {
        int n = left;
        for (int c : counts) {
            n += c;
        }
        return n;
    }
}
