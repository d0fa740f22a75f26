package maplespread.release;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import maplespread.release.FleetView.Member;
import maplespread.release.RolloutState.KnownMember;
import maplespread.release.RolloutState.PlannedOutage;
import maplespread.release.RolloutState.UnplannedOutage;

/** How members that an instance has seen change what the state knows of them. */
final class MemberUpdates {
    private MemberUpdates() {}

    /**
     * Takes up a member that was seen serving; {@code next}: the builder that {@code state} is changed in.
     *
     * @return whether it is one more than before, and does not replace another
     */
    static boolean put(RolloutStateBuilder next, RolloutState state, Member seen) {
        KnownMember known = next.members.get(seen.id());
        if (known != null) {
            if (seen.incarnation() >= known.incarnation()) {
                next.members.put(seen.id(), withCurrentAttributes(state, seen, known));
            }
            return false;
        }
        String replaced = memberAtAddress(next, seen);
        if (replaced.isEmpty()) {
            next.members.put(seen.id(), newMember(state, seen));
            return true;
        }
        // An older incarnation means that the proposer's view is older than the state.
        if (seen.incarnation() > next.members.get(replaced).incarnation()) {
            replace(next, state, replaced, seen);
        }
        return false;
    }

    /** The name of the last member of this role at this address; empty where there is none. */
    private static String memberAtAddress(RolloutStateBuilder next, Member seen) {
        String found = "";
        for (Map.Entry<String, KnownMember> entry : next.members.entrySet()) {
            KnownMember known = entry.getValue();
            if (known.role() == seen.role() && known.address().equals(seen.address())) {
                found = entry.getKey();
            }
        }
        return found;
    }

    /** The member seen takes the place of another, with that one's outage and its turn in the release. */
    private static void replace(RolloutStateBuilder next, RolloutState state, String replaced, Member seen) {
        KnownMember previous = next.members.remove(replaced);
        boolean updated = isUpdated(state, seen, previous.updated());
        next.members.put(seen.id(), knownMember(state, seen, previous, updated));
        PlannedOutage planned = next.plannedOutages.remove(replaced);
        if (planned != null) {
            next.plannedOutages.put(seen.id(), planned.withoutIncarnation());
        }
        UnplannedOutage unplanned = next.unplannedOutages.remove(replaced);
        if (unplanned != null) {
            next.unplannedOutages.put(seen.id(), unplanned);
        }
        replaceInSteps(next, replaced, List.of(seen.id()));
    }

    /** Whether the member's version tells if it is updated; a worker tells none, and its incarnation counts. */
    static boolean isComparedByVersion(RolloutState state, Member member) {
        return state.release().plan().comparesVersions() && !member.version().isEmpty();
    }

    /** Whether this incarnation is what the release leads to; {@code before}: kept where its version tells nothing. */
    static boolean isUpdated(RolloutState state, Member seen, boolean before) {
        if (state.release() == null || !isComparedByVersion(state, seen)) {
            return before;
        }
        ReleasePlan plan = state.release().plan();
        boolean atOldVersion = plan.from().isEmpty() || seen.version().equals(plan.from());
        return seen.version().equals(plan.to()) || before && !atOldVersion;
    }

    /** The member as the state is to know it in the incarnation that was seen, or a later one if that is known. */
    static KnownMember knownMember(RolloutState state, Member seen, KnownMember known, boolean updated) {
        return new KnownMember(
                seen.address(),
                seen.role(),
                seen.zone(),
                seen.kind(),
                seen.cell(),
                warmCapacity(state, seen, known),
                Math.max(seen.incarnation(), known.incarnation()),
                updated);
    }

    private static KnownMember newMember(RolloutState state, Member seen) {
        return new KnownMember(
                seen.address(),
                seen.role(),
                seen.zone(),
                seen.kind(),
                seen.cell(),
                seen.capacity(),
                Math.max(seen.incarnation(), 0),
                isUpdated(state, seen, false));
    }

    /** Keeps the known incarnation: a later one is taken up when the member is observed serving. */
    private static KnownMember withCurrentAttributes(RolloutState state, Member seen, KnownMember known) {
        return new KnownMember(
                seen.address(),
                seen.role(),
                seen.zone(),
                seen.kind(),
                seen.cell(),
                warmCapacity(state, seen, known),
                known.incarnation(),
                known.updated());
    }

    /** It only grows while a release is in progress: a version that is slower must count as missing capacity. */
    private static double warmCapacity(RolloutState state, Member seen, KnownMember known) {
        boolean replaces = seen.warm() && !state.inProgress();
        return replaces ? seen.capacity() : Math.max(seen.capacity(), known.warmCapacity());
    }

    static void removeFromSteps(RolloutStateBuilder next, String removed) {
        replaceInSteps(next, removed, List.of());
    }

    /** A step that is left empty goes too. */
    private static void replaceInSteps(RolloutStateBuilder next, String replaced, List<String> replacement) {
        if (next.release == null || !next.release.includes(replaced)) {
            return;
        }
        List<List<String>> steps = next.release.steps().stream()
                .map(step -> replace(step, replaced, replacement))
                .filter(step -> !step.isEmpty())
                .toList();
        next.release = next.release.withSteps(steps);
    }

    private static List<String> replace(List<String> step, String replaced, List<String> replacement) {
        return step.stream()
                .flatMap(id -> id.equals(replaced) ? replacement.stream() : Stream.of(id))
                .toList();
    }
}
