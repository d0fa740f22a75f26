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
 * Finds rules that can never match, by themselves or because the rules before them take all that they could match,
 * several of them together too. Each attribute's values fall into finitely many classes that no rule of the table
 * tells apart; a rule is a box of classes, and what earlier rules take is cut off from it until a piece is left that
 * none of them takes.
 *
 * <p>Errs in the rule's favour: a value's share counts as independent of the value, and beyond {@link #MAX_CUTS} cuts
 * the question is left open.
 */
final class UnreachableRuleFinder {
    private static final int MAX_CUTS = 50_000;

    /**
     * Values that no rule tells apart: one value; or, where that is null, all other strings whose longest known prefix
     * this is; or, where both are null, no value.
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

    /** Part of a rule's box, and the first of the earlier rules that has not been cut off from it. */
    private record Piece(BitSet[] box, int nextRule) {}

    private final List<Rule> rules;
    /** By rule: for each attribute the classes of values that it takes, and after these the shares. */
    private final List<BitSet[]> boxes = new ArrayList<>();

    /** {@code classes}, {@code tenants}: all that there are; no tenants: requests have none. */
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

    /** Of an attribute whose values are not known beforehand. */
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
            all.add(new ValueClass(null, null)); // the request has none
        }
        if (!label) {
            prefixes.forEach(prefix -> all.add(new ValueClass(null, prefix)));
        }
        return all;
    }

    /** A number that is not listed stands for all others of its interval. */
    private static void addNumberOfEachInterval(double[] bounds, Set<Object> values) {
        for (int i = 0; i <= bounds.length; i++) {
            double number = i == 0 ? -Double.MAX_VALUE : bounds[i - 1];
            while (!values.add(number)) {
                number = Math.nextUp(number);
            }
        }
    }

    private static BitSet passedClasses(List<ValueClass> classes, List<AttributeMatcher> matchers) {
        BitSet passed = new BitSet();
        passed.set(0, classes.size());
        for (AttributeMatcher matcher : matchers) {
            for (int i = 0; i < classes.size(); i++) {
                if (!classes.get(i).passes(matcher)) {
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
     * Empty: requests can come to this rule. Else the earlier rules that take all it could match; none: its
     * conditions exclude one another.
     */
    Optional<List<Rule>> takenBy(int rule) {
        for (BitSet side : boxes.get(rule)) {
            if (side.isEmpty()) {
                return Optional.of(List.of());
            }
        }
        Set<Integer> takers = new TreeSet<>();
        Deque<Piece> left = new ArrayDeque<>(List.of(new Piece(boxes.get(rule), 0)));
        for (int cuts = 0; !left.isEmpty(); cuts++) {
            Piece piece = left.pop();
            int earlier = piece.nextRule;
            while (earlier < rule && !intersect(piece.box, boxes.get(earlier))) {
                earlier++;
            }
            if (earlier == rule || cuts > MAX_CUTS) {
                return Optional.empty();
            }
            takers.add(earlier);
            cut(piece.box, boxes.get(earlier), earlier + 1, left);
        }
        return Optional.of(takers.stream().map(rules::get).toList());
    }

    private static boolean intersect(BitSet[] first, BitSet[] second) {
        for (int side = 0; side < first.length; side++) {
            if (!first[side].intersects(second[side])) {
                return false;
            }
        }
        return true;
    }

    /** Adds what of the box lies outside of the other one, in pieces that do not intersect. */
    private static void cut(BitSet[] box, BitSet[] other, int nextRule, Deque<Piece> pieces) {
        BitSet[] rest = box.clone();
        for (int side = 0; side < box.length; side++) {
            BitSet outside = (BitSet) rest[side].clone();
            outside.andNot(other[side]);
            if (!outside.isEmpty()) {
                BitSet[] piece = rest.clone();
                piece[side] = outside;
                pieces.push(new Piece(piece, nextRule));
                rest[side] = (BitSet) rest[side].clone();
                rest[side].and(other[side]);
            }
        }
    }
}
