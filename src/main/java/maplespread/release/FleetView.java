package maplespread.release;

import java.util.List;
import java.util.Optional;

/**
 * A snapshot of the fleet as seen by one instance. Immutable.
 *
 * @param members all members that the instance knows, available or not
 * @param service the service level over all dispatchers
 * @param electors names of the electors; empty: not known
 */
public record FleetView(List<Member> members, ServiceLevel service, List<String> electors) {
    /** The role of a member. */
    public enum Role {
        DISPATCHER,
        WORKER
    }

    /** The status of a member; UNKNOWN: no recent report. Every status but SERVING counts as unavailable. */
    public enum Status {
        SERVING,
        DRAINING,
        DOWN,
        UNKNOWN
    }

    /**
     * A dispatcher or worker.
     *
     * @param incarnation increases with every start of the member's process, from 1
     * @param version the version of its program; empty: not reported
     * @param capacity the work per second that it can do now, cold or warm; 0 for dispatchers
     * @param warm whether it has reached its full capacity
     */
    public record Member(
            String id,
            String address,
            Role role,
            String zone,
            String kind,
            String cell,
            long incarnation,
            String version,
            Status status,
            double capacity,
            boolean warm) {
        /** Whether it accepts new work. */
        public boolean serving() {
            return status == Status.SERVING;
        }
    }

    /**
     * Figures of the answers to clients over the last window.
     *
     * @param refusedShare rejections as a share of all answers
     * @param errorShare errors as a share of all answers
     * @param waitMs the mean time to an answer, in ms
     * @param samples the number of answers
     */
    public record ServiceLevel(double refusedShare, double errorShare, double waitMs, long samples) {
        /** No answers were measured. */
        public static final ServiceLevel NONE = new ServiceLevel(0, 0, 0, 0);
    }

    /** Copies the lists. */
    public FleetView {
        members = List.copyOf(members);
        electors = List.copyOf(electors);
    }

    /** A view without electors. */
    public FleetView(List<Member> members, ServiceLevel service) {
        this(members, service, List.of());
    }

    /** Returns a copy with these electors. */
    public FleetView withElectors(List<String> names) {
        return new FleetView(members, service, names);
    }

    /** The member of this name, if it is known. */
    public Optional<Member> member(String id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }
}
