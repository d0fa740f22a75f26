package maplespread.release;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.KnownMember;

/**
 * Decides whether one more member may become unavailable. Unavailable are all with an outage, planned or not, and all
 * that the proposing instance does not see serving.
 */
final class OutageAdmission {
    /** Work that the workers can do when all are warm, and what remains without the unavailable ones. */
    private record Capacity(double total, double remaining) {}

    private OutageAdmission() {}

    /**
     * Returns the member as the proposer sees it, where it may be granted an outage.
     *
     * @throws ReleaseRejectedException which rule forbids it
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

    /** An unavailable elector may be restarted, which loses what it knew: a majority must stay. */
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
