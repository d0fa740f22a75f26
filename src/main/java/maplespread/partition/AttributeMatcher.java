package maplespread.partition;

import java.util.Set;
import maplespread.policy.StableHash;

/** What a rule asks of one attribute's value. */
sealed interface AttributeMatcher {
    /** {@code value}: a string, a Double for a label, or null, which nothing matches. */
    boolean matches(Object value);

    /** Equal to one of these: strings, or Doubles for a label. */
    record OneOf(Set<Object> values) implements AttributeMatcher {
        @Override
        public boolean matches(Object value) {
            return value != null && values.contains(value);
        }
    }

    /** A string that begins so. */
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

    /** A part of all strings, by their hash in 0..1; {@code from} included, {@code below} not. */
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
         * A string's hash in 0..1. The factor makes it independent of the places of slots and workers, which come
         * from the same hash.
         */
        static double unitHash(String text) {
            return ((StableHash.hash(text) * HASH_FACTOR) >>> 11) / (double) (1L << 53);
        }
    }
}
