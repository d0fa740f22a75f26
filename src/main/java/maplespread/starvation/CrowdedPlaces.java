package maplespread.starvation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.starvation.LogRankComparison.Stratum;
import maplespread.starvation.LogRankComparison.Sum;
import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.Verdict.Statistics;

/**
 * Finds places that are slow for all tenants: slower than the class's other places, or taking half of the
 * deadline. Whoever is starved in a place is left out of it. Tenants that overload a crowded place are named.
 */
final class CrowdedPlaces {
    /** Significance by which a verdict that stands is kept. */
    private static final double PARTIAL_LEVEL = 0.01;

    /** Share of the deadline from which a mean wait is too long, whatever it is in other places. */
    private static final double MAX_DEADLINE_SHARE = 0.5;

    private final DetectionRound round;

    CrowdedPlaces(DetectionRound round) {
        this.round = round;
    }

    /** Adds the findings of all places; those of starved tenants must be there already. */
    void find() {
        Map<Integer, List<PlaceGroup>> byClass = new TreeMap<>();
        round.groups.forEach(group -> byClass.computeIfAbsent(group.requestClass, c -> new ArrayList<>())
                .add(group));
        byClass.forEach((requestClass, groups) -> {
            Stratum[] allPlaces = allPlaces(groups, round.layout.deadlineMs(requestClass));
            groups.forEach(group -> judge(group, allPlaces));
        });
    }

    /** By band the waits of all places together; null where there are none. */
    private static Stratum[] allPlaces(List<PlaceGroup> groups, double deadlineMs) {
        Stratum[] strata = new Stratum[PlaceGroup.BANDS];
        for (int band = 0; band < PlaceGroup.BANDS; band++) {
            WaitHistogram total = new WaitHistogram();
            for (PlaceGroup group : groups) {
                if (group.totals[band] != null) {
                    total.add(group.totals[band], 1);
                }
            }
            strata[band] = total.total() == 0 ? null : new Stratum(total, deadlineMs);
        }
        return strata;
    }

    private void judge(PlaceGroup group, Stratum[] allPlaces) {
        double deadlineMs = round.layout.deadlineMs(group.requestClass);
        Sum sum = new Sum();
        double waitSum = 0;
        int requests = 0;
        for (int band = 0; band < PlaceGroup.BANDS; band++) {
            if (group.totals[band] == null) {
                continue;
            }
            WaitHistogram waits = withoutStarved(group, band);
            LogRankComparison.add(sum, allPlaces[band], waits, 1);
            waitSum += waits.total() * new Stratum(waits, deadlineMs).meanMs;
            requests += waits.total();
        }
        if (requests < TenantComparison.MIN_OTHERS) {
            return;
        }
        double deadlineShare = waitSum / requests / deadlineMs;
        double pValue = sum.pValue(round.varianceInflation);
        boolean clear = round.hasEffect(sum) && pValue <= round.level || deadlineShare >= MAX_DEADLINE_SHARE;
        boolean partial = round.hasPartialEffect(sum) && pValue <= PARTIAL_LEVEL
                || deadlineShare >= MAX_DEADLINE_SHARE / 2 && clear;
        Subject subject = group.subject(Verdict.ALL);
        round.known.add(subject);
        if (!partial) {
            return;
        }
        Statistics statistics = new Statistics(
                requests,
                sum.censored,
                sum.others,
                sum.othersCensored,
                waitSum / requests,
                sum.othersMs(),
                sum.excessWaitMs(),
                Math.max(sum.effect(), deadlineShare),
                Double.NaN,
                pValue,
                0);
        round.findings.put(subject, Finding.of(Kind.CROWDED, clear, statistics));
        nameOverusers(group, clear, requests, statistics);
    }

    private WaitHistogram withoutStarved(PlaceGroup group, int band) {
        WaitHistogram waits = new WaitHistogram();
        waits.add(group.totals[band], 1);
        group.tenants.forEach((tenant, bands) -> {
            Finding finding = round.findings.get(group.subject(tenant));
            if (bands[band] != null && finding != null && finding.partial() == Kind.STARVED) {
                waits.add(bands[band], -1);
            }
        });
        return waits;
    }

    /** A tenant that asks more than its share of a crowded place has a finding of its own. */
    private void nameOverusers(PlaceGroup group, boolean clear, int requests, Statistics place) {
        group.tenants.forEach((tenant, bands) -> {
            Subject subject = group.subject(tenant);
            double overuse = round.certainOveruse(tenant);
            boolean named = overuse >= StarvationDetector.OVERUSE_SHARE
                    && round.known.contains(subject)
                    && !round.findings.containsKey(subject);
            if (named) {
                int own = Arrays.stream(bands)
                        .mapToInt(band -> band == null ? 0 : band.total())
                        .sum();
                Statistics statistics = new Statistics(
                        own,
                        0,
                        requests - own,
                        0,
                        place.ownMs(),
                        place.othersMs(),
                        place.excessWaitMs(),
                        place.effect(),
                        Double.NaN,
                        1,
                        overuse);
                round.findings.put(subject, Finding.of(Kind.BEYOND_SHARE, clear, statistics));
            }
        });
    }
}
