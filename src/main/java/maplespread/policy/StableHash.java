package maplespread.policy;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Small arithmetic for {@link DispatchPolicy}. */
public final class StableHash {
    private static final double[] QUANTILES = new double[256];

    static {
        for (int i = 0; i < QUANTILES.length; i++) {
            QUANTILES[i] = -Math.log(1 - (i + 0.5) / QUANTILES.length);
        }
    }

    private StableHash() {}

    /** What news of that age, in time constants, still tells: near exp(-age), and cheap. */
    static double fade(double age) {
        return 1 / (1 + age + age * age / 2);
    }

    /** A draw from the exponential distribution with mean one. */
    static double draw(SplittableRandom random) {
        return QUANTILES[random.nextInt(QUANTILES.length)];
    }

    /** Within the bounds; NaN becomes {@code low}. */
    static double clamp(double x, double low, double high) {
        return x > low ? Math.min(x, high) : low;
    }

    /** A text's hash, the same at all nodes; subsets order workers by it too. */
    public static long hash(String text) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(h);
    }

    /** Spreads the bits. */
    static long mix(long h) {
        h = (h ^ h >>> 32) * 0xd6e8feb86659fd93L;
        h = (h ^ h >>> 32) * 0xd6e8feb86659fd93L;
        return h ^ h >>> 32;
    }

    /** Figures by number, 0 where none was put; as many as are needed. */
    static final class GrowingArray {
        private double[] all = {};

        double at(int i) {
            return i < all.length ? all[i] : 0;
        }

        void put(int i, double x) {
            if (i >= all.length) {
                all = Arrays.copyOf(all, i + 1);
            }
            all[i] = x;
        }
    }
}
