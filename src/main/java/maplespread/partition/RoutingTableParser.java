package maplespread.partition;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import maplespread.partition.Partition.Worker;
import maplespread.partition.RoutingTableException.Kind;

/**
 * Parses and checks routing tables; no other class parses them. A table is accepted as a whole, or rejected with the
 * first error that is found; docs/operators/partition.md lists every key and error.
 */
public final class RoutingTableParser {
    private static final int MAX_RULES = 4096;
    /** Maximum number of earlier rules that the error about an unreachable rule names. */
    private static final int MAX_NAMED_RULES_IN_ERROR = 5;

    /**
     * The names that a table may use.
     *
     * @param tenants the tenants; empty: the site has none
     * @param workers the listed workers; empty: not known yet, so whether a partition has a worker is not checked
     */
    public record SiteNames(
            List<String> classes, List<String> tenants, List<String> zones, List<String> kinds, List<Worker> workers) {}

    private final SiteNames site;

    private RoutingTableParser(SiteNames site) {
        this.site = site;
    }

    /** Parses a table from JSON. Throws with the first error that is found. */
    public static RoutingTable parse(String json, SiteNames site) throws RoutingTableException {
        JsonElement element;
        try {
            element = JsonParser.parseString(json);
        } catch (JsonParseException e) {
            throw new RoutingTableException(Kind.MALFORMED, "", "not JSON", "correct the text");
        }
        return new RoutingTableParser(site).table(new JsonSection("", element));
    }

    private RoutingTable table(JsonSection root) throws RoutingTableException {
        Map<String, Partition> partitions = partitions(root);
        List<JsonElement> rows = rows(root);
        root.rejectUnknownKeys();
        List<Rule> rules = rules(rows, partitions);
        checkDefault(rules);
        checkReachable(rules);
        SpillCycleChecker.check(rules);
        return new RoutingTable(rules, partitions);
    }

    private Map<String, Partition> partitions(JsonSection root) throws RoutingTableException {
        PartitionParser parser = new PartitionParser(site);
        Map<String, Partition> partitions = new LinkedHashMap<>();
        JsonSection section = root.section("partitions", "partitions");
        for (String name : section.keys()) {
            partitions.put(name, parser.parse(name, new JsonSection("partition " + name, section.get(name))));
        }
        partitions.putIfAbsent(PartitionParser.ALL, PartitionParser.allWorkers());
        PartitionParser.checkExclusive(partitions.values());
        return partitions;
    }

    private static List<JsonElement> rows(JsonSection root) throws RoutingTableException {
        JsonElement rows = root.get("rules");
        if (rows == null || !JsonSection.isFilledArray(rows)) {
            throw root.malformed("rules", "must be a list with at least one rule");
        }
        if (rows.getAsJsonArray().size() > MAX_RULES) {
            throw new RoutingTableException(
                    Kind.TOO_LARGE, "", "more than " + MAX_RULES + " rules", "join rules by lists of values");
        }
        return rows.getAsJsonArray().asList();
    }

    private List<Rule> rules(List<JsonElement> rows, Map<String, Partition> partitions) throws RoutingTableException {
        RuleParser parser = new RuleParser(site, partitions.keySet());
        List<Rule> rules = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonElement row : rows) {
            Rule rule = parser.parse(rules.size() + 1, row);
            if (!names.add(rule.name())) {
                throw new RoutingTableException(
                        Kind.MALFORMED,
                        "rule " + rule.name(),
                        "the name stands twice",
                        "give each rule a name of its own");
            }
            rules.add(rule);
        }
        return rules;
    }

    private static void checkDefault(List<Rule> rules) throws RoutingTableException {
        Rule last = rules.get(rules.size() - 1);
        if (!last.when().isEmpty()) {
            throw new RoutingTableException(
                    Kind.NO_DEFAULT,
                    "rule " + last.name(),
                    "is the last one and has conditions, so some job may match no rule",
                    "end the table with a rule without a when");
        }
    }

    /** Checks all rules but the last one, which may be unreachable. */
    private void checkReachable(List<Rule> rules) throws RoutingTableException {
        UnreachableRuleFinder finder = new UnreachableRuleFinder(rules, site.classes, site.tenants);
        for (int i = 0; i < rules.size() - 1; i++) {
            Optional<List<Rule>> shadowingRules = finder.shadowingRules(i);
            if (shadowingRules.isPresent()) {
                throw unreachable(rules.get(i), shadowingRules.get());
            }
        }
    }

    private static RoutingTableException unreachable(Rule rule, List<Rule> shadowingRules) {
        String where = "rule " + rule.name();
        if (shadowingRules.isEmpty()) {
            return new RoutingTableException(
                    Kind.NEVER_MATCHES,
                    where,
                    "can never match: its conditions exclude one another",
                    "correct its when");
        }
        String names = shadowingRules.stream()
                .limit(MAX_NAMED_RULES_IN_ERROR)
                .map(Rule::name)
                .collect(Collectors.joining(", "));
        return new RoutingTableException(
                Kind.NEVER_MATCHES,
                where,
                "can never match: all that it could match is taken before by " + names,
                "move it up, or take it out");
    }
}
