package maplespread.starvation;

import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.Verdict.Statistics;

/**
 * What one round says of a subject. {@code clear}: the kind that meets the full limits, or null; {@code
 * partial}: the kind that meets half of them, by which a verdict that stands is kept.
 */
record Finding(Kind clear, Kind partial, Statistics statistics) {
    /** A finding of the kind that is partial at least. */
    static Finding of(Kind kind, boolean clear, Statistics statistics) {
        return new Finding(clear ? kind : null, kind, statistics);
    }

    boolean isClear() {
        return clear != null;
    }
}
