package maplespread.partition;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * For one attribute and one way of asking: which rules a job passes, as a set of bits, those among them that
 * do not ask this way. Values that differ in nothing have one set between them.
 */
abstract class RuleIndex {
    private final String attribute;
    private final List<List<AttributeMatcher>> asks; // by rule, this way
    private final Map<String, long[]> shared = new HashMap<>();
    private final long[] absent;

    private RuleIndex(String attribute, List<Rule> rules, Class<? extends AttributeMatcher> way) {
        this.attribute = attribute;
        asks = rules.stream()
                .map(r -> r.when().stream()
                        .filter(c -> c.attribute().equals(attribute) && way.isInstance(c.matcher()))
                        .map(Rule.Condition::matcher)
                        .toList())
                .toList();
        absent = bits(a -> false);
    }

    /** Adds an index for each way in which some rule asks for the attribute. */
    static void of(String attribute, List<Rule> rules, List<RuleIndex> to) {
        List<AttributeMatcher> asked = rules.stream()
                .flatMap(r -> r.when().stream())
                .filter(c -> c.attribute().equals(attribute))
                .map(Rule.Condition::matcher)
                .toList();
        if (asked.stream().anyMatch(AttributeMatcher.OneOf.class::isInstance)) {
            to.add(new Exact(attribute, rules, asked));
        }
        if (asked.stream().anyMatch(AttributeMatcher.Prefix.class::isInstance)) {
            to.add(new Prefixes(attribute, rules, asked));
        }
        for (Class<? extends AttributeMatcher> way :
                List.of(AttributeMatcher.Range.class, AttributeMatcher.Share.class)) {
            if (asked.stream().anyMatch(way::isInstance)) {
                to.add(new Spans(attribute, rules, way, asked));
            }
        }
    }

    /** The rules whose asking this way the job passes; not to be changed. */
    final long[] passed(RequestAttributes job) {
        Object value = job.get(attribute);
        return value == null ? absent : at(value);
    }

    abstract long[] at(Object value);

    final long[] bits(Predicate<AttributeMatcher> passes) {
        long[] set = new long[(asks.size() + 63) / 64];
        for (int i = 0; i < asks.size(); i++) {
            boolean all = true;
            for (AttributeMatcher a : asks.get(i)) {
                all &= passes.test(a);
            }
            if (all) {
                set[i / 64] |= 1L << i % 64;
            }
        }
        return shared.computeIfAbsent(Arrays.toString(set), k -> set);
    }

    private static final class Exact extends RuleIndex {
        private final Map<Object, long[]> sets = new HashMap<>();
        private final long[] other;

        Exact(String attribute, List<Rule> rules, List<AttributeMatcher> asked) {
            super(attribute, rules, AttributeMatcher.OneOf.class);
            for (AttributeMatcher a : asked) {
                if (a instanceof AttributeMatcher.OneOf one) {
                    one.values().forEach(v -> sets.computeIfAbsent(v, k -> bits(x -> x.matches(k))));
                }
            }
            other = bits(a -> false);
        }

        @Override
        long[] at(Object value) {
            return sets.getOrDefault(value, other);
        }
    }

    /** Prefixes in order, each with the longest other one that it begins with. */
    private static final class Prefixes extends RuleIndex {
        private final String[] prefixes;
        private final int[] within;
        private final long[][] sets;
        private final long[] none;

        Prefixes(String attribute, List<Rule> rules, List<AttributeMatcher> asked) {
            super(attribute, rules, AttributeMatcher.Prefix.class);
            TreeSet<String> all = new TreeSet<>();
            for (AttributeMatcher a : asked) {
                if (a instanceof AttributeMatcher.Prefix p) {
                    all.add(p.prefix());
                }
            }
            prefixes = all.toArray(String[]::new);
            within = new int[prefixes.length];
            sets = new long[prefixes.length][];
            for (int i = 0; i < prefixes.length; i++) {
                String p = prefixes[i];
                within[i] = i - 1;
                while (within[i] >= 0 && !p.startsWith(prefixes[within[i]])) {
                    within[i] = within[within[i]];
                }
                sets[i] = bits(a -> a.matches(p));
            }
            none = bits(a -> false);
        }

        @Override
        long[] at(Object value) {
            String v = (String) value;
            int i = Arrays.binarySearch(prefixes, v);
            i = i >= 0 ? i : -i - 2; // the last that stands before it
            while (i >= 0 && !v.startsWith(prefixes[i])) {
                i = within[i]; // whatever v begins with, this one does too
            }
            return i < 0 ? none : sets[i];
        }
    }

    /** Parts of the number line: ranges of labels, shares of the unit circle. */
    private static final class Spans extends RuleIndex {
        private final boolean share;
        private final double[] cuts;
        private final long[][] sets; // from each cut on; the first: before all

        Spans(String attribute, List<Rule> rules, Class<? extends AttributeMatcher> way, List<AttributeMatcher> asked) {
            super(attribute, rules, way);
            share = way == AttributeMatcher.Share.class;
            cuts = cuts(asked);
            sets = new long[cuts.length + 1][];
            for (int i = 0; i <= cuts.length; i++) {
                double x = i == 0 ? Double.NEGATIVE_INFINITY : cuts[i - 1];
                sets[i] = bits(a -> share ? ((AttributeMatcher.Share) a).contains(x) : a.matches(x));
            }
        }

        @Override
        long[] at(Object value) {
            int i = Arrays.binarySearch(cuts, share ? AttributeMatcher.Share.unitHash((String) value) : (Double) value);
            return sets[i >= 0 ? i + 1 : -i - 1];
        }
    }

    /** Where ranges or shares begin and end, in order. */
    static double[] cuts(List<AttributeMatcher> asked) {
        TreeSet<Double> all = new TreeSet<>();
        for (AttributeMatcher a : asked) {
            if (a instanceof AttributeMatcher.Range r) {
                all.addAll(List.of(r.from(), r.below()));
            } else if (a instanceof AttributeMatcher.Share s) {
                all.addAll(List.of(s.from(), s.below()));
            }
        }
        return all.stream().mapToDouble(x -> x).toArray();
    }
}
