package maplespread.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An ordered table of rules: the first that matches decides. Made by {@link RoutingTableParser}, which has checked
 * that the last one matches every request. Immutable. For each attribute and kind of matcher, a {@link RuleIndex}
 * finds the set of rules that the request's value passes; the first rule in all of the sets is the one.
 */
public final class RoutingTable {
    private final List<Rule> rules;
    private final Map<String, Partition> partitions;
    private final List<RuleIndex> indexes = new ArrayList<>();

    RoutingTable(List<Rule> rules, Map<String, Partition> partitions) {
        this.rules = List.copyOf(rules);
        this.partitions = Map.copyOf(partitions);
        rules.stream()
                .flatMap(rule -> rule.when().stream())
                .map(Rule.Condition::attribute)
                .distinct()
                .forEach(attribute -> indexes.addAll(RuleIndex.of(attribute, this.rules)));
    }

    /** In the order of the table. */
    public List<Rule> rules() {
        return rules;
    }

    /** By name. */
    public Map<String, Partition> partitions() {
        return partitions;
    }

    /** How long after it was sent an ordered request can still run at most, under any rule; 0: none is ordered. */
    public long maxRunMs() {
        return rules.stream()
                .filter(Rule::isOrdered)
                .mapToLong(Rule::maxRunMs)
                .max()
                .orElse(0);
    }

    /** The first rule that matches. */
    public Rule decide(RequestAttributes request) {
        int words = (rules.size() + Long.SIZE - 1) / Long.SIZE;
        long[][] matching = new long[indexes.size()][];
        for (int i = 0; i < matching.length; i++) {
            matching[i] = indexes.get(i).matching(request);
        }
        for (int word = 0; word < words; word++) {
            long inAll = word == words - 1 ? -1L >>> (Long.SIZE * words - rules.size()) : -1L;
            for (long[] set : matching) {
                inAll &= set[word];
            }
            if (inAll != 0) {
                return rules.get(word * Long.SIZE + Long.numberOfTrailingZeros(inAll));
            }
        }
        throw new IllegalStateException("no rule matches"); // the parser lets no such table through
    }
}
