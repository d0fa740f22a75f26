package maplespread.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds rules that can never match, by themselves or because the rules before them take all that they could
 * match, several of them together too. Each attribute's values fall into finitely many kinds that no rule of
 * the table tells apart; a rule is a box of kinds, and what earlier rules take is cut off from it until a
 * piece is left that none of them takes.
 *
 * <p>Errs in the rule's favour: a value's share counts as independent of the value, and beyond {@link #MOST}
 * cuts the question is left open.
 */
final class UnreachableRuleFinder {
    private static final int MOST = 50_000;

    /** A kind of values: one value, or all other strings whose longest known prefix this is. */
    private record Kind(Object value, String prefix) {
        boolean passes(AttributeMatcher a) {
            return prefix == null
                    ? a.matches(value)
                    : a instanceof AttributeMatcher.Prefix p && prefix.startsWith(p.prefix());
        }
    }

    private record Piece(BitSet[] box, int next) {}

    private final List<Rule> rules;
    private final List<BitSet[]> boxes = new ArrayList<>();

    /** {@code classes}, {@code tenants}: all that there are; no tenants: jobs have none. */
    UnreachableRuleFinder(List<Rule> rules, Collection<String> classes, Collection<String> tenants) {
        this.rules = rules;
        List<String> attributes = rules.stream()
                .flatMap(r -> r.when().stream())
                .map(Rule.Condition::attribute)
                .distinct()
                .toList();
        rules.forEach(r -> boxes.add(new BitSet[2 * attributes.size()]));
        for (int d = 0; d < attributes.size(); d++) {
            String attribute = attributes.get(d);
            List<AttributeMatcher> asked =
                    rules.stream().flatMap(r -> asks(r, attribute).stream()).toList();
            List<Kind> kinds = attribute.equals("class")
                    ? values(classes)
                    : attribute.equals("tenant") && !tenants.isEmpty() ? values(tenants) : kinds(attribute, asked);
            double[] cuts = RuleIndex.cuts(asked.stream()
                    .filter(AttributeMatcher.Share.class::isInstance)
                    .toList());
            for (int r = 0; r < rules.size(); r++) {
                BitSet side = new BitSet();
                BitSet shares = new BitSet();
                side.set(0, kinds.size());
                shares.set(0, cuts.length + 1);
                for (AttributeMatcher a : asks(rules.get(r), attribute)) {
                    if (a instanceof AttributeMatcher.Share s) {
                        for (int i = 0; i <= cuts.length; i++) {
                            if (!s.contains(i == 0 ? -1 : cuts[i - 1])) {
                                shares.clear(i);
                            }
                        }
                    }
                    for (int k = 0; k < kinds.size(); k++) {
                        Kind kind = kinds.get(k);
                        if (a instanceof AttributeMatcher.Share
                                ? kind.value == null && kind.prefix == null
                                : !kind.passes(a)) {
                            side.clear(k);
                        }
                    }
                }
                boxes.get(r)[2 * d] = side;
                boxes.get(r)[2 * d + 1] = shares;
            }
        }
    }

    private static List<AttributeMatcher> asks(Rule rule, String attribute) {
        return rule.when().stream()
                .filter(c -> c.attribute().equals(attribute))
                .map(Rule.Condition::matcher)
                .toList();
    }

    private static List<Kind> values(Collection<?> values) {
        return new ArrayList<>(values.stream().map(v -> new Kind(v, null)).toList());
    }

    private static List<Kind> kinds(String attribute, List<AttributeMatcher> asked) {
        Set<Object> values = new TreeSet<>();
        Set<String> prefixes = new TreeSet<>(Set.of(""));
        for (AttributeMatcher a : asked) {
            if (a instanceof AttributeMatcher.OneOf one) {
                values.addAll(one.values());
            } else if (a instanceof AttributeMatcher.Prefix p) {
                prefixes.add(p.prefix());
            }
        }
        boolean label = attribute.startsWith(RequestAttributes.LABEL_PREFIX);
        double[] cuts = label ? RuleIndex.cuts(asked) : new double[0];
        for (int i = 0; label && i <= cuts.length; i++) {
            double x = i == 0 ? -Double.MAX_VALUE : cuts[i - 1];
            while (!values.add(x)) { // a listed value does not stand for others
                x = Math.nextUp(x);
            }
        }
        List<Kind> kinds = values(values);
        if (!attribute.equals("path")) {
            kinds.add(new Kind(null, null)); // the job has none
        }
        if (!label) {
            prefixes.forEach(p -> kinds.add(new Kind(null, p)));
        }
        return kinds;
    }

    /**
     * Null: jobs can come to this rule. Else the earlier rules that take all it could match; none: it asks
     * for what no job has.
     */
    List<Rule> takenBy(int rule) {
        for (BitSet side : boxes.get(rule)) {
            if (side.isEmpty()) {
                return List.of();
            }
        }
        Set<Integer> takers = new TreeSet<>();
        Deque<Piece> left = new ArrayDeque<>(List.of(new Piece(boxes.get(rule), 0)));
        for (int cuts = 0; !left.isEmpty(); cuts++) {
            Piece piece = left.pop();
            int r = piece.next;
            while (r < rule && !meet(piece.box, boxes.get(r))) {
                r++;
            }
            if (r == rule || cuts > MOST) {
                return null;
            }
            takers.add(r);
            cut(piece.box, boxes.get(r), r + 1, left);
        }
        return takers.stream().map(rules::get).toList();
    }

    private static boolean meet(BitSet[] a, BitSet[] b) {
        for (int d = 0; d < a.length; d++) {
            if (!a[d].intersects(b[d])) {
                return false;
            }
        }
        return true;
    }

    /** Adds what of the box lies outside of the other, in pieces that do not meet. */
    private static void cut(BitSet[] box, BitSet[] other, int next, Deque<Piece> to) {
        BitSet[] rest = box.clone();
        for (int d = 0; d < box.length; d++) {
            BitSet outside = (BitSet) rest[d].clone();
            outside.andNot(other[d]);
            if (!outside.isEmpty()) {
                BitSet[] piece = rest.clone();
                piece[d] = outside;
                to.push(new Piece(piece, next));
                rest[d] = (BitSet) rest[d].clone();
                rest[d].and(other[d]);
            }
        }
    }
}
