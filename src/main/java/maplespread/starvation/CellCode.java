package maplespread.starvation;

import org.HdrHistogram.IntCountsHistogram;

/**
 * What a count in a window is of, in one number: tenant, class, place, band of the job's own work, whether
 * the wait was seen to its end, and the histogram's bin. Sorted numbers lie close to each other, so their
 * differences are short on the wire.
 */
final class CellCode {
    static final int MAX_TENANTS = 1 << 16, MAX_CLASSES = 1 << 6, MAX_PLACES = 1 << 16;
    private static final int BIN_BITS = 13, BAND_BITS = 4, PLACE_BITS = 16, CLASS_BITS = 6;
    private static final int BANDS = 1 << BAND_BITS;
    /** No code is above it. */
    static final long MAX_CODE = (1L << BIN_BITS + 1 + BAND_BITS + PLACE_BITS + CLASS_BITS + 16) - 1;
    /** Where the bins begin, ms; the last one holds all above an hour. */
    static final int[] BIN_LOWER_MS = bins();

    private CellCode() {}

    private static int[] bins() {
        IntCountsHistogram shape = new IntCountsHistogram(3_600_000, 1);
        return java.util.stream.LongStream.iterate(0, v -> v <= 3_600_000, shape::nextNonEquivalentValue)
                .mapToInt(v -> (int) v)
                .toArray();
    }

    static int binFor(double ms) {
        int at = java.util.Arrays.binarySearch(
                BIN_LOWER_MS, (int) Math.min(BIN_LOWER_MS[BIN_LOWER_MS.length - 1], Math.max(0, ms)));
        return at >= 0 ? at : -at - 2;
    }

    /** The cell: all but the bin, and whether it was held. */
    static long cell(int tenant, int cls, int place, int band) {
        long who = (long) tenant << CLASS_BITS | cls;
        return (who << PLACE_BITS | place) << BAND_BITS | band;
    }

    static long of(long cell, boolean held, int bin) {
        return (cell << 1 | (held ? 1 : 0)) << BIN_BITS | bin;
    }

    static long cell(long code) {
        return code >>> BIN_BITS + 1;
    }

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

    /** Jobs of a band have work within a factor of four; 0: nobody said how much. */
    static int bandFor(double workMs) {
        int octave = 31 - Integer.numberOfLeadingZeros((int) Math.max(1, workMs));
        return Double.isNaN(workMs) ? 0 : 1 + Math.min(BANDS - 2, octave / 2);
    }

    /** The middle of a band, ms. */
    static double bandMiddleMs(int band) {
        return band == 0 ? 0 : 2.0 * Math.pow(4, band - 1);
    }
}
