package maplespread.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds rules that can never match, either by themselves or because earlier rules, alone or several of them together,
 * match everything that they could match. The values of each attribute fall into finitely many classes that no rule of
 * the table distinguishes, and a rule is a box of such classes. The boxes of the earlier rules are subtracted from the
 * rule's box until a piece is left that none of them covers.
 *
 * <p>Errs on the side of reachable: the share that a value falls into counts as independent of the value, and after
 * {@link #MAX_SUBTRACTIONS} subtractions the rule counts as reachable.
 */
final class UnreachableRuleFinder {
    private static final int MAX_SUBTRACTIONS = 50_000;

    /**
     * Values that no rule distinguishes: one value; or, if {@code value} is null, all other strings whose longest known
     * prefix is {@code prefix}; or, if both are null, the absence of a value.
     */
    private record ValueClass(Object value, String prefix) {
        boolean passes(AttributeMatcher matcher) {
            if (matcher instanceof AttributeMatcher.Share) {
                return value != null || prefix != null; // which share a value is in is a dimension of its own
            }
            if (prefix == null) {
                return matcher.matches(value);
            }
            return matcher instanceof AttributeMatcher.Prefix known && prefix.startsWith(known.prefix());
        }
    }

    /** Part of a rule's box, and the first of the earlier rules that has not been subtracted from it. */
    private record Piece(BitSet[] box, int nextRule) {}

    private final List<Rule> rules;
    /**
     * By rule: for each attribute the classes of values that it accepts, each followed by the shares that it accepts.
     */
    private final List<BitSet[]> boxes = new ArrayList<>();

    /**
     * Computes the boxes of all rules.
     *
     * @param classes all request classes
     * @param tenants all tenants; empty: requests have none
     */
    UnreachableRuleFinder(List<Rule> rules, Collection<String> classes, Collection<String> tenants) {
        this.rules = rules;
        List<String> attributes = rules.stream()
                .flatMap(rule -> rule.when().stream())
                .map(Rule.Condition::attribute)
                .distinct()
                .toList();
        rules.forEach(rule -> boxes.add(new BitSet[2 * attributes.size()]));
        for (int i = 0; i < attributes.size(); i++) {
            String attribute = attributes.get(i);
            List<AttributeMatcher> used = rules.stream()
                    .flatMap(rule -> matchers(rule, attribute).stream())
                    .toList();
            List<ValueClass> valueClasses = valueClasses(attribute, used, classes, tenants);
            double[] shareBounds = RuleIndex.bounds(used.stream()
                    .filter(AttributeMatcher.Share.class::isInstance)
                    .toList());
            for (int rule = 0; rule < rules.size(); rule++) {
                List<AttributeMatcher> matchers = matchers(rules.get(rule), attribute);
                boxes.get(rule)[2 * i] = passedClasses(valueClasses, matchers);
                boxes.get(rule)[2 * i + 1] = passedShares(shareBounds, matchers);
            }
        }
    }

    private static List<AttributeMatcher> matchers(Rule rule, String attribute) {
        return rule.when().stream()
                .filter(condition -> condition.attribute().equals(attribute))
                .map(Rule.Condition::matcher)
                .toList();
    }

    // ------------------------------------------------------------ classes of values

    private static List<ValueClass> valueClasses(
            String attribute, List<AttributeMatcher> used, Collection<String> classes, Collection<String> tenants) {
        if (attribute.equals("class")) {
            return listed(classes);
        }
        if (attribute.equals("tenant") && !tenants.isEmpty()) {
            return listed(tenants);
        }
        return openClasses(attribute, used);
    }

    private static List<ValueClass> listed(Collection<?> values) {
        return new ArrayList<>(
                values.stream().map(value -> new ValueClass(value, null)).toList());
    }

    /** The classes of an attribute whose values are not known in advance. */
    private static List<ValueClass> openClasses(String attribute, List<AttributeMatcher> used) {
        Set<Object> values = new TreeSet<>();
        Set<String> prefixes = new TreeSet<>(Set.of(""));
        for (AttributeMatcher matcher : used) {
            if (matcher instanceof AttributeMatcher.OneOf oneOf) {
                values.addAll(oneOf.values());
            } else if (matcher instanceof AttributeMatcher.Prefix prefix) {
                prefixes.add(prefix.prefix());
            }
        }
        boolean label = attribute.startsWith(RequestAttributes.LABEL_PREFIX);
        if (label) {
            addNumberOfEachInterval(RuleIndex.bounds(used), values);
        }
        List<ValueClass> all = listed(values);
        if (!attribute.equals("path")) {
            all.add(new ValueClass(null, null)); // a request without the attribute
        }
        if (!label) {
            prefixes.forEach(prefix -> all.add(new ValueClass(null, prefix)));
        }
        return all;
    }

    /** Adds one unlisted number of each interval, which represents all other numbers of the interval. */
    private static void addNumberOfEachInterval(double[] bounds, Set<Object> values) {
        for (int i = 0; i <= bounds.length; i++) {
            double number = i == 0 ? -Double.MAX_VALUE : bounds[i - 1];
            while (!values.add(number)) {
                number = Math.nextUp(number);
            }
        }
    }

    private static BitSet passedClasses(List<ValueClass> valueClasses, List<AttributeMatcher> matchers) {
        BitSet passed = new BitSet();
        passed.set(0, valueClasses.size());
        for (AttributeMatcher matcher : matchers) {
            for (int i = 0; i < valueClasses.size(); i++) {
                if (!valueClasses.get(i).passes(matcher)) {
                    passed.clear(i);
                }
            }
        }
        return passed;
    }

    private static BitSet passedShares(double[] bounds, List<AttributeMatcher> matchers) {
        BitSet passed = new BitSet();
        passed.set(0, bounds.length + 1);
        for (AttributeMatcher matcher : matchers) {
            if (matcher instanceof AttributeMatcher.Share share) {
                for (int i = 0; i <= bounds.length; i++) {
                    if (!share.contains(i == 0 ? -1 : bounds[i - 1])) {
                        passed.clear(i);
                    }
                }
            }
        }
        return passed;
    }

    // ------------------------------------------------------------ boxes

    /**
     * The earlier rules that together match everything that this rule could match.
     *
     * @return empty: requests can reach this rule; an empty list: the rule's own conditions exclude one another
     */
    Optional<List<Rule>> shadowingRules(int rule) {
        for (BitSet dimension : boxes.get(rule)) {
            if (dimension.isEmpty()) {
                return Optional.of(List.of());
            }
        }
        Set<Integer> covering = new TreeSet<>();
        Deque<Piece> remaining = new ArrayDeque<>(List.of(new Piece(boxes.get(rule), 0)));
        for (int subtractions = 0; !remaining.isEmpty(); subtractions++) {
            Piece piece = remaining.pop();
            int earlier = piece.nextRule;
            while (earlier < rule && !intersect(piece.box, boxes.get(earlier))) {
                earlier++;
            }
            if (earlier == rule || subtractions > MAX_SUBTRACTIONS) {
                return Optional.empty();
            }
            covering.add(earlier);
            subtract(piece.box, boxes.get(earlier), earlier + 1, remaining);
        }
        return Optional.of(covering.stream().map(rules::get).toList());
    }

    private static boolean intersect(BitSet[] first, BitSet[] second) {
        for (int dimension = 0; dimension < first.length; dimension++) {
            if (!first[dimension].intersects(second[dimension])) {
                return false;
            }
        }
        return true;
    }

    /** Adds the parts of the box that lie outside of the other one, as pieces that do not intersect. */
    private static void subtract(BitSet[] box, BitSet[] other, int nextRule, Deque<Piece> pieces) {
        BitSet[] rest = box.clone();
        for (int dimension = 0; dimension < box.length; dimension++) {
            BitSet outside = (BitSet) rest[dimension].clone();
            outside.andNot(other[dimension]);
            if (!outside.isEmpty()) {
                BitSet[] piece = rest.clone();
                piece[dimension] = outside;
                pieces.push(new Piece(piece, nextRule));
                rest[dimension] = (BitSet) rest[dimension].clone();
                rest[dimension].and(other[dimension]);
            }
        }
    }
}
