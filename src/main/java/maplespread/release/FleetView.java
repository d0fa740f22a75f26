package maplespread.release;

import java.util.List;
import java.util.Optional;

/**
 * What one instance sees of the fleet at one moment. Immutable.
 *
 * @param members all that it has heard of, available or not
 * @param service how clients are served, over all dispatchers
 * @param electors names of the members whose majority decides; empty: not known
 */
public record FleetView(List<Member> members, ServiceLevel service, List<String> electors) {
    /** What a member does. */
    public enum Role {
        DISPATCHER,
        WORKER
    }

    /** UNKNOWN: nothing is heard of it. Whatever is not SERVING counts as unavailable. */
    public enum Status {
        SERVING,
        DRAINING,
        DOWN,
        UNKNOWN
    }

    /**
     * One that can be unavailable.
     *
     * @param incarnation grows with every start of the member's process, from 1 on
     * @param version of its program; empty: it tells none
     * @param capacity work a second that it can do now, as cold or warm as it is; dispatchers: 0
     * @param warm whether it can do as much as it ever will
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
        /** Whether it takes new work. */
        public boolean serving() {
            return status == Status.SERVING;
        }
    }

    /**
     * How clients were served over the last window.
     *
     * @param refusedShare rejections, as a share of all answers
     * @param errorShare errors, as a share of all answers
     * @param waitMs mean time to an answer, in ms
     * @param samples answers that these figures rest on
     */
    public record ServiceLevel(double refusedShare, double errorShare, double waitMs, long samples) {
        /** Nothing was measured. */
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

    /** The same with these electors. */
    public FleetView withElectors(List<String> names) {
        return new FleetView(members, service, names);
    }

    /** The member of this name, as it is seen. */
    public Optional<Member> member(String id) {
        return members.stream().filter(member -> member.id().equals(id)).findFirst();
    }
}
