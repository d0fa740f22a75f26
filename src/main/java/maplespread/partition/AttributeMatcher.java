package maplespread.partition;

import java.util.Set;
import maplespread.policy.StableHash;

/** What a rule asks of one attribute; an attribute that a job does not have passes none. */
sealed interface AttributeMatcher {
    boolean matches(Object value);

    /** Equal to one of these: strings, or Doubles for a label. */
    record OneOf(Set<Object> values) implements AttributeMatcher {
        @Override
        public boolean matches(Object value) {
            return value != null && values.contains(value);
        }
    }

    record Prefix(String prefix) implements AttributeMatcher {
        @Override
        public boolean matches(Object value) {
            return value != null && ((String) value).startsWith(prefix);
        }
    }

    /** A label's number, {@code from} included, {@code below} not. */
    record Range(double from, double below) implements AttributeMatcher {
        @Override
        public boolean matches(Object value) {
            return value != null && from <= (Double) value && (Double) value < below;
        }
    }

    /** A part of all values, by their hash on the unit circle. */
    record Share(double from, double below) implements AttributeMatcher {
        @Override
        public boolean matches(Object value) {
            return value != null && contains(unitHash((String) value));
        }

        boolean contains(double unit) {
            return from <= unit && unit < below;
        }

        /** Where a text stands in 0..1; drawn apart from where slots and workers stand by the same hash. */
        static double unitHash(String text) {
            return (StableHash.hash(text) * 0x9E3779B97F4A7C15L >>> 11) / (double) (1L << 53);
        }
    }
}
