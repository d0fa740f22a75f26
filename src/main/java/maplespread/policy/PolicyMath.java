package maplespread.policy;

import java.util.SplittableRandom;

/** Small arithmetic that several modules of the policy share. Stateless. */
final class PolicyMath {
    private static final int QUANTILE_COUNT = 256;
    private static final double[] EXPONENTIAL_QUANTILES = new double[QUANTILE_COUNT];

    static {
        for (int i = 0; i < QUANTILE_COUNT; i++) {
            EXPONENTIAL_QUANTILES[i] = -Math.log(1 - (i + 0.5) / QUANTILE_COUNT);
        }
    }

    private PolicyMath() {}

    /**
     * The weight of an observation of this age, from 1 down to 0: close to exp(-age), and cheaper.
     *
     * @param age in time constants, 0 or more
     */
    static double decay(double age) {
        return 1 / (1 + age + age * age / 2);
    }

    /** A draw from the exponential distribution with mean one, from 256 quantiles; takes one number of the source. */
    static double drawExponential(SplittableRandom random) {
        return EXPONENTIAL_QUANTILES[random.nextInt(QUANTILE_COUNT)];
    }

    /** The value within the bounds; NaN becomes {@code low}. */
    static double clamp(double value, double low, double high) {
        return value > low ? Math.min(value, high) : low;
    }
}
