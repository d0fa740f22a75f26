package maplespread.policy;

import java.util.SplittableRandom;

/** Arithmetic shared by several modules of the policy. Stateless. */
final class PolicyMath {
    private static final int QUANTILE_COUNT = 256;
    private static final double[] EXPONENTIAL_QUANTILES = new double[QUANTILE_COUNT];

    static {
        for (int i = 0; i < QUANTILE_COUNT; i++) {
            EXPONENTIAL_QUANTILES[i] = -ReproducibleMath.log(1 - (i + 0.5) / QUANTILE_COUNT);
        }
    }

    private PolicyMath() {}

    /**
     * Returns the weight of an observation of this age, from 1 down to 0: close to exp(-age), but cheaper to compute.
     *
     * @param age in time constants, 0 or more
     */
    static double decay(double age) {
        return 1 / (1 + age + age * age / 2);
    }

    /** Draws from the exponential distribution with mean one, by 256 quantiles; takes one number from the source. */
    static double drawExponential(SplittableRandom random) {
        return EXPONENTIAL_QUANTILES[random.nextInt(QUANTILE_COUNT)];
    }

    /** Limits the value to the bounds; NaN becomes {@code low}. */
    static double clamp(double value, double low, double high) {
        return value > low ? Math.min(value, high) : low;
    }
}
