package maplespread.partition;

import java.util.Set;
import maplespread.policy.StableHash;

/** A condition on the value of one attribute. */
sealed interface AttributeMatcher {
    /**
     * Whether the value matches.
     *
     * @param value a string, a Double for a label, or null, which never matches
     */
    boolean matches(Object value);

    /** Matches values that are equal to one of these: strings, or Doubles for a label. */
    record OneOf(Set<Object> values) implements AttributeMatcher {
        @Override
        public boolean matches(Object value) {
            return value != null && values.contains(value);
        }
    }

    /** Matches strings that start with the prefix. */
    record Prefix(String prefix) implements AttributeMatcher {
        @Override
        public boolean matches(Object value) {
            return value != null && ((String) value).startsWith(prefix);
        }
    }

    /** Matches numbers of a label, from {@code from} inclusive to {@code below} exclusive. */
    record Range(double from, double below) implements AttributeMatcher {
        @Override
        public boolean matches(Object value) {
            return value != null && from <= (Double) value && (Double) value < below;
        }
    }

    /** Matches strings whose hash in 0..1 lies from {@code from} inclusive to {@code below} exclusive. */
    record Share(double from, double below) implements AttributeMatcher {
        private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

        @Override
        public boolean matches(Object value) {
            return value != null && contains(unitHash((String) value));
        }

        boolean contains(double point) {
            return from <= point && point < below;
        }

        /**
         * A string's hash in 0..1. The factor makes it independent of the positions of slots and workers, which are
         * computed from the same hash.
         */
        static double unitHash(String text) {
            return ((StableHash.hash(text) * HASH_FACTOR) >>> 11) / (double) (1L << 53);
        }
    }
}
