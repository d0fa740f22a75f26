package maplespread.partition;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.partition.RoutingTableException.Kind;

/**
 * Rejects rules whose spills lead from a partition, directly or over others, back to it: requests would circulate
 * between the partitions.
 */
final class SpillCycleChecker {
    /** Partitions that requests spill to, by the partition that they spill from. */
    private final Map<String, Set<String>> targets = new LinkedHashMap<>();

    private SpillCycleChecker() {}

    static void check(List<Rule> rules) throws RoutingTableException {
        SpillCycleChecker checker = new SpillCycleChecker();
        for (Rule rule : rules) {
            for (String target : rule.spill()) {
                checker.add(rule, target);
            }
        }
    }

    private void add(Rule rule, String target) throws RoutingTableException {
        targets.computeIfAbsent(rule.partition(), partition -> new LinkedHashSet<>())
                .add(target);
        if (reaches(target, rule.partition(), new HashSet<>())) {
            throw new RoutingTableException(
                    Kind.SPILL,
                    "rule " + rule.name(),
                    "spills from " + rule.partition() + " to " + target + ", from where rules lead back",
                    "take one of the spills out");
        }
    }

    private boolean reaches(String from, String destination, Set<String> visited) {
        if (from.equals(destination)) {
            return true;
        }
        return visited.add(from)
                && targets.getOrDefault(from, Set.of()).stream().anyMatch(next -> reaches(next, destination, visited));
    }
}
