package maplespread.release;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.release.FleetView.Role;

/**
 * How much may be out at once, leave and accidents together. A figure of out: under 1 a share of the members
 * it is about, rounded down, else a count. {@code leastCapacity}: share of the workers' full capacity that
 * stays. {@code worse...}: what is worse than before the release by more than that halts it; refusals and
 * errors as a difference of shares, waits as a part of the wait before.
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
    /** For a figure that is not to bind. */
    public static final double ANY = 1e9;

    public static final Limits DEFAULT = new Limits(1, 1, ANY, ANY, 0.7, 2_000, 120_000, 0.05, 0.02, 0.5);
    /** Binds nothing: what a plan does not name of its own limits. */
    public static final Limits NONE = new Limits(ANY, ANY, ANY, ANY, 0, 0, (long) ANY, ANY, ANY, ANY);

    public Limits {
        in("dispatchers_out", dispatchersOut, 0, ANY);
        in("workers_out", workersOut, 0, ANY);
        in("workers_out_zone", workersOutZone, 0, ANY);
        in("workers_out_kind", workersOutKind, 0, ANY);
        in("least_capacity", leastCapacity, 0, 1);
        in("quiet_ms", quietMs, 0, ANY);
        in("back_ms", backMs, 1, ANY);
        in("worse_refused", worseRefused, 0, ANY);
        in("worse_errors", worseErrors, 0, ANY);
        in("worse_wait", worseWait, 0, ANY);
    }

    private static void in(String key, double value, double from, double to) {
        if (!(value >= from && value <= to)) {
            throw new IllegalArgumentException(key + ": " + value + " is not in " + from + " to " + to);
        }
    }

    /** How many of n may be out. */
    static int allowed(double figure, int n) {
        return (int) Math.floor(figure < 1 ? figure * n + 1e-9 : Math.min(figure, n));
    }

    /** The first limit that these members out exceed, in words; empty: none. */
    String exceeded(Map<String, RolloutState.KnownMember> members, Set<String> out) {
        Map<String, int[]> groups = new TreeMap<>(); // figure's name -> members, out
        members.forEach((id, m) -> {
            int gone = out.contains(id) ? 1 : 0;
            for (String g : groups(m)) {
                int[] c = groups.computeIfAbsent(g, k -> new int[2]);
                c[0]++;
                c[1] += gone;
            }
        });
        for (Map.Entry<String, int[]> g : groups.entrySet()) {
            int most = allowed(figure(g.getKey()), g.getValue()[0]);
            if (g.getValue()[1] > most) {
                return g.getValue()[1] + " of " + g.getKey() + " would be out, " + most + " may";
            }
        }
        return "";
    }

    /** What could never move under these limits, in words; empty: nothing. */
    String impossible(Map<String, RolloutState.KnownMember> members, Set<String> named) {
        for (String id : named) {
            String e = exceeded(members, Set.of(id));
            if (!e.isEmpty()) {
                return id + " can never leave: " + e;
            }
        }
        double all = 0;
        double largest = 0;
        for (Map.Entry<String, RolloutState.KnownMember> m : members.entrySet()) {
            all += m.getValue().warmCapacity();
            largest =
                    Math.max(largest, named.contains(m.getKey()) ? m.getValue().warmCapacity() : 0);
        }
        return all - largest < leastCapacity * all
                ? "the largest worker can never leave: less than " + leastCapacity + " of all capacity would stay"
                : "";
    }

    private static String[] groups(RolloutState.KnownMember m) {
        return m.role() == Role.DISPATCHER
                ? new String[] {"the dispatchers"}
                : new String[] {"the workers", "the workers in zone " + m.zone(), "the workers of kind " + m.kind()};
    }

    private double figure(String group) {
        return group.equals("the dispatchers")
                ? dispatchersOut
                : group.equals("the workers")
                        ? workersOut
                        : group.startsWith("the workers in zone ") ? workersOutZone : workersOutKind;
    }
}
