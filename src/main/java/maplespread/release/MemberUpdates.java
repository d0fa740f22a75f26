package maplespread.release;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import maplespread.release.FleetView.Member;
import maplespread.release.RolloutState.KnownMember;
import maplespread.release.RolloutState.PlannedOutage;
import maplespread.release.RolloutState.UnplannedOutage;

/** Updates the known members of a state from the members that an instance has seen. */
final class MemberUpdates {
    private MemberUpdates() {}

    /**
     * Adds or updates a member that was seen serving.
     *
     * @param next the builder of the state after {@code state}
     * @return whether the member was added without replacing another
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
        // An older incarnation shows that the proposer's view is older than the state.
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

    /** Replaces a member by the one seen, which inherits its outages and its position in the release. */
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

    /** Whether the member's version shows that it is updated. Workers report none; their incarnation decides. */
    static boolean isComparedByVersion(RolloutState state, Member member) {
        return state.release().plan().comparesVersions() && !member.version().isEmpty();
    }

    /** Whether this incarnation has the target version; {@code updatedBefore} where its version does not decide. */
    static boolean isUpdated(RolloutState state, Member seen, boolean updatedBefore) {
        if (state.release() == null || !isComparedByVersion(state, seen)) {
            return updatedBefore;
        }
        ReleasePlan plan = state.release().plan();
        boolean atOldVersion = plan.from().isEmpty() || seen.version().equals(plan.from());
        return seen.version().equals(plan.to()) || updatedBefore && !atOldVersion;
    }

    /** The known member with the attributes seen, and the later of the seen and the known incarnation. */
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

    /** Keeps the known incarnation; a later one is recorded when the member is observed serving. */
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

    /** Never lowered while a release is in progress: a slower version must count as missing capacity. */
    private static double warmCapacity(RolloutState state, Member seen, KnownMember known) {
        boolean replaces = seen.warm() && !state.inProgress();
        return replaces ? seen.capacity() : Math.max(seen.capacity(), known.warmCapacity());
    }

    static void removeFromSteps(RolloutStateBuilder next, String removed) {
        replaceInSteps(next, removed, List.of());
    }

    /** Replaces the member in each step and removes steps that become empty. */
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
