package maplespread.policy;

/**
 * The transcendental functions, the same to the last bit on every JVM and kind of machine. {@link Math} leaves the last
 * digit to each JVM, which may use the machine's own instructions; {@link StrictMath} prescribes every bit.
 */
public final class ReproducibleMath {
    private ReproducibleMath() {}

    /** Returns e to the power of {@code exponent}. */
    public static double exp(double exponent) {
        return StrictMath.exp(exponent);
    }

    /** Returns the natural logarithm. */
    public static double log(double value) {
        return StrictMath.log(value);
    }

    /** Returns the logarithm to base ten. */
    public static double log10(double value) {
        return StrictMath.log10(value);
    }

    /** Returns {@code base} to the power of {@code exponent}. */
    public static double pow(double base, double exponent) {
        return StrictMath.pow(base, exponent);
    }

    /** Returns the sine of an angle in radians. */
    public static double sin(double angle) {
        return StrictMath.sin(angle);
    }

    /** Returns the cosine of an angle in radians. */
    public static double cos(double angle) {
        return StrictMath.cos(angle);
    }
}
