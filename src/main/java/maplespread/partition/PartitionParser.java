package maplespread.partition;

import com.google.gson.JsonElement;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import maplespread.partition.RoutingTableException.Kind;
import maplespread.partition.RoutingTableParser.SiteNames;

/** Parses the partitions of a routing table, and checks them against the site and against each other. */
final class PartitionParser {
    /** Name of the partition of all workers, which always exists. */
    static final String ALL = "all";

    private static final int DEFAULT_MAX_REQUESTS = 100_000;
    private static final double DEFAULT_MAX_WORK_S = 1e6;
    private static final long DEFAULT_MAX_AGE_MS = 3_600_000;
    private static final double MS_PER_S = 1000;

    private final SiteNames site;

    PartitionParser(SiteNames site) {
        this.site = site;
    }

    static Partition allWorkers() {
        QueueLimits limits = new QueueLimits(DEFAULT_MAX_REQUESTS, DEFAULT_MAX_WORK_S * MS_PER_S, DEFAULT_MAX_AGE_MS);
        return new Partition(ALL, Set.of(), Set.of(), Set.of(), 0, 1, false, limits);
    }

    Partition parse(String name, JsonSection section) throws RoutingTableException {
        Set<Integer> cells = cells(section);
        JsonSection.Interval ring = section.interval("ring", 0, 1);
        boolean exclusive = exclusive(section);
        Partition partition = new Partition(
                name,
                SiteNameCheck.requireKnown(section, "zones", section.strings("zones"), site.zones()),
                SiteNameCheck.requireKnown(section, "kinds", section.strings("kinds"), site.kinds()),
                cells,
                ring.from(),
                ring.below(),
                exclusive,
                section.limits("bounds", DEFAULT_MAX_REQUESTS, DEFAULT_MAX_WORK_S, DEFAULT_MAX_AGE_MS));
        section.rejectUnknownKeys();
        if (!site.workers().isEmpty() && site.workers().stream().noneMatch(partition::contains)) {
            throw new RoutingTableException(
                    Kind.EMPTY,
                    section.where,
                    "has no worker of the " + site.workers().size() + " that are listed",
                    "widen it, or list workers for it first");
        }
        return partition;
    }

    private static Set<Integer> cells(JsonSection section) throws RoutingTableException {
        Set<Integer> cells = new LinkedHashSet<>();
        JsonElement list = section.get("cells");
        if (list == null) {
            return cells;
        }
        if (!JsonSection.isFilledArray(list)) {
            throw section.malformed("cells", "must be a list with at least one number");
        }
        for (JsonElement entry : list.getAsJsonArray()) {
            double cell = JsonSection.numberOf(entry);
            if (cell != Math.rint(cell)) { // NaN fails too
                throw section.malformed("cells", "must be a list of whole numbers");
            }
            cells.add((int) cell);
        }
        return cells;
    }

    private static boolean exclusive(JsonSection section) throws RoutingTableException {
        JsonElement value = section.get("apart");
        if (value == null) {
            return false;
        }
        if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
            throw section.malformed("apart", "must be true or false");
        }
        return value.getAsBoolean();
    }

    /**
     * Checks that no exclusive partition may share workers with another. The partition of all workers overlaps with
     * every other one and is exempt.
     */
    static void checkExclusive(Collection<Partition> partitions) throws RoutingTableException {
        for (Partition partition : partitions) {
            for (Partition other : partitions) {
                boolean mustBeDisjoint =
                        !other.name().equals(partition.name()) && !other.name().equals(ALL);
                if (partition.exclusive() && mustBeDisjoint && partition.mayOverlap(other)) {
                    throw new RoutingTableException(
                            Kind.OVERLAP,
                            "partition " + partition.name(),
                            "is to stand apart, and " + other.name() + " may share workers with it",
                            "part their zones, kinds, cells or rings, or take apart out");
                }
            }
        }
    }
}
