package maplespread.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import maplespread.lab.scale.Slope.Form;
import maplespread.lab.scale.Slope.Point;
import maplespread.policy.ReproducibleMath;
import org.junit.jupiter.api.Test;

class SlopeTest {
    private static final double[] SIZES = {6, 25, 50, 100, 100, 100};

    private static List<Point> points(DoubleUnaryOperator figure, double noise, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Point> all = new ArrayList<>();
        for (double size : SIZES) {
            double factor = 1 + noise * (2 * random.nextDouble() - 1);
            all.add(new Point(size, figure.applyAsDouble(size) * factor));
        }
        return all;
    }

    @Test
    void eachFormIsToldByItsResidualsAndPredictsTheSizeHeldOut() {
        DoubleUnaryOperator linear = n -> 40 + 7 * n;
        DoubleUnaryOperator curved = n -> 40 + 3 * n * ReproducibleMath.log(n);
        DoubleUnaryOperator quadratic = n -> 40 + 2 * n * n;
        List<DoubleUnaryOperator> figures = List.of(linear, curved, quadratic);
        List<Form> forms = List.of(Form.LINEAR, Form.N_LOG_N, Form.QUADRATIC);
        for (int i = 0; i < figures.size(); i++) {
            for (int seed = 0; seed < 50; seed++) {
                Slope slope = Slope.of(points(figures.get(i), 0.01, seed));
                assertEquals(forms.get(i), slope.form(), "seed " + seed);
                double true200 = figures.get(i).applyAsDouble(200);
                assertEquals(true200, slope.at(200), 0.1 * true200, "seed " + seed);
            }
        }
    }

    /** What only the machine's noise moves is no growth; the interval holds the true slope. */
    @Test
    void noiseIsNoGrowthAndTheIntervalHoldsTheSlope() {
        int constants = 0;
        int held = 0;
        for (int seed = 0; seed < 400; seed++) {
            constants += Slope.of(points(n -> 300, 0.1, seed)).form() == Form.CONSTANT ? 1 : 0;
            Slope slope = Slope.of(points(n -> 100 + 50 * n, 0.02, seed));
            held += slope.form() == Form.LINEAR && Math.abs(slope.slope() - 50) <= slope.interval() ? 1 : 0;
        }
        assertTrue(constants > 340, constants + " of 400 constants");
        assertTrue(held > 300, held + " of 400 intervals");
    }

    @Test
    void twoPointsAreNoSlope() {
        List<Point> two = List.of(new Point(1, 1), new Point(2, 2));
        assertThrows(IllegalArgumentException.class, () -> Slope.of(two));
    }
}
