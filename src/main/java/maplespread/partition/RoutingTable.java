package maplespread.partition;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An ordered table of rules: the first that matches counts. Made by {@link RoutingTableParser}, which has checked
 * that the last one matches every job. Compiled: for each attribute and way of asking, the set of rules that
 * the job's value passes is found at once, and the first rule in all of the sets is the one.
 */
public final class RoutingTable {
    private final List<Rule> rules;
    private final Map<String, Partition> partitions;
    private final List<RuleIndex> indices = new ArrayList<>();

    RoutingTable(List<Rule> rules, Map<String, Partition> partitions) {
        this.rules = List.copyOf(rules);
        this.partitions = Map.copyOf(partitions);
        rules.stream()
                .flatMap(r -> r.when().stream())
                .map(Rule.Condition::attribute)
                .distinct()
                .forEach(a -> RuleIndex.of(a, this.rules, indices));
    }

    public List<Rule> rules() {
        return rules;
    }

    public Map<String, Partition> partitions() {
        return partitions;
    }

    /** How long after its sending an ordered job can still run at most, under any rule. */
    public long maxRunMs() {
        return rules.stream()
                .filter(Rule::isOrdered)
                .mapToLong(Rule::maxRunMs)
                .max()
                .orElse(0);
    }

    /** The first rule that matches. */
    public Rule decide(RequestAttributes job) {
        int words = (rules.size() + 63) / 64;
        long[][] sets = new long[indices.size()][];
        for (int i = 0; i < sets.length; i++) {
            sets[i] = indices.get(i).passed(job);
        }
        for (int w = 0; w < words; w++) {
            long all = w == words - 1 ? -1L >>> 64 * words - rules.size() : -1L;
            for (long[] set : sets) {
                all &= set[w];
            }
            if (all != 0) {
                return rules.get(w * 64 + Long.numberOfTrailingZeros(all));
            }
        }
        throw new IllegalStateException("no rule matches"); // TableReader lets no such table through
    }
}
