package maplespread.starvation;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.Verdict.Statistics;

/** Finds tenants whose requests take longer than the others' because their own work is longer. */
final class LongRequests {
    private static final double MIN_Z_SCORE = 6;
    private static final int MIN_REQUESTS = 50;

    /** Number, sum and sum of squares of the requests' own work, ms. */
    private static final class Work {
        double requests;
        double sumMs;
        double squaresMs;

        void add(int count, double workMs) {
            requests += count;
            sumMs += count * workMs;
            squaresMs += count * workMs * workMs;
        }

        void add(Work other) {
            requests += other.requests;
            sumMs += other.sumMs;
            squaresMs += other.squaresMs;
        }
    }

    private final DetectionRound round;

    LongRequests(DetectionRound round) {
        this.round = round;
    }

    /** Adds a finding for each such tenant and class that has no other finding for all places. */
    void find() {
        Map<Integer, Map<Integer, Work>> byClass = new TreeMap<>();
        for (PlaceGroup group : round.groups) {
            Map<Integer, Work> byTenant = byClass.computeIfAbsent(group.requestClass, c -> new HashMap<>());
            group.tenants.forEach((tenant, bands) -> {
                Work work = byTenant.computeIfAbsent(tenant, t -> new Work());
                for (int band = 1; band < PlaceGroup.BANDS; band++) { // band 0: the work is not known
                    int count = bands[band] == null ? 0 : bands[band].total();
                    work.add(count, CellCode.bandMiddleMs(band));
                }
            });
        }
        byClass.forEach((requestClass, byTenant) -> {
            Work all = new Work();
            byTenant.values().forEach(all::add);
            byTenant.forEach((tenant, own) -> judge(new Subject(tenant, requestClass, Verdict.ALL), own, all));
        });
    }

    private void judge(Subject subject, Work own, Work all) {
        double others = all.requests - own.requests;
        if (own.requests < MIN_REQUESTS
                || others < TenantComparison.MIN_OTHERS
                || round.findings.containsKey(subject)) {
            return;
        }
        double ownMeanMs = own.sumMs / own.requests;
        double othersMeanMs = (all.sumMs - own.sumMs) / others;
        double variance = Math.max(0, (all.squaresMs - own.squaresMs) / others - othersMeanMs * othersMeanMs);
        double longerMs = ownMeanMs - othersMeanMs;
        double deadlineMs = round.layout.deadlineMs(subject.requestClass());
        boolean partial = longerMs >= round.minEffect / 2 * deadlineMs
                && longerMs / Math.sqrt(variance / own.requests) >= MIN_Z_SCORE;
        if (partial) {
            Statistics statistics = new Statistics(
                    (int) own.requests,
                    0,
                    (int) others,
                    0,
                    ownMeanMs,
                    othersMeanMs,
                    longerMs,
                    longerMs / deadlineMs,
                    Double.NaN,
                    1,
                    round.overuse(subject.tenant()));
            boolean clear = longerMs >= round.minEffect * deadlineMs;
            round.findings.put(subject, Finding.of(Kind.LONG_JOBS, clear, statistics));
        }
    }
}
