package maplespread.release;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.KnownMember;

/**
 * Decides whether another member may become unavailable. A member counts as unavailable while it has an outage, planned
 * or unplanned, or while the proposing instance does not see it serving.
 */
final class OutageAdmission {
    /** The warm capacity of all workers, and the current capacity of the available ones. */
    private record Capacity(double total, double remaining) {}

    private OutageAdmission() {}

    /**
     * Returns the member as seen by the proposer, where an outage may be granted.
     *
     * @throws ReleaseRejectedException where a rule forbids the outage, with that rule
     */
    static Member admit(RolloutState state, String name, long stabilityVersion, FleetView view)
            throws ReleaseRejectedException {
        Preconditions.requireNotHalted(state);
        if (state.plannedOutages().containsKey(name)) {
            throw new ReleaseRejectedException(Reason.NOT_DUE, name + " has leave");
        }
        Preconditions.requireStabilityVersion(state, stabilityVersion);
        Member candidate = view.member(name)
                .filter(member -> isAvailable(state, member))
                .orElseThrow(() -> new ReleaseRejectedException(Reason.MEMBER, name + " is not seen serving"));
        Map<String, Member> seenById = new HashMap<>();
        view.members().forEach(member -> seenById.put(member.id(), member));
        Set<String> unavailable = unavailable(state, seenById);
        unavailable.add(name);
        requireLimits(state, candidate, unavailable, capacity(state, seenById, unavailable));
        requireElectorMajority(view, candidate, seenById, unavailable);
        return candidate;
    }

    private static boolean isAvailable(RolloutState state, Member seen) {
        KnownMember known = state.members().get(seen.id());
        return seen.serving()
                && known != null
                && seen.incarnation() >= known.incarnation()
                && !state.unplannedOutages().containsKey(seen.id());
    }

    private static Set<String> unavailable(RolloutState state, Map<String, Member> seenById) {
        Set<String> unavailable = state.unavailableMembers();
        for (String name : state.members().keySet()) {
            Member seen = seenById.get(name);
            if (seen == null || !seen.serving()) {
                unavailable.add(name);
            }
        }
        return unavailable;
    }

    private static Capacity capacity(RolloutState state, Map<String, Member> seenById, Set<String> unavailable) {
        double total = 0;
        double remaining = 0;
        for (Map.Entry<String, KnownMember> entry : state.members().entrySet()) {
            KnownMember known = entry.getValue();
            if (known.role() == Role.WORKER) {
                total += known.warmCapacity();
                if (!unavailable.contains(entry.getKey())) {
                    remaining += Math.min(seenById.get(entry.getKey()).capacity(), known.warmCapacity());
                }
            }
        }
        return new Capacity(total, remaining);
    }

    private static void requireLimits(RolloutState state, Member candidate, Set<String> unavailable, Capacity capacity)
            throws ReleaseRejectedException {
        for (Limits limits : state.limitsInForce()) {
            String exceeded = limits.firstExceeded(state.members(), unavailable);
            if (!exceeded.isEmpty()) {
                throw new ReleaseRejectedException(Reason.LIMIT, exceeded);
            }
            if (candidate.role() == Role.WORKER && capacity.remaining() < limits.leastCapacity() * capacity.total()) {
                throw new ReleaseRejectedException(
                        Reason.CAPACITY,
                        "of a capacity of " + capacity.total() + " only " + capacity.remaining() + " would stay");
            }
        }
    }

    /** An unavailable elector may restart, which loses its state, so that a majority must remain available. */
    private static void requireElectorMajority(
            FleetView view, Member candidate, Map<String, Member> seenById, Set<String> unavailable)
            throws ReleaseRejectedException {
        long remaining = view.electors().stream()
                .filter(elector -> seenById.containsKey(elector)
                        && seenById.get(elector).serving()
                        && !unavailable.contains(elector))
                .count();
        int electors = view.electors().size();
        if (view.electors().contains(candidate.id()) && 2 * remaining <= electors) {
            throw new ReleaseRejectedException(
                    Reason.LIMIT,
                    "of " + electors + " electors only " + remaining + " would stay, and nothing could be decided");
        }
    }
}
