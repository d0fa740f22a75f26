package maplespread.starvation;

import java.util.Arrays;
import java.util.List;

/**
 * Corrects the comparisons of one round for being many. Holm's step-down procedure bounds the chance of even
 * one wrong finding, whatever the comparisons have in common. Where all comparisons spread more than chance
 * would have it, as waits in a queue do, the spread seen is what counts (genomic control: the median comparison
 * is taken for a fair one).
 */
final class MultipleTestCorrection {
    /** Comparisons from which the spread is estimated. */
    private static final int MIN_COMPARISONS_FOR_SPREAD = 30;

    /** Median of the chi-squared distribution with one degree of freedom. */
    private static final double CHI_SQUARED_MEDIAN = 0.4549;

    private MultipleTestCorrection() {}

    /** By which factor the comparisons' squared z-scores are larger than by chance; at least 1. */
    static double varianceInflation(List<TenantComparison> comparisons) {
        if (comparisons.size() < MIN_COMPARISONS_FOR_SPREAD) {
            return 1;
        }
        double[] squares = comparisons.stream()
                .mapToDouble(c -> c.all.zScore() * c.all.zScore())
                .sorted()
                .toArray();
        return Math.max(1, squares[squares.length / 2] / CHI_SQUARED_MEDIAN);
    }

    /** Marks the comparisons that are significant at {@code level}, all of them taken together. */
    static void markSignificant(List<TenantComparison> comparisons, double level, double varianceInflation) {
        comparisons.forEach(c -> c.pValue = c.all.pValue(varianceInflation));
        TenantComparison[] ordered = comparisons.toArray(new TenantComparison[0]);
        Arrays.sort(ordered, (a, b) -> Double.compare(a.pValue, b.pValue));
        for (int i = 0; i < ordered.length && ordered[i].pValue <= level / (ordered.length - i); i++) {
            ordered[i].significant = true;
        }
    }
}
