package maplespread.partition;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.partition.RoutingTableException.Kind;

/** Rejects rules that spill requests from one partition over others back to it: they would go to and fro. */
final class SpillCycleChecker {
    /** By the partition that spills. */
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

    private boolean reaches(String from, String end, Set<String> seen) {
        if (from.equals(end)) {
            return true;
        }
        return seen.add(from)
                && targets.getOrDefault(from, Set.of()).stream().anyMatch(next -> reaches(next, end, seen));
    }
}
