package maplespread.release;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.release.FleetView.Role;
import maplespread.release.RolloutState.KnownMember;

/**
 * Limits on the members that are unavailable at the same time, with or without a granted outage, and on the conditions
 * that halt a release automatically. A maximum below 1 is a share of the members that it applies to, rounded down;
 * otherwise it is a count. The component names are JSON names of the agreed state and are shown in the log.
 *
 * @param leastCapacity the minimum share of the workers' warm capacity that must remain, 0 to 1
 * @param quietMs the quiet period after each step, outage and resumption, during which no outage is granted
 * @param backMs the maximum duration of a granted outage; a longer one halts the release
 * @param worseRefused the increase of the share of rejections over the baseline that halts the release
 * @param worseErrors the increase of the share of errors over the baseline that halts the release
 * @param worseWait the relative increase of the mean wait over the baseline that halts the release
 */
public record Limits(
        double dispatchersOut,
        double workersOut,
        double workersOutZone,
        double workersOutKind,
        double leastCapacity,
        long quietMs,
        long backMs,
        double worseRefused,
        double worseErrors,
        double worseWait) {
    /** The value of a maximum that does not restrict anything. */
    public static final double ANY = 1e9;
    /** The standing limits of an operators' file that specifies none. */
    public static final Limits DEFAULT = new Limits(1, 1, ANY, ANY, 0.7, 2_000, 120_000, 0.05, 0.02, 0.5);
    /** No restrictions; the defaults of a plan's limits. */
    public static final Limits NONE = new Limits(ANY, ANY, ANY, ANY, 0, 0, (long) ANY, ANY, ANY, ANY);

    /** Compensates for floating-point errors in a share times a count, before it is rounded down. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Counts the members that a maximum applies to, and the unavailable ones among them. */
    private static final class Group {
        private final double maximum;
        private int members;
        private int unavailable;

        Group(double maximum) {
            this.maximum = maximum;
        }

        void count(boolean isUnavailable) {
            members++;
            if (isUnavailable) {
                unavailable++;
            }
        }
    }

    /** The name of a group of members, as shown to operators, and its maximum. */
    private record Maximum(String group, double value) {}

    /**
     * Checks every value.
     *
     * @throws IllegalArgumentException where a value is out of its range, with its key
     */
    public Limits {
        requireRange("dispatchers_out", dispatchersOut, 0, ANY);
        requireRange("workers_out", workersOut, 0, ANY);
        requireRange("workers_out_zone", workersOutZone, 0, ANY);
        requireRange("workers_out_kind", workersOutKind, 0, ANY);
        requireRange("least_capacity", leastCapacity, 0, 1);
        requireRange("quiet_ms", quietMs, 0, ANY);
        requireRange("back_ms", backMs, 1, ANY);
        requireRange("worse_refused", worseRefused, 0, ANY);
        requireRange("worse_errors", worseErrors, 0, ANY);
        requireRange("worse_wait", worseWait, 0, ANY);
    }

    private static void requireRange(String key, double value, double min, double max) {
        if (!(value >= min && value <= max)) { // This form rejects NaN.
            throw new IllegalArgumentException(key + ": " + value + " is not in " + min + " to " + max);
        }
    }

    /** How many of {@code count} members may be unavailable under this maximum. */
    static int allowed(double maximum, int count) {
        double allowed = maximum < 1 ? maximum * count + ROUNDING_TOLERANCE : Math.min(maximum, count);
        return (int) Math.floor(allowed);
    }

    /** Describes to operators the first maximum that these unavailable members exceed; empty: none. */
    String firstExceeded(Map<String, KnownMember> members, Set<String> unavailable) {
        Map<String, Group> groups = new TreeMap<>();
        members.forEach((name, member) -> {
            for (Maximum maximum : maximaFor(member)) {
                groups.computeIfAbsent(maximum.group(), group -> new Group(maximum.value()))
                        .count(unavailable.contains(name));
            }
        });
        for (Map.Entry<String, Group> entry : groups.entrySet()) {
            Group group = entry.getValue();
            int allowed = allowed(group.maximum, group.members);
            if (group.unavailable > allowed) {
                return group.unavailable + " of " + entry.getKey() + " would be out, " + allowed + " may";
            }
        }
        return "";
    }

    private List<Maximum> maximaFor(KnownMember member) {
        if (member.role() == Role.DISPATCHER) {
            return List.of(new Maximum("the dispatchers", dispatchersOut));
        }
        return List.of(
                new Maximum("the workers", workersOut),
                new Maximum("the workers in zone " + member.zone(), workersOutZone),
                new Maximum("the workers of kind " + member.kind(), workersOutKind));
    }

    /** Describes to operators what these limits can never allow of a plan for these members; empty: nothing. */
    String firstInfeasible(Map<String, KnownMember> members, Set<String> planned) {
        for (String name : planned) {
            String exceeded = firstExceeded(members, Set.of(name));
            if (!exceeded.isEmpty()) {
                return name + " can never leave: " + exceeded;
            }
        }
        double total = 0;
        double largest = 0;
        for (Map.Entry<String, KnownMember> entry : members.entrySet()) {
            double capacity = entry.getValue().warmCapacity();
            total += capacity;
            if (planned.contains(entry.getKey())) {
                largest = Math.max(largest, capacity);
            }
        }
        if (total - largest < leastCapacity * total) {
            return "the largest worker can never leave: less than " + leastCapacity + " of all capacity would stay";
        }
        return "";
    }
}
