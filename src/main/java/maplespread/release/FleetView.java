package maplespread.release;

import java.util.List;

/**
 * What one instance sees of the fleet at this moment, how it is served, and whose majority decides (none: not
 * told).
 */
public record FleetView(List<Member> members, ServiceLevel service, List<String> electors) {
    public enum Role {
        DISPATCHER,
        WORKER
    }

    /** UNKNOWN: nothing is heard of it. Whatever is not SERVING counts as out. */
    public enum Status {
        SERVING,
        DRAINING,
        DOWN,
        UNKNOWN
    }

    /**
     * One that can be out. {@code run} grows with every start of the member's process, from 1 on;
     * {@code capacity}: work a second that it can do now, a cold one what it can do while cold (dispatchers:
     * 0).
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
        public boolean serving() {
            return status == Status.SERVING;
        }
    }

    /** Of the last window: shares of all answers, mean wait, and how many answers these stand on. */
    public record ServiceLevel(double refusedShare, double errorShare, double waitMs, long samples) {
        public static final ServiceLevel NONE = new ServiceLevel(0, 0, 0, 0);
    }

    public FleetView {
        members = List.copyOf(members);
        electors = List.copyOf(electors);
    }

    public FleetView(List<Member> members, ServiceLevel service) {
        this(members, service, List.of());
    }

    /** The same with these electors. */
    public FleetView withElectors(List<String> names) {
        return new FleetView(members, service, names);
    }

    /** The member of this name, or null. */
    public Member member(String id) {
        for (Member m : members) {
            if (m.id().equals(id)) {
                return m;
            }
        }
        return null;
    }
}
