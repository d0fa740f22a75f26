package maplespread.release;

import com.google.gson.annotations.SerializedName;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.ServiceLevel;

/**
 * The agreed state of releases: the limits, the release, the members, and which of them are unavailable. Immutable;
 * only a {@link ReleaseCommand} derives a new state, from the newest one. Other versions of the program read the JSON
 * names of the components; {@code @SerializedName} keeps a JSON name that differs from the component's.
 *
 * @param limits the standing limits; null: none
 * @param release the release in progress, or the last one; null before the first
 * @param members known members, by name
 * @param plannedOutages granted outages that have not ended, by member
 * @param unplannedOutages members seen unavailable without a granted outage, by name
 * @param halt the halt in force; null: none
 * @param stabilityVersion a counter of the events that restart the quiet period
 * @param lastOutageNumber the number of the outage granted last; numbers increase
 * @param controlVersion a counter of operators' calls about a release and of halts
 * @param heartbeats a counter that increases while a release is in progress and a majority is reached
 * @param pastReleases ids of releases before this one, the newest last
 * @param log the latest log entries, the newest last
 */
public record RolloutState(
        Limits limits,
        Release release,
        SortedMap<String, KnownMember> members,
        @SerializedName("leaves") SortedMap<String, PlannedOutage> plannedOutages,
        @SerializedName("accidents") SortedMap<String, UnplannedOutage> unplannedOutages,
        Halt halt,
        @SerializedName("calm") long stabilityVersion,
        @SerializedName("grants") long lastOutageNumber,
        @SerializedName("acts") long controlVersion,
        @SerializedName("beats") long heartbeats,
        @SerializedName("ended") List<String> pastReleases,
        List<LogEntry> log) {

    /** The phase of a release. DONE, ROLLED_BACK and ABANDONED are final. */
    public enum Phase {
        RUNNING,
        HALTED,
        ROLLING_BACK,
        ABANDONING,
        DONE,
        ROLLED_BACK,
        ABANDONED
    }

    /**
     * A plan being carried out.
     *
     * @param plan the operator's plan
     * @param activePhase the phase, regardless of a halt; never HALTED
     * @param steps names of members, in the order of the steps towards the new version
     * @param openStep the index of the step that needs no further quiet period; {@link #NO_STEP}: none
     * @param attempts how often a member has returned without the target version, by name
     * @param baseline the service level before the release, with which halt conditions compare the current one
     */
    public record Release(
            ReleasePlan plan,
            @SerializedName("moves") Phase activePhase,
            List<List<String>> steps,
            @SerializedName("open") int openStep,
            @SerializedName("tries") SortedMap<String, Integer> attempts,
            @SerializedName("before") ServiceLevel baseline) {
        /** Copies the collections. */
        public Release {
            steps = List.copyOf(steps);
            attempts = sortedCopy(attempts);
        }

        /** Returns a copy in another phase. The next step needs a quiet period, and attempts are reset. */
        Release withPhase(Phase next) {
            return new Release(plan, next, steps, NO_STEP, new TreeMap<>(), baseline);
        }

        Release withOpenStep(int step) {
            return new Release(plan, activePhase, steps, step, attempts, baseline);
        }

        /** Returns a copy with other steps. The next step needs a quiet period. */
        Release withSteps(List<List<String>> next) {
            return new Release(plan, activePhase, next, NO_STEP, attempts, baseline);
        }

        /** Returns a copy with other attempts. The next step needs a quiet period. */
        Release withAttempts(SortedMap<String, Integer> next) {
            return new Release(plan, activePhase, steps, NO_STEP, next, baseline);
        }

        Release withBaseline(ServiceLevel next) {
            return new Release(plan, activePhase, steps, openStep, attempts, next);
        }

        boolean includes(String member) {
            return steps.stream().anyMatch(step -> step.contains(member));
        }
    }

    /**
     * The recorded attributes of a member.
     *
     * @param warmCapacity the work per second of a warm worker; 0 for dispatchers
     * @param incarnation the latest reported incarnation
     * @param updated whether the member has the target version of the release, so that a rollback would change it
     */
    public record KnownMember(
            String address,
            Role role,
            String zone,
            String kind,
            String cell,
            @SerializedName("full") double warmCapacity,
            @SerializedName("run") long incarnation,
            @SerializedName("changed") boolean updated) {
        KnownMember withUpdated(boolean next) {
            return new KnownMember(address, role, zone, kind, cell, warmCapacity, incarnation, next);
        }
    }

    /**
     * A granted outage. Its member may drain and restart, and counts as unavailable until it has returned.
     *
     * @param number the number that drains refer to; increases with every grant
     * @param incarnation the incarnation that may be drained; 0: none
     * @param release the id of the release that the outage was granted for; empty: granted by an operator's call
     * @param why the phase of that release at the time of the grant, or the operator's reason
     */
    public record PlannedOutage(
            long number, @SerializedName("run") long incarnation, String release, String why) {
        /** Returns a copy for the replacement of the member, by which no process may be drained. */
        PlannedOutage withoutIncarnation() {
            return new PlannedOutage(number, 0, release, why);
        }
    }

    /** An outage that was not granted: the instance or operator that reported it, and what was reported. */
    public record UnplannedOutage(String by, String why) {}

    /** A halt, during which no outage is granted; {@code number} is the control version of the halt. */
    public record Halt(long number, String by, String why) {}

    /** An entry of the log: who did what, and the reason given. */
    public record LogEntry(String by, String what, String why) {}

    /** The index of a step where there is none. */
    public static final int NO_STEP = -1;
    /** The state before the first command. */
    public static final RolloutState EMPTY =
            new RolloutState(null, null, null, null, null, null, 0, 0, 0, 0, null, null);

    /** Copies the collections. Null, where an older version wrote no value, becomes empty. */
    public RolloutState {
        members = sortedCopy(members);
        plannedOutages = sortedCopy(plannedOutages);
        unplannedOutages = sortedCopy(unplannedOutages);
        pastReleases = pastReleases == null ? List.of() : List.copyOf(pastReleases);
        log = log == null ? List.of() : List.copyOf(log);
    }

    private static <V> SortedMap<String, V> sortedCopy(SortedMap<String, V> map) {
        return Collections.unmodifiableSortedMap(map == null ? new TreeMap<>() : new TreeMap<>(map));
    }

    /**
     * Parses the output of {@link #toText}; "" is the empty state.
     *
     * @throws RuntimeException where the text is not a valid state
     */
    public static RolloutState parse(String text) {
        return text.isEmpty() ? EMPTY : RolloutStateCodec.decode(text);
    }

    /** The text that is stored in the replicated value. */
    public String toText() {
        return RolloutStateCodec.encode(this);
    }

    /** HALTED, or the release's phase; null before the first release. */
    public Phase phase() {
        if (release == null) {
            return null;
        }
        return inProgress() && halt != null ? Phase.HALTED : release.activePhase;
    }

    /** Whether there is a release that is not yet done, rolled back or abandoned. */
    public boolean inProgress() {
        return release != null
                && (release.activePhase == Phase.RUNNING
                        || release.activePhase == Phase.ROLLING_BACK
                        || release.activePhase == Phase.ABANDONING);
    }

    /** The standing limits and those of the release in progress; all of them apply. */
    public List<Limits> limitsInForce() {
        List<Limits> inForce = new ArrayList<>();
        if (limits != null) {
            inForce.add(limits);
        }
        if (inProgress() && release.plan.limits() != null) {
            inForce.add(release.plan.limits());
        }
        return inForce;
    }

    /** The longest quiet period in force, in ms. */
    public long quietMs() {
        return limitsInForce().stream().mapToLong(Limits::quietMs).max().orElse(0);
    }

    /** The shortest time limit in force for a member's return, in ms. */
    public long backMs() {
        return limitsInForce().stream().mapToLong(Limits::backMs).min().orElse(Long.MAX_VALUE);
    }

    /** The members with an outage, planned or unplanned, in a new set. */
    public Set<String> unavailableMembers() {
        Set<String> unavailable = new TreeSet<>(plannedOutages.keySet());
        unavailable.addAll(unplannedOutages.keySet());
        return unavailable;
    }

    /** The members of the release that have its target version. */
    public Set<String> updatedMembers() {
        return membersWhereUpdatedIs(true);
    }

    /** The members of the release that still have to change, with or without a granted outage. */
    public Set<String> pendingMembers() {
        if (release == null || release.activePhase == Phase.ABANDONING) {
            return Set.of();
        }
        boolean rollsBack = release.activePhase == Phase.ROLLING_BACK || release.activePhase == Phase.ROLLED_BACK;
        return membersWhereUpdatedIs(rollsBack);
    }

    private Set<String> membersWhereUpdatedIs(boolean updated) {
        Set<String> found = new TreeSet<>();
        if (release != null) {
            for (List<String> step : release.steps) {
                for (String member : step) {
                    if (members.get(member).updated == updated) {
                        found.add(member);
                    }
                }
            }
        }
        return found;
    }

    /**
     * The index of the current step: the first one with a member that is pending or has an outage granted for a
     * release, or the last such one while the release rolls back. {@link #NO_STEP}: none is left.
     */
    public int currentStep() {
        if (!inProgress()) {
            return NO_STEP;
        }
        Set<String> pending = pendingMembers();
        int count = release.steps.size();
        for (int i = 0; i < count; i++) {
            int step = release.activePhase == Phase.ROLLING_BACK ? count - 1 - i : i;
            for (String member : release.steps.get(step)) {
                if (pending.contains(member) || hasOutageOfRelease(member)) {
                    return step;
                }
            }
        }
        return NO_STEP;
    }

    private boolean hasOutageOfRelease(String member) {
        PlannedOutage outage = plannedOutages.get(member);
        return outage != null && !outage.release.isEmpty();
    }
}
