package maplespread.starvation;

import java.util.Arrays;
import java.util.function.IntFunction;

/**
 * What the comparison has to know of the installation. {@code deadlinesMs}: by class; {@code allowancesPerS}: by
 * tenant, over the whole fleet, 0: none is set; {@code processes}: dispatchers there are; {@code kinds}: machine
 * kinds; a place is zone * kinds + kind. A number below {@link Verdict#ALL} stands for a whole zone or kind.
 */
public record FleetLayout(double[] deadlinesMs, double[] allowancesPerS, int processes, int kinds) {
    /** Zones have the even numbers from here downwards, kinds the odd ones below it. */
    private static final int FIRST_ZONE = -2;

    private static final int FIRST_KIND = -3;

    /** Copies the arrays. */
    public FleetLayout {
        deadlinesMs = deadlinesMs.clone();
        allowancesPerS = allowancesPerS.clone();
        processes = Math.max(1, processes);
    }

    /** All places of the place's zone, as one. */
    int allOfZone(int place) {
        return FIRST_ZONE - 2 * (place / kinds);
    }

    /** All places of the place's kind, as one. */
    int allOfKind(int place) {
        return FIRST_KIND - 2 * (place % kinds);
    }

    /** Whether a part (a place, a zone, a kind or all) has the place in it. */
    public boolean contains(int part, int place) {
        return part == Verdict.ALL || part == place || part == allOfZone(place) || part == allOfKind(place);
    }

    /** The part (a place, a zone, a kind or all) in words, by the names of zones and kinds. */
    public String describe(int part, IntFunction<String> zoneNames, IntFunction<String> kindNames) {
        if (part >= 0) {
            return zoneNames.apply(part / kinds) + "/" + kindNames.apply(part % kinds);
        }
        if (part == Verdict.ALL) {
            return "all";
        }
        return part % 2 == 0
                ? "zone " + zoneNames.apply((FIRST_ZONE - part) / 2)
                : "kind " + kindNames.apply((FIRST_KIND - part) / 2);
    }

    double deadlineMs(int requestClass) {
        return deadlinesMs[requestClass];
    }

    /** The tenant's allowance; 0: none is set. */
    double allowance(int tenant) {
        return tenant < allowancesPerS.length ? allowancesPerS[tenant] : 0;
    }

    /** All allowances together. */
    double allowances() {
        return Arrays.stream(allowancesPerS).sum();
    }
}
