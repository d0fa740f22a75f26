package maplespread.starvation;

import java.util.Arrays;
import java.util.stream.LongStream;
import maplespread.policy.ReproducibleMath;
import org.HdrHistogram.IntCountsHistogram;

/**
 * Codes what a count in a window is of as one number: from the highest bits on, tenant, class, place and band of
 * the request's own work, which together are the cell; then whether the wait is censored, and the histogram's
 * bin. Sorted codes lie close to each other, so their differences are short on the wire.
 */
final class CellCode {
    static final int MAX_TENANTS = 1 << 16;
    static final int MAX_CLASSES = 1 << 6;
    static final int MAX_PLACES = 1 << 16;

    private static final int BIN_BITS = 13;
    private static final int BAND_BITS = 4;
    private static final int PLACE_BITS = 16;
    private static final int CLASS_BITS = 6;
    private static final int TENANT_BITS = 16;
    private static final int BANDS = 1 << BAND_BITS;
    private static final int OCTAVES_PER_BAND = 2;
    private static final double BAND_FACTOR = 4;
    private static final double LOWEST_BAND_MIDDLE_MS = 2.0;
    private static final int MAX_WAIT_MS = 3_600_000;

    /** No code is above it. */
    static final long MAX_CODE = (1L << BIN_BITS + 1 + BAND_BITS + PLACE_BITS + CLASS_BITS + TENANT_BITS) - 1;

    /** Where the bins begin, ms; the last one holds all waits above an hour. */
    static final int[] BIN_LOWER_MS = bins();

    private CellCode() {}

    private static int[] bins() {
        IntCountsHistogram shape = new IntCountsHistogram(MAX_WAIT_MS, 1);
        return LongStream.iterate(0, lower -> lower <= MAX_WAIT_MS, shape::nextNonEquivalentValue)
                .mapToInt(lower -> (int) lower)
                .toArray();
    }

    /** The bin that a wait falls into. */
    static int binFor(double waitMs) {
        int highest = BIN_LOWER_MS[BIN_LOWER_MS.length - 1];
        int index = Arrays.binarySearch(BIN_LOWER_MS, (int) Math.min(highest, Math.max(0, waitMs)));
        return index >= 0 ? index : -index - 2;
    }

    /** The cell of a tenant's requests of a class, place and band of work. */
    static long cell(int tenant, int requestClass, int place, int band) {
        long tenantAndClass = (long) tenant << CLASS_BITS | requestClass;
        return (tenantAndClass << PLACE_BITS | place) << BAND_BITS | band;
    }

    /** The code of a cell's waits in a bin. */
    static long of(long cell, boolean censored, int bin) {
        return (cell << 1 | (censored ? 1 : 0)) << BIN_BITS | bin;
    }

    static long cell(long code) {
        return code >>> BIN_BITS + 1;
    }

    /** Whether the waits are only known to be at least so long. */
    static boolean censored(long code) {
        return (code >>> BIN_BITS & 1) == 1;
    }

    static int bin(long code) {
        return (int) (code & (1 << BIN_BITS) - 1);
    }

    static int tenant(long cell) {
        return (int) (cell >>> BAND_BITS + PLACE_BITS + CLASS_BITS);
    }

    static int requestClass(long cell) {
        return (int) (cell >>> BAND_BITS + PLACE_BITS) & MAX_CLASSES - 1;
    }

    static int place(long cell) {
        return (int) (cell >>> BAND_BITS) & MAX_PLACES - 1;
    }

    static int band(long cell) {
        return (int) cell & BANDS - 1;
    }

    /** The band of a request's own work: work within a factor of four; 0 where it is not known (NaN). */
    static int bandFor(double workMs) {
        if (Double.isNaN(workMs)) {
            return 0;
        }
        int octave = Integer.SIZE - 1 - Integer.numberOfLeadingZeros((int) Math.max(1, workMs));
        return 1 + Math.min(BANDS - 2, octave / OCTAVES_PER_BAND);
    }

    /** The middle of a band, ms; 0 where the work is not known. */
    static double bandMiddleMs(int band) {
        return band == 0 ? 0 : LOWEST_BAND_MIDDLE_MS * ReproducibleMath.pow(BAND_FACTOR, band - 1);
    }
}
