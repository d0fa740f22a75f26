package maplespread.starvation;

import java.util.Arrays;

/**
 * What the comparison has to know of the installation. {@code deadlinesMs}: by class; {@code
 * allowancesPerS}: by tenant, over the whole fleet, 0: none is set; {@code processes}: dispatchers there are;
 * {@code kinds}: a place is zone * kinds + kind.
 */
public record FleetLayout(double[] deadlinesMs, double[] allowancesPerS, int processes, int kinds) {
    public FleetLayout {
        deadlinesMs = deadlinesMs.clone();
        allowancesPerS = allowancesPerS.clone();
        processes = Math.max(1, processes);
    }

    /** All places of the place's zone, as one. */
    int allOfZone(int place) {
        return -2 - 2 * (place / kinds);
    }

    /** All places of the place's kind, as one. */
    int allOfKind(int place) {
        return -3 - 2 * (place % kinds);
    }

    /** Whether a part (a place, a zone, a kind or all) has the place in it. */
    public boolean contains(int part, int place) {
        return part == Verdict.ALL || part == place || part == allOfZone(place) || part == allOfKind(place);
    }

    /** The part in words. */
    public String describe(
            int part, java.util.function.IntFunction<String> zones, java.util.function.IntFunction<String> kindNames) {
        if (part >= 0) {
            return zones.apply(part / kinds) + "/" + kindNames.apply(part % kinds);
        }
        return part == Verdict.ALL
                ? "all"
                : part % 2 == 0 ? "zone " + zones.apply(-(part + 2) / 2) : "kind " + kindNames.apply(-(part + 3) / 2);
    }

    double allowance(int tenant) {
        return tenant < allowancesPerS.length ? allowancesPerS[tenant] : 0;
    }

    double allowances() {
        return Arrays.stream(allowancesPerS).sum();
    }
}
