package maplespread.starvation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.starvation.Verdict.Kind;
import maplespread.starvation.Verdict.Statistics;

/**
 * Keeps verdicts from flapping: one begins after it was clear in two rounds in a row, and ends after three
 * rounds in which not even half of it was seen.
 */
final class VerdictHysteresis {
    private static final int ROUNDS_TO_BEGIN = 2;
    private static final int ROUNDS_TO_END = 3;

    /** A subject's verdict, and the one that may replace it. */
    private static final class Standing {
        Kind kind = Kind.FINE;
        Kind candidate = Kind.FINE;
        int candidateRounds;
        int roundsUnseen;
        long sinceMs;
        long candidateSinceMs;
        Statistics statistics = Statistics.NONE;
    }

    private final Map<Subject, Standing> standings = new HashMap<>();
    private final int processes;
    private int reportingProcesses;

    VerdictHysteresis(int processes) {
        this.processes = processes;
    }

    /**
     * Takes one round's findings, made of windows of so many processes; returns the verdicts that have begun,
     * changed or ended. {@code known}: the subjects of which the round could say something.
     */
    List<Verdict> update(long nowMs, int reporting, Map<Subject, Finding> findings, Set<Subject> known) {
        reportingProcesses = reporting;
        List<Verdict> changes = new ArrayList<>();
        Set<Subject> subjects = new HashSet<>(standings.keySet());
        subjects.addAll(findings.keySet());
        for (Subject subject : subjects) {
            Standing standing = standings.computeIfAbsent(subject, k -> new Standing());
            Finding finding = findings.get(subject);
            recordFinding(nowMs, standing, finding);
            Kind next = nextKind(standing, known.contains(subject));
            if (next != standing.kind) {
                if (standing.candidateRounds >= ROUNDS_TO_BEGIN) {
                    standing.statistics = finding.statistics();
                }
                standing.sinceMs = next == standing.candidate ? standing.candidateSinceMs : nowMs;
                standing.kind = next;
                standing.roundsUnseen = 0;
                changes.add(verdict(subject, standing));
            }
        }
        standings.values().removeIf(s -> s.kind == Kind.FINE && s.candidateRounds == 0);
        return changes;
    }

    private static void recordFinding(long nowMs, Standing standing, Finding finding) {
        boolean seen = finding != null && (finding.partial() == standing.kind || finding.clear() == standing.kind);
        if (seen) {
            standing.statistics = finding.statistics();
        }
        standing.roundsUnseen = seen ? 0 : standing.roundsUnseen + 1;
        Kind clear = finding == null ? null : finding.clear();
        if (clear == null || clear == standing.kind) {
            standing.candidateRounds = 0;
            standing.candidate = Kind.FINE;
        } else if (clear == standing.candidate) {
            standing.candidateRounds++;
        } else {
            standing.candidate = clear;
            standing.candidateSinceMs = nowMs;
            standing.candidateRounds = 1;
        }
    }

    private static Kind nextKind(Standing standing, boolean known) {
        if (standing.candidateRounds >= ROUNDS_TO_BEGIN) {
            return standing.candidate;
        }
        if (standing.kind == Kind.FINE || standing.roundsUnseen < ROUNDS_TO_END) {
            return standing.kind;
        }
        return known || standing.kind == Kind.NOT_KNOWN ? Kind.FINE : Kind.NOT_KNOWN;
    }

    private Verdict verdict(Subject subject, Standing standing) {
        return new Verdict(
                standing.kind,
                subject.tenant(),
                subject.requestClass(),
                subject.place(),
                standing.sinceMs,
                standing.statistics,
                reportingProcesses,
                processes);
    }

    /** All verdicts that stand. */
    List<Verdict> active() {
        List<Verdict> all = new ArrayList<>();
        standings.forEach((subject, standing) -> {
            if (standing.kind != Kind.FINE) {
                all.add(verdict(subject, standing));
            }
        });
        return all;
    }

    /** The subject's verdict; {@link Kind#FINE} where none stands. */
    Kind kindOf(Subject subject) {
        Standing standing = standings.get(subject);
        return standing == null ? Kind.FINE : standing.kind;
    }
}
