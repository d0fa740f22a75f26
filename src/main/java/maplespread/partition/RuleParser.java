package maplespread.partition;

import com.google.gson.JsonElement;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import maplespread.partition.RoutingTableException.Kind;
import maplespread.partition.RoutingTableParser.SiteNames;
import maplespread.partition.Rule.Condition;
import maplespread.partition.Rule.OnFailure;
import maplespread.partition.Rule.Order;

/** Parses the rules of one routing table and counts the values in all of them. */
final class RuleParser {
    /** Maximum number of values, prefixes and shares in all rules of a table. */
    private static final int MAX_VALUES = 50_000;

    private static final String DEFAULT_KEY = "entity";
    private static final double DEFAULT_MAX_RUN_MS = 1000;
    private static final double MAX_RUN_MS = 3.6e6;
    private static final double DEFAULT_MAX_REQUESTS_PER_KEY = 100;
    private static final double DEFAULT_MAX_WORK_S_PER_KEY = 600;
    private static final double DEFAULT_MAX_AGE_MS_PER_KEY = 600_000;

    private final SiteNames site;
    private final Set<String> partitions;
    private int valueCount;

    /**
     * A parser for the rules of one table.
     *
     * @param partitions the names of the partitions that rules may use
     */
    RuleParser(SiteNames site, Set<String> partitions) {
        this.site = site;
        this.partitions = partitions;
    }

    /**
     * Parses one rule.
     *
     * @param number the rule's position in the table, from 1, which is its name if it has none
     */
    Rule parse(int number, JsonElement row) throws RoutingTableException {
        String name = new JsonSection("rule " + number, row).string("name", String.valueOf(number));
        JsonSection section = new JsonSection("rule " + name, row);
        section.get("name");
        String partition = section.string("to", PartitionParser.ALL);
        SiteNameCheck.requireKnown(section, "to", Set.of(partition), partitions);
        Order order = section.enumValue("order", Order.NONE, Order.class);
        String key = SiteNameCheck.requireAttribute(section, section.string("key", DEFAULT_KEY));
        OnFailure onFailure = onFailure(section, order);
        long maxRunMs = (long) section.number("runs_ms", DEFAULT_MAX_RUN_MS, 1, MAX_RUN_MS);
        QueueLimits perKeyLimits = section.limits(
                "each_key", DEFAULT_MAX_REQUESTS_PER_KEY, DEFAULT_MAX_WORK_S_PER_KEY, DEFAULT_MAX_AGE_MS_PER_KEY);
        List<String> spill =
                List.copyOf(SiteNameCheck.requireKnown(section, "spill", section.strings("spill"), partitions));
        checkOrder(section, order, partition, spill);
        Rule rule =
                new Rule(name, conditions(section), partition, order, key, onFailure, maxRunMs, perKeyLimits, spill);
        section.rejectUnknownKeys();
        return rule;
    }

    private static OnFailure onFailure(JsonSection section, Order order) throws RoutingTableException {
        boolean stops = order == Order.BY_KEY_STOP;
        OnFailure onFailure = section.enumValue("failed", stops ? OnFailure.STOP : OnFailure.GO_ON, OnFailure.class);
        if ((onFailure == OnFailure.STOP) != stops) {
            throw section.malformed("failed", "is stop if and only if order is by_key_stop");
        }
        return onFailure;
    }

    private static void checkOrder(JsonSection section, Order order, String partition, List<String> spill)
            throws RoutingTableException {
        if (order != Order.NONE && !spill.isEmpty()) {
            throw new RoutingTableException(
                    Kind.SPILL,
                    section.where,
                    "is ordered, and what is ordered never spills",
                    "take spill out; its jobs are refused while " + partition + " has no worker");
        }
        if (order == Order.NONE && (section.has("key") || section.has("failed") || section.has("each_key"))) {
            throw section.malformed("key, failed or each_key", "stands in a rule whose order is none");
        }
    }

    // ------------------------------------------------------------ conditions

    private List<Condition> conditions(JsonSection rule) throws RoutingTableException {
        List<Condition> conditions = new ArrayList<>();
        JsonSection when = rule.section("when", rule.where);
        for (String attribute : when.keys()) {
            SiteNameCheck.requireAttribute(when, attribute);
            JsonElement element = when.get(attribute);
            if (element != null && !element.isJsonObject()) {
                conditions.add(new Condition(attribute, oneOf(when, attribute, element)));
            } else {
                JsonSection section = new JsonSection(rule.where, element);
                for (AttributeMatcher matcher : matchers(section, attribute)) {
                    conditions.add(new Condition(attribute, matcher));
                }
            }
        }
        if (valueCount > MAX_VALUES) {
            throw new RoutingTableException(
                    Kind.TOO_LARGE,
                    rule.where,
                    "with it the table has more than " + MAX_VALUES + " values",
                    "use prefixes, ranges or shares in place of lists");
        }
        return List.copyOf(conditions);
    }

    private List<AttributeMatcher> matchers(JsonSection section, String attribute) throws RoutingTableException {
        List<AttributeMatcher> matchers = new ArrayList<>();
        JsonElement list = section.get("in");
        if (list != null) {
            matchers.add(oneOf(section, attribute, list));
        }
        if (isLabel(attribute)) {
            addRange(section, matchers);
        } else {
            addPrefix(section, attribute, matchers);
            addShare(section, matchers);
        }
        section.rejectUnknownKeys();
        if (section.keys().isEmpty()) {
            throw section.malformed(attribute, "asks for nothing");
        }
        return matchers;
    }

    private static boolean isLabel(String attribute) {
        return attribute.startsWith(RequestAttributes.LABEL_PREFIX);
    }

    private static void addRange(JsonSection section, List<AttributeMatcher> matchers) throws RoutingTableException {
        boolean hasFrom = section.get("from") != null;
        boolean hasBelow = section.get("below") != null; // both keys are read, so that neither counts as unknown
        if (hasFrom || hasBelow) {
            matchers.add(new AttributeMatcher.Range(
                    section.number("from", -Double.MAX_VALUE, -Double.MAX_VALUE, Double.MAX_VALUE),
                    section.number("below", Double.MAX_VALUE, -Double.MAX_VALUE, Double.MAX_VALUE)));
        }
    }

    private void addPrefix(JsonSection section, String attribute, List<AttributeMatcher> matchers)
            throws RoutingTableException {
        JsonElement prefix = section.get("prefix");
        if (prefix == null) {
            return;
        }
        if (!JsonSection.isString(prefix)) {
            throw section.malformed(attribute + ".prefix", "must be a string");
        }
        matchers.add(new AttributeMatcher.Prefix(prefix.getAsString()));
        valueCount++;
    }

    private void addShare(JsonSection section, List<AttributeMatcher> matchers) throws RoutingTableException {
        if (section.get("share") != null) {
            JsonSection.Interval share = section.interval("share", 0, 1);
            matchers.add(new AttributeMatcher.Share(share.from(), share.below()));
            valueCount++;
        }
    }

    /** Parses one value or a list of them, which are numbers for a label and strings otherwise. */
    private AttributeMatcher oneOf(JsonSection section, String attribute, JsonElement element)
            throws RoutingTableException {
        List<JsonElement> list =
                element.isJsonArray() ? element.getAsJsonArray().asList() : List.of(element);
        Set<Object> accepted =
                isLabel(attribute) ? numbers(section, attribute, list) : strings(section, attribute, list);
        if (accepted.isEmpty()) {
            throw section.malformed(attribute, "is a list without an entry");
        }
        valueCount += accepted.size();
        if (attribute.equals("class")) {
            checkNames(section, attribute, accepted, site.classes());
        } else if (attribute.equals("tenant")) {
            checkNames(section, attribute, accepted, site.tenants());
        }
        return new AttributeMatcher.OneOf(Set.copyOf(accepted));
    }

    private static Set<Object> numbers(JsonSection section, String attribute, List<JsonElement> list)
            throws RoutingTableException {
        Set<Object> numbers = new LinkedHashSet<>();
        for (JsonElement entry : list) {
            double number = JsonSection.numberOf(entry);
            if (Double.isNaN(number)) {
                throw section.malformed(attribute, "is a label, and labels are numbers");
            }
            numbers.add(number);
        }
        return numbers;
    }

    private static Set<Object> strings(JsonSection section, String attribute, List<JsonElement> list)
            throws RoutingTableException {
        Set<Object> strings = new LinkedHashSet<>();
        for (JsonElement entry : list) {
            if (!JsonSection.isString(entry)) {
                throw section.malformed(attribute, "must be a string");
            }
            strings.add(entry.getAsString());
        }
        return strings;
    }

    private static void checkNames(
            JsonSection section, String attribute, Set<Object> accepted, Collection<String> knownNames)
            throws RoutingTableException {
        for (Object name : accepted) {
            SiteNameCheck.requireKnown(section, attribute, Set.of((String) name), knownNames);
        }
    }
}
