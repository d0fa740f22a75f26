package maplespread.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An ordered table of rules, of which the first that matches a request decides. {@link RoutingTableParser} creates it
 * and has checked that the last rule matches every request. Immutable. For each attribute and kind of matcher, a
 * {@link RuleIndex} finds the rules whose matchers accept the request's value; the first rule that all indexes find
 * decides.
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

    /** The rules, in the order of the table. */
    public List<Rule> rules() {
        return rules;
    }

    /** The partitions, by name. */
    public Map<String, Partition> partitions() {
        return partitions;
    }

    /**
     * The longest time that an ordered request can still run after it was sent, under any rule; 0: no rule is ordered.
     */
    public long maxRunMs() {
        return rules.stream()
                .filter(Rule::isOrdered)
                .mapToLong(Rule::maxRunMs)
                .max()
                .orElse(0);
    }

    /** The first rule that matches the request. */
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
        throw new IllegalStateException("no rule matches"); // the parser rejects such a table
    }
}
