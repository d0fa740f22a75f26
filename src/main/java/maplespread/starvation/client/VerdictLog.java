package maplespread.starvation.client;

import java.util.Locale;
import maplespread.log.Event;
import maplespread.starvation.FleetLayout;
import maplespread.starvation.PriorityBoost;
import maplespread.starvation.Verdict;

/** Writes verdicts and priority boosts to the log; docs/operators/starvation.md lists the fields. */
final class VerdictLog {
    private static final double CENTS = 100.0;

    private VerdictLog() {}

    /** A verdict of the scope has begun, changed or ended. */
    static void write(String scope, Verdict verdict, FleetLayout layout, long nowMs, SiteNames names) {
        Verdict.Statistics statistics = verdict.statistics();
        Event.write(
                verdict.kind() != Verdict.Kind.FINE,
                "starvation.verdict",
                "verdict",
                lowerCase(verdict.kind()),
                "tenant",
                names.tenant(verdict.tenant()),
                "class",
                names.requestClass(verdict.requestClass()),
                "place",
                names.place(layout, verdict.place()),
                "scope",
                scope,
                "for_ms",
                nowMs - verdict.sinceMs(),
                "jobs",
                statistics.requests(),
                "held",
                statistics.censored(),
                "own_ms",
                Math.round(statistics.ownMs()),
                "others_ms",
                Math.round(statistics.othersMs()),
                "elsewhere_ms",
                Double.isNaN(statistics.elsewhereMs()) ? null : Math.round(statistics.elsewhereMs()),
                "of_deadline",
                cents(statistics.effect()),
                "beyond_share",
                cents(statistics.overuse()),
                "heard",
                verdict.reportingProcesses(),
                "of",
                verdict.processes(),
                "partial",
                verdict.partial(),
                "do",
                verdict.kind().remedy());
    }

    /** A boost has begun, was lowered or has ended. */
    static void write(PriorityBoost.Change change, SiteNames names) {
        Event.write(
                change.kind() != PriorityBoost.Change.What.ENDED,
                "starvation.relief",
                "relief",
                lowerCase(change.kind()),
                "tenant",
                names.tenant(change.tenant()),
                "weight",
                cents(change.weight()),
                "for",
                change.victim() == Verdict.ALL ? null : names.tenant(change.victim()));
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private static double cents(double value) {
        return Math.round(value * CENTS) / CENTS;
    }
}
