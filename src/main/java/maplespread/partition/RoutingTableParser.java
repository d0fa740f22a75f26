package maplespread.partition;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import maplespread.partition.Partition.Worker;
import maplespread.partition.RoutingTableException.Kind;
import maplespread.partition.Rule.Condition;
import maplespread.partition.Rule.OnFailure;
import maplespread.partition.Rule.Order;

/**
 * The one place where a table is read. It is checked whole, or it is refused with the first fault that is
 * found; docs/operators/partition.md has every key and error.
 */
public final class RoutingTableParser {
    private static final int MOST_RULES = 4096;
    private static final int MOST_VALUES = 50_000;
    private static final String ALL = "all"; // the partition of all workers, always there

    /**
     * What a table may name. {@code tenants} empty: there are none. {@code workers} empty: not known yet, so
     * it is not checked whether partitions have any.
     */
    public record SiteNames(
            List<String> classes, List<String> tenants, List<String> zones, List<String> kinds, List<Worker> workers) {}

    /** One object of the text: what nobody has asked for is an error at the end. */
    private static final class JsonSection {
        final String where;
        final JsonObject in;
        final Set<String> asked = new TreeSet<>();

        JsonSection(String where, JsonElement in) throws RoutingTableException {
            this.where = where;
            if (in == null || !in.isJsonObject()) {
                throw new RoutingTableException(Kind.MALFORMED, where, "must be an object", "write it as {...}");
            }
            this.in = in.getAsJsonObject();
        }

        JsonElement get(String key) {
            asked.add(key);
            JsonElement e = in.get(key);
            return e == null || e.isJsonNull() ? null : e;
        }

        RoutingTableException wrong(String key, String why) {
            return new RoutingTableException(Kind.MALFORMED, where, key + " " + why, "correct " + key);
        }

        String text(String key, String otherwise) throws RoutingTableException {
            JsonElement e = get(key);
            if (e == null && otherwise != null) {
                return otherwise;
            }
            if (e == null || !string(e) || e.getAsString().isBlank()) {
                throw wrong(key, e == null ? "is missing" : "must be a string that is not empty");
            }
            return e.getAsString();
        }

        <E extends Enum<E>> E word(String key, E otherwise, Class<E> words) throws RoutingTableException {
            String word = text(key, otherwise.name().toLowerCase(java.util.Locale.ROOT));
            for (E e : words.getEnumConstants()) {
                if (e.name().toLowerCase(java.util.Locale.ROOT).equals(word)) {
                    return e;
                }
            }
            throw new RoutingTableException(
                    Kind.UNKNOWN_NAME,
                    where,
                    key + " " + word + " is not known",
                    "use one of " + List.of(words.getEnumConstants()).toString().toLowerCase(java.util.Locale.ROOT));
        }

        double number(String key, double otherwise, double least, double most) throws RoutingTableException {
            JsonElement e = get(key);
            double v = e == null ? otherwise : numberOf(e);
            if (!(v >= least && v <= most)) {
                throw wrong(key, "must be a number from " + least + " to " + most);
            }
            return v;
        }

        Set<String> texts(String key) throws RoutingTableException {
            Set<String> all = new LinkedHashSet<>();
            JsonElement e = get(key);
            if (e != null && (!e.isJsonArray() || e.getAsJsonArray().isEmpty())) {
                throw wrong(key, "must be a list with at least one entry");
            }
            for (JsonElement one : e == null ? new JsonArray() : e.getAsJsonArray()) {
                if (!string(one) || !all.add(one.getAsString())) {
                    throw wrong(key, "must be a list of strings, each once");
                }
            }
            return all;
        }

        /** Two numbers, the first below the second. */
        double[] span(String key, double least, double most) throws RoutingTableException {
            JsonElement e = get(key);
            if (e == null) {
                return new double[] {least, most};
            }
            double[] v = e.isJsonArray() && e.getAsJsonArray().size() == 2
                    ? new double[] {
                        numberOf(e.getAsJsonArray().get(0)),
                        numberOf(e.getAsJsonArray().get(1))
                    }
                    : new double[] {1, 0};
            if (!(least <= v[0] && v[0] < v[1] && v[1] <= most)) {
                throw wrong(key, "must be [from, below] within " + least + " to " + most);
            }
            return v;
        }

        QueueLimits bounds(String key, double jobs, double workS, double ageMs) throws RoutingTableException {
            JsonElement e = get(key);
            JsonSection in = new JsonSection(where, e == null ? new JsonObject() : e);
            QueueLimits b = new QueueLimits(
                    (int) in.number("jobs", jobs, 1, 1e6), in.number("work_s", workS, 0.001, 1e6) * 1000, (long)
                            in.number("age_ms", ageMs, 1, 3.6e6));
            in.end();
            return b;
        }

        void end() throws RoutingTableException {
            for (String key : in.keySet()) {
                if (!asked.contains(key)) {
                    throw new RoutingTableException(
                            Kind.UNKNOWN_NAME, where, "key " + key + " is not known", "use one of " + asked);
                }
            }
        }
    }

    private final SiteNames site;
    private int values;

    private RoutingTableParser(SiteNames site) {
        this.site = site;
    }

    /** The table in a JSON text. */
    public static RoutingTable parse(String text, SiteNames site) throws RoutingTableException {
        JsonElement e;
        try {
            e = JsonParser.parseString(text);
        } catch (JsonParseException x) {
            throw new RoutingTableException(Kind.MALFORMED, "", "not JSON", "correct the text");
        }
        return new RoutingTableParser(site).table(new JsonSection("", e));
    }

    private RoutingTable table(JsonSection root) throws RoutingTableException {
        Map<String, Partition> partitions = new LinkedHashMap<>();
        JsonElement named = root.get("partitions");
        JsonSection parts = new JsonSection("partitions", named == null ? new JsonObject() : named);
        for (String name : parts.in.keySet()) {
            partitions.put(name, partition(name, new JsonSection("partition " + name, parts.get(name))));
        }
        partitions.putIfAbsent(
                ALL,
                new Partition(
                        ALL, Set.of(), Set.of(), Set.of(), 0, 1, false, new QueueLimits(100_000, 1e9, 3_600_000)));
        apart(partitions.values());
        JsonElement rows = root.get("rules");
        if (rows == null || !rows.isJsonArray() || rows.getAsJsonArray().isEmpty()) {
            throw root.wrong("rules", "must be a list with at least one rule");
        }
        if (rows.getAsJsonArray().size() > MOST_RULES) {
            throw new RoutingTableException(
                    Kind.TOO_LARGE, "", "more than " + MOST_RULES + " rules", "join rules by lists of values");
        }
        root.end();
        List<Rule> rules = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonElement row : rows.getAsJsonArray()) {
            Rule rule = rule(rules.size(), row, partitions);
            if (!names.add(rule.name())) {
                throw new RoutingTableException(
                        Kind.MALFORMED,
                        "rule " + rule.name(),
                        "the name stands twice",
                        "give each rule a name of its own");
            }
            rules.add(rule);
        }
        Rule last = rules.get(rules.size() - 1);
        if (!last.when().isEmpty()) {
            throw new RoutingTableException(
                    Kind.NO_DEFAULT,
                    "rule " + last.name(),
                    "is the last one and has conditions," + " so some job may match no rule",
                    "end the table with a rule without a when");
        }
        UnreachableRuleFinder reach = new UnreachableRuleFinder(rules, site.classes, site.tenants);
        for (int i = 0; i < rules.size() - 1; i++) { // the default may be left without a job
            List<Rule> takers = reach.takenBy(i);
            if (takers != null) {
                throw new RoutingTableException(
                        Kind.NEVER_MATCHES,
                        "rule " + rules.get(i).name(),
                        takers.isEmpty()
                                ? "can never match: its conditions exclude one another"
                                : "can never match: all that it could match is taken before by "
                                        + String.join(
                                                ", ",
                                                takers.stream()
                                                        .limit(5)
                                                        .map(Rule::name)
                                                        .toList()),
                        takers.isEmpty() ? "correct its when" : "move it up, or take it out");
            }
        }
        spills(rules);
        return new RoutingTable(rules, partitions);
    }

    private Partition partition(String name, JsonSection in) throws RoutingTableException {
        Set<Integer> cells = new LinkedHashSet<>();
        JsonElement list = in.get("cells");
        if (list != null) {
            if (!list.isJsonArray() || list.getAsJsonArray().isEmpty()) {
                throw in.wrong("cells", "must be a list with at least one number");
            }
            for (JsonElement cell : list.getAsJsonArray()) {
                if (numberOf(cell) != Math.rint(numberOf(cell))) {
                    throw in.wrong("cells", "must be a list of whole numbers");
                }
                cells.add((int) numberOf(cell));
            }
        }
        double[] ring = in.span("ring", 0, 1);
        JsonElement apart = in.get("apart");
        if (apart != null
                && !(apart.isJsonPrimitive() && apart.getAsJsonPrimitive().isBoolean())) {
            throw in.wrong("apart", "must be true or false");
        }
        Partition p = new Partition(
                name,
                known(in, "zones", in.texts("zones"), site.zones),
                known(in, "kinds", in.texts("kinds"), site.kinds),
                cells,
                ring[0],
                ring[1],
                apart != null && apart.getAsBoolean(),
                in.bounds("bounds", 100_000, 1e6, 3_600_000));
        in.end();
        if (!site.workers.isEmpty() && site.workers.stream().noneMatch(p::contains)) {
            throw new RoutingTableException(
                    Kind.EMPTY,
                    in.where,
                    "has no worker of the " + site.workers.size() + " that are listed",
                    "widen it, or list workers for it first");
        }
        return p;
    }

    private static void apart(Collection<Partition> all) throws RoutingTableException {
        for (Partition p : all) {
            for (Partition o : all) {
                // The one of all workers meets every other, and is nobody's word.
                if (p.exclusive() && p != o && !o.name().equals(ALL) && p.mayOverlap(o)) {
                    throw new RoutingTableException(
                            Kind.OVERLAP,
                            "partition " + p.name(),
                            "is to stand apart, and " + o.name() + " may share workers with it",
                            "part their zones, kinds, cells or rings," + " or take apart out");
                }
            }
        }
    }

    private Set<String> known(JsonSection in, String key, Set<String> names, Collection<String> of)
            throws RoutingTableException {
        for (String name : names) {
            if (!of.contains(name)) {
                throw new RoutingTableException(
                        Kind.UNKNOWN_NAME,
                        in.where,
                        key + ": " + name + " is not known",
                        "use one of " + of.stream().limit(20).toList() + ", or list it in the site first");
            }
        }
        return names;
    }

    private Rule rule(int place, JsonElement row, Map<String, Partition> partitions) throws RoutingTableException {
        JsonSection in = new JsonSection("rule " + (place + 1), row);
        String name = in.text("name", String.valueOf(place + 1));
        in = new JsonSection("rule " + name, row);
        in.get("name");
        String partition = in.text("to", ALL);
        known(in, "to", Set.of(partition), partitions.keySet());
        Order order = in.word("order", Order.NONE, Order.class);
        String key = attribute(in, in.text("key", "entity"));
        OnFailure failed =
                in.word("failed", order == Order.BY_KEY_STOP ? OnFailure.STOP : OnFailure.GO_ON, OnFailure.class);
        if (failed == OnFailure.STOP != (order == Order.BY_KEY_STOP)) {
            throw in.wrong("failed", "is stop if and only if order is by_key_stop");
        }
        long runs = (long) in.number("runs_ms", 1000, 1, 3.6e6);
        QueueLimits each = in.bounds("each_key", 100, 600, 600_000);
        List<String> spill = List.copyOf(known(in, "spill", in.texts("spill"), partitions.keySet()));
        if (order != Order.NONE && !spill.isEmpty()) {
            throw new RoutingTableException(
                    Kind.SPILL,
                    in.where,
                    "is ordered, and what is ordered never spills",
                    "take spill out; its jobs are refused while " + partition + " has no worker");
        }
        if (order == Order.NONE && (in.in.has("key") || in.in.has("failed") || in.in.has("each_key"))) {
            throw in.wrong("key, failed or each_key", "stands in a rule whose order is none");
        }
        Rule rule = new Rule(name, conditions(in), partition, order, key, failed, runs, each, spill);
        in.end();
        return rule;
    }

    private static String attribute(JsonSection in, String name) throws RoutingTableException {
        if (!List.of("class", "tenant", "entity", "path").contains(name)
                && !(name.startsWith(RequestAttributes.LABEL_PREFIX)
                        && name.length() > RequestAttributes.LABEL_PREFIX.length())) {
            throw new RoutingTableException(
                    Kind.UNKNOWN_NAME,
                    in.where,
                    "attribute " + name + " is not known",
                    "use class, tenant, entity, path or label.NAME");
        }
        return name;
    }

    private List<Condition> conditions(JsonSection rule) throws RoutingTableException {
        List<Condition> all = new ArrayList<>();
        JsonElement when = rule.get("when");
        JsonSection in = new JsonSection(rule.where, when == null ? new JsonObject() : when);
        for (String name : in.in.keySet()) {
            attribute(in, name);
            JsonElement e = in.get(name);
            boolean label = name.startsWith(RequestAttributes.LABEL_PREFIX);
            if (e != null && !e.isJsonObject()) {
                all.add(new Condition(name, oneOf(in, name, label, e)));
                continue;
            }
            JsonSection asks = new JsonSection(rule.where, e);
            JsonElement one = asks.get("in");
            if (one != null) {
                all.add(new Condition(name, oneOf(in, name, label, one)));
            }
            if (label && (asks.get("from") != null | asks.get("below") != null)) {
                all.add(new Condition(
                        name,
                        new AttributeMatcher.Range(
                                asks.number("from", -Double.MAX_VALUE, -Double.MAX_VALUE, Double.MAX_VALUE),
                                asks.number("below", Double.MAX_VALUE, -Double.MAX_VALUE, Double.MAX_VALUE))));
            }
            JsonElement prefix = label ? null : asks.get("prefix");
            if (prefix != null) {
                if (!string(prefix)) {
                    throw asks.wrong(name + ".prefix", "must be a string");
                }
                all.add(new Condition(name, new AttributeMatcher.Prefix(prefix.getAsString())));
                values++;
            }
            if (!label && asks.get("share") != null) {
                double[] share = asks.span("share", 0, 1);
                all.add(new Condition(name, new AttributeMatcher.Share(share[0], share[1])));
                values++;
            }
            asks.end();
            if (asks.in.size() == 0) {
                throw asks.wrong(name, "asks for nothing");
            }
        }
        if (values > MOST_VALUES) {
            throw new RoutingTableException(
                    Kind.TOO_LARGE,
                    rule.where,
                    "with it the table has more than " + MOST_VALUES + " values",
                    "use prefixes, ranges or shares in place of lists");
        }
        return List.copyOf(all);
    }

    private AttributeMatcher oneOf(JsonSection in, String name, boolean label, JsonElement e)
            throws RoutingTableException {
        Set<Object> all = new LinkedHashSet<>();
        List<JsonElement> list = e.isJsonArray() ? e.getAsJsonArray().asList() : List.of(e);
        for (JsonElement v : list) {
            if (label ? Double.isNaN(numberOf(v)) : !string(v)) {
                throw in.wrong(name, label ? "is a label, and labels are numbers" : "must be a string");
            }
            all.add(label ? (Object) numberOf(v) : v.getAsString());
        }
        if (all.isEmpty()) {
            throw in.wrong(name, "is a list without an entry");
        }
        values += all.size();
        Collection<String> names = name.equals("class") ? site.classes : name.equals("tenant") ? site.tenants : null;
        for (Object v : names == null ? Set.of() : all) {
            known(in, name, Set.of((String) v), names);
        }
        return new AttributeMatcher.OneOf(Set.copyOf(all));
    }

    /** What one partition's rules spill into another may not come back: both would push to and fro. */
    private static void spills(List<Rule> rules) throws RoutingTableException {
        Map<String, Set<String>> to = new LinkedHashMap<>();
        for (Rule rule : rules) {
            for (String spill : rule.spill()) {
                to.computeIfAbsent(rule.partition(), p -> new LinkedHashSet<>()).add(spill);
                if (reaches(spill, rule.partition(), to, new HashSet<>())) {
                    throw new RoutingTableException(
                            Kind.SPILL,
                            "rule " + rule.name(),
                            "spills from " + rule.partition() + " to " + spill + ", from where rules lead back",
                            "take one of the spills out");
                }
            }
        }
    }

    private static boolean reaches(String from, String end, Map<String, Set<String>> to, Set<String> seen) {
        if (from.equals(end)) {
            return true;
        }
        if (seen.add(from)) {
            for (String next : to.getOrDefault(from, Set.of())) {
                if (reaches(next, end, to, seen)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static boolean string(JsonElement e) {
        return e.isJsonPrimitive() && e.getAsJsonPrimitive().isString();
    }

    private static double numberOf(JsonElement e) {
        return e.isJsonPrimitive() && e.getAsJsonPrimitive().isNumber() ? e.getAsDouble() + 0.0 : Double.NaN;
    }
}
