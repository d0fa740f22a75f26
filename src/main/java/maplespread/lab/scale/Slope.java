package maplespread.lab.scale;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import maplespread.policy.ReproducibleMath;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A figure as a function of a size: intercept and slope by least squares, of the form whose residuals are the
 * smallest.
 *
 * @param interval half of the slope's 95% confidence interval
 * @param residual root of the mean squared residual
 */
public record Slope(Form form, double intercept, double slope, double interval, double residual) {
    /** How a figure may grow with a size. */
    public enum Form {
        CONSTANT(n -> 0),
        LINEAR(n -> n),
        N_LOG_N(n -> n * ReproducibleMath.log(n)),
        QUADRATIC(n -> n * n);

        private final DoubleUnaryOperator of;

        Form(DoubleUnaryOperator of) {
            this.of = of;
        }
    }

    /** A curved form has to fit so much better than a straight one to be taken. */
    private static final double CLEARLY = 0.7;

    private static final int LEAST_POINTS = 3;

    /** One measured figure at one size. */
    public record Point(double size, double figure) {}

    /** Of these points; a growth that its own interval does not set apart from none is a constant. */
    public static Slope of(List<Point> points) {
        if (points.size() < LEAST_POINTS) {
            throw new IllegalArgumentException("a slope needs " + LEAST_POINTS + " points, not " + points.size());
        }
        Slope best = fitted(Form.LINEAR, points);
        for (Form curved : List.of(Form.N_LOG_N, Form.QUADRATIC)) {
            Slope other = fitted(curved, points);
            best = other.residual < CLEARLY * best.residual ? other : best;
        }
        return Math.abs(best.slope) <= best.interval ? constant(points) : best;
    }

    private static Slope fitted(Form form, List<Point> points) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(p -> regression.addData(form.of.applyAsDouble(p.size), p.figure));
        return new Slope(
                form,
                regression.getIntercept(),
                regression.getSlope(),
                regression.getSlopeConfidenceInterval(),
                Math.sqrt(regression.getSumSquaredErrors() / points.size()));
    }

    private static Slope constant(List<Point> points) {
        double mean = points.stream().mapToDouble(Point::figure).average().orElseThrow();
        double squares = points.stream()
                .mapToDouble(p -> (p.figure - mean) * (p.figure - mean))
                .average()
                .orElseThrow();
        return new Slope(Form.CONSTANT, mean, 0, 0, Math.sqrt(squares));
    }

    /** The figure at another size. */
    public double at(double size) {
        return intercept + slope * form.of.applyAsDouble(size);
    }
}
