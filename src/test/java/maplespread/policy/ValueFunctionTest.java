package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares the value function with the formulas of the paper. */
class ValueFunctionTest {
    @Test
    void equalsThePapersFormulaAtFullUtilization() {
        // the cost rate at which equations (10) and (11) agree
        double lambda = 1;
        double tau = 2;
        double r = lambda / (2 + lambda * tau);
        for (double u = 0; u <= 6; u += 0.25) {
            double expected = u > tau
                    ? lambda * (1 + lambda * tau) / (2 + lambda * tau) * (u - tau)
                    : lambda * lambda / (4 + 2 * lambda * tau) * (u * u - tau * tau);
            assertEquals(expected, ValueFunction.value(lambda, r, 1, tau, u), 1e-9, "u = " + u);
        }
    }

    @Test
    void isTheHeavyLoadLineWhenOverloaded() {
        double s = 2;
        double tau = 3;
        double lambda = 100;
        for (double u = 0; u < 9; u += 0.5) {
            assertEquals((u - tau) / s, ValueFunction.value(lambda, lambda - 1 / s, s, tau, u), 1e-9);
        }
    }

    @Test
    void isNonDecreasingAndConvexForAnyCostRate() {
        Random random = new Random(5);
        for (int k = 0; k < 2000; k++) {
            double lambda = random.nextDouble() * 3;
            double r = lambda * random.nextDouble();
            double s = 0.1 + random.nextDouble();
            double tau = 0.1 + random.nextDouble() * 3;
            double step = tau / 10;
            double previousSlope = -1e-12;
            for (int i = 0; i < 30; i++) {
                double slope = ValueFunction.value(lambda, r, s, tau, (i + 1) * step)
                        - ValueFunction.value(lambda, r, s, tau, i * step);
                assertTrue(slope >= previousSlope - 1e-9, "slope must not fall");
                previousSlope = slope;
            }
        }
    }
}
