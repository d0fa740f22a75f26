package maplespread.release;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.release.FleetView.Role;
import maplespread.release.RolloutState.KnownMember;

/**
 * How many members may be unavailable at once, with a granted outage or without, and what halts a release by itself.
 * Below 1 a maximum is a share of the members that it is about, rounded down; else it is a count. The component names
 * are JSON names of the agreed state and are shown in the log.
 *
 * @param leastCapacity share of the workers' warm capacity that must remain, 0 to 1
 * @param quietMs after each step, outage and resumption nothing is granted for this long
 * @param backMs a member with a granted outage for longer halts the release
 * @param worseRefused halts where rejections exceed those before the release by this share of all answers
 * @param worseErrors the same of errors
 * @param worseWait halts where the mean wait exceeds that before the release by this part of it
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
    /** For a limit that is not to bind. */
    public static final double ANY = 1e9;
    /** The standing limits of an operators' file that names none of its own. */
    public static final Limits DEFAULT = new Limits(1, 1, ANY, ANY, 0.7, 2_000, 120_000, 0.05, 0.02, 0.5);
    /** Binds nothing: what a plan does not limit. */
    public static final Limits NONE = new Limits(ANY, ANY, ANY, ANY, 0, 0, (long) ANY, ANY, ANY, ANY);

    /** Makes up for the rounding of a share times a count, before it is rounded down. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    /** Members that one maximum is about, and how many of them are unavailable. */
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

    /** The name of a group of members, as operators read it, and its maximum. */
    private record Maximum(String group, double value) {}

    /**
     * Checks every value.
     *
     * @throws IllegalArgumentException with the key of one that is out of its range
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
        if (!(value >= min && value <= max)) { // NaN fails too
            throw new IllegalArgumentException(key + ": " + value + " is not in " + min + " to " + max);
        }
    }

    /** How many of {@code count} members may be unavailable under this maximum. */
    static int allowed(double maximum, int count) {
        double allowed = maximum < 1 ? maximum * count + ROUNDING_TOLERANCE : Math.min(maximum, count);
        return (int) Math.floor(allowed);
    }

    /** The first maximum that these unavailable members exceed, as operators read it; empty: none. */
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

    /** What these limits would never allow of a plan with these members, as operators read it; empty: nothing. */
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
