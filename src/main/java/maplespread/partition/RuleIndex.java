package maplespread.partition;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Finds, for one attribute and one kind of matcher, the rules that accept a request's value, as a bit set. A rule
 * without such a matcher accepts every value. Equal sets are stored once. Immutable.
 */
abstract class RuleIndex {
    private final String attribute;
    /** By rule: its matchers of this kind. */
    private final List<List<AttributeMatcher>> matchers;
    /** Each distinct set of rules, by its text. */
    private final Map<String, long[]> sharedSets = new HashMap<>();

    /** The rules without a matcher of this kind. */
    private final long[] rulesWithoutMatcher;

    private RuleIndex(String attribute, List<Rule> rules, Class<? extends AttributeMatcher> kind) {
        this.attribute = attribute;
        matchers = rules.stream()
                .map(rule -> rule.when().stream()
                        .filter(condition -> condition.attribute().equals(attribute))
                        .map(Rule.Condition::matcher)
                        .filter(kind::isInstance)
                        .toList())
                .toList();
        rulesWithoutMatcher = passed(matcher -> false);
    }

    /** Creates an index for each kind of matcher that some rule has for the attribute. */
    static List<RuleIndex> of(String attribute, List<Rule> rules) {
        List<AttributeMatcher> used = rules.stream()
                .flatMap(rule -> rule.when().stream())
                .filter(condition -> condition.attribute().equals(attribute))
                .map(Rule.Condition::matcher)
                .toList();
        List<RuleIndex> indexes = new ArrayList<>();
        if (used.stream().anyMatch(AttributeMatcher.OneOf.class::isInstance)) {
            indexes.add(new ValueIndex(attribute, rules, used));
        }
        if (used.stream().anyMatch(AttributeMatcher.Prefix.class::isInstance)) {
            indexes.add(new PrefixIndex(attribute, rules, used));
        }
        for (Class<? extends AttributeMatcher> kind :
                List.of(AttributeMatcher.Range.class, AttributeMatcher.Share.class)) {
            if (used.stream().anyMatch(kind::isInstance)) {
                indexes.add(new IntervalIndex(attribute, rules, kind, used));
            }
        }
        return indexes;
    }

    /** The rules whose matchers of this kind accept the request. The caller must not change the array. */
    final long[] matching(RequestAttributes request) {
        Object value = request.get(attribute);
        return value == null ? rulesWithoutMatcher : matching(value);
    }

    abstract long[] matching(Object value);

    /** The rules all of whose matchers pass, one bit each. */
    final long[] passed(Predicate<AttributeMatcher> passes) {
        long[] set = new long[(matchers.size() + Long.SIZE - 1) / Long.SIZE];
        for (int rule = 0; rule < matchers.size(); rule++) {
            boolean all = true;
            for (AttributeMatcher matcher : matchers.get(rule)) {
                all &= passes.test(matcher);
            }
            if (all) {
                set[rule / Long.SIZE] |= 1L << (rule % Long.SIZE);
            }
        }
        return sharedSets.computeIfAbsent(Arrays.toString(set), text -> set);
    }

    private static final class ValueIndex extends RuleIndex {
        private final Map<Object, long[]> sets = new HashMap<>();
        private final long[] unlisted;

        ValueIndex(String attribute, List<Rule> rules, List<AttributeMatcher> used) {
            super(attribute, rules, AttributeMatcher.OneOf.class);
            for (AttributeMatcher matcher : used) {
                if (matcher instanceof AttributeMatcher.OneOf oneOf) {
                    oneOf.values()
                            .forEach(value -> sets.computeIfAbsent(
                                    value, listed -> passed(candidate -> candidate.matches(listed))));
                }
            }
            unlisted = passed(matcher -> false);
        }

        @Override
        long[] matching(Object value) {
            return sets.getOrDefault(value, unlisted);
        }
    }

    /** Prefixes in sorted order, each with the longest other prefix that it starts with. */
    private static final class PrefixIndex extends RuleIndex {
        private final String[] prefixes;
        /** By prefix: the index of the longest other prefix that it starts with; negative: none. */
        private final int[] enclosing;

        private final long[][] sets;
        private final long[] unlisted;

        PrefixIndex(String attribute, List<Rule> rules, List<AttributeMatcher> used) {
            super(attribute, rules, AttributeMatcher.Prefix.class);
            TreeSet<String> sorted = new TreeSet<>();
            for (AttributeMatcher matcher : used) {
                if (matcher instanceof AttributeMatcher.Prefix prefix) {
                    sorted.add(prefix.prefix());
                }
            }
            prefixes = sorted.toArray(String[]::new);
            enclosing = new int[prefixes.length];
            sets = new long[prefixes.length][];
            for (int i = 0; i < prefixes.length; i++) {
                String prefix = prefixes[i];
                enclosing[i] = longestPrefixOf(prefix, i - 1);
                sets[i] = passed(matcher -> matcher.matches(prefix));
            }
            unlisted = passed(matcher -> false);
        }

        /**
         * The index of the longest prefix that the value starts with; negative: none.
         *
         * @param start the index of the last prefix that does not sort after the value: every indexed prefix of the
         *     value is that one or encloses it, so the search follows the enclosing prefixes from there
         */
        private int longestPrefixOf(String value, int start) {
            int candidate = start;
            while (candidate >= 0 && !value.startsWith(prefixes[candidate])) {
                candidate = enclosing[candidate];
            }
            return candidate;
        }

        @Override
        long[] matching(Object value) {
            String text = (String) value;
            int found = Arrays.binarySearch(prefixes, text);
            int lastNotAfter = found >= 0 ? found : -found - 2;
            int longest = longestPrefixOf(text, lastNotAfter);
            return longest < 0 ? unlisted : sets[longest];
        }
    }

    /** Intervals of numbers: ranges of a label, or shares of the hashes in 0..1. */
    private static final class IntervalIndex extends RuleIndex {
        private final boolean share;
        private final double[] bounds;
        /** The rules for each interval: the first lies below all bounds, and each other one starts at a bound. */
        private final long[][] sets;

        IntervalIndex(
                String attribute,
                List<Rule> rules,
                Class<? extends AttributeMatcher> kind,
                List<AttributeMatcher> used) {
            super(attribute, rules, kind);
            share = kind == AttributeMatcher.Share.class;
            bounds = bounds(used);
            sets = new long[bounds.length + 1][];
            for (int i = 0; i <= bounds.length; i++) {
                double point = i == 0 ? Double.NEGATIVE_INFINITY : bounds[i - 1];
                sets[i] = passed(matcher ->
                        matcher instanceof AttributeMatcher.Share part ? part.contains(point) : matcher.matches(point));
            }
        }

        @Override
        long[] matching(Object value) {
            double point = share ? AttributeMatcher.Share.unitHash((String) value) : (Double) value;
            int found = Arrays.binarySearch(bounds, point);
            return sets[found >= 0 ? found + 1 : -found - 1];
        }
    }

    /** The starts and ends of all ranges and shares, sorted. */
    static double[] bounds(List<AttributeMatcher> matchers) {
        TreeSet<Double> bounds = new TreeSet<>();
        for (AttributeMatcher matcher : matchers) {
            if (matcher instanceof AttributeMatcher.Range range) {
                bounds.addAll(List.of(range.from(), range.below()));
            } else if (matcher instanceof AttributeMatcher.Share part) {
                bounds.addAll(List.of(part.from(), part.below()));
            }
        }
        return bounds.stream().mapToDouble(bound -> bound).toArray();
    }
}
