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
 * What the fleet has agreed on about releases: the limits, the release, the members, and who of them is unavailable.
 * Immutable; it is changed by {@link ReleaseCommand}s alone, each applied to the newest state. Other versions of the
 * program read the JSON names of the components, which {@code @SerializedName} keeps where the component has another.
 *
 * @param limits the standing limits; null where there are none
 * @param release the release in progress, or the last one; null before the first
 * @param members by name
 * @param plannedOutages granted outages that have not ended, by member
 * @param unplannedOutages members seen unavailable without a granted outage, by name
 * @param halt null where nothing is halted
 * @param stabilityVersion grows with every event that restarts the quiet period
 * @param lastOutageNumber of the outage granted last; the numbers grow
 * @param controlVersion grows with every operator's call about a release and every halt
 * @param heartbeats grows while a release is in progress and a majority is reached
 * @param pastReleases ids of releases before this one, the newest last
 * @param log the newest acts, the newest last
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

    /** Where a release stands. DONE, ROLLED_BACK and ABANDONED are final. */
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
     * @param plan what the operator asked for
     * @param activePhase the phase without regard to a halt
     * @param steps members by name, in the order in which the steps are taken on the way to the new version
     * @param openStep the step whose members need no quiet period any more; {@link #NO_STEP}: none
     * @param attempts how often a member has come back other than wanted, by name
     * @param baseline the service level before the release, which halts are judged by
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

        /** The same in another phase; the next step needs a quiet period, and attempts count anew. */
        Release withPhase(Phase next) {
            return new Release(plan, next, steps, NO_STEP, new TreeMap<>(), baseline);
        }

        Release withOpenStep(int step) {
            return new Release(plan, activePhase, steps, step, attempts, baseline);
        }

        /** The same with other steps; the next one needs a quiet period. */
        Release withSteps(List<List<String>> next) {
            return new Release(plan, activePhase, next, NO_STEP, attempts, baseline);
        }

        /** The same with other attempts; the next step needs a quiet period. */
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
     * A member of the fleet, as the state knows it.
     *
     * @param warmCapacity work a second that it can do when warm; dispatchers: 0
     * @param incarnation the latest start of its process that was reported
     * @param updated whether it is what the release leads to, and would have to be changed by a rollback
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
     * A granted outage: its member may drain and restart, and counts as unavailable until it is back.
     *
     * @param number grows with every grant; a drain names it
     * @param incarnation the one that may be drained; 0: none any more
     * @param release the id of the release that it was granted for; empty: an operator's call
     * @param why the phase of that release when it was granted, or the operator's words
     */
    public record PlannedOutage(
            long number, @SerializedName("run") long incarnation, String release, String why) {
        /** The same for whatever has replaced its member: no process may be drained by it. */
        PlannedOutage withoutIncarnation() {
            return new PlannedOutage(number, 0, release, why);
        }
    }

    /** Unavailable without a granted outage: which instance reported it, and what it saw. */
    public record UnplannedOutage(String by, String why) {}

    /** Nothing is granted while this is set; {@code number}: the control version that it came with. */
    public record Halt(long number, String by, String why) {}

    /** One act: who did what, and the reason given. */
    public record LogEntry(String by, String what, String why) {}

    /** For the index of a step: there is none. */
    public static final int NO_STEP = -1;
    /** The state of a fleet that has agreed on nothing yet. */
    public static final RolloutState EMPTY =
            new RolloutState(null, null, null, null, null, null, 0, 0, 0, 0, null, null);

    /** Copies the collections; null, as where an older version wrote none: empty. */
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
     * Reads what {@link #toText} wrote; "" is the empty state.
     *
     * @throws RuntimeException where the text is no state
     */
    public static RolloutState parse(String text) {
        return text.isEmpty() ? EMPTY : RolloutStateCodec.decode(text);
    }

    /** The form that is kept in the replicated register. */
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

    /** The standing limits and those of the release in progress: each of them binds. */
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

    /** The shortest time in force within which a member has to be back, in ms. */
    public long backMs() {
        return limitsInForce().stream().mapToLong(Limits::backMs).min().orElse(Long.MAX_VALUE);
    }

    /** A new set of the members with an outage, planned or not. */
    public Set<String> unavailableMembers() {
        Set<String> unavailable = new TreeSet<>(plannedOutages.keySet());
        unavailable.addAll(unplannedOutages.keySet());
        return unavailable;
    }

    /** The release's members that are what it leads to. */
    public Set<String> updatedMembers() {
        return membersWhereUpdatedIs(true);
    }

    /** The release's members that have still to change, with a granted outage or without. */
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
     * The step whose turn it is: the first one with a member that has still to change or has an outage granted for a
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
