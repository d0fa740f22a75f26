package maplespread.release.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.cluster.MemberStatus;
import maplespread.cluster.MemberStatusTable;
import maplespread.config.Config;
import maplespread.discovery.EndpointListener;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.membership.MemberUpdate;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.release.FleetView;
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.ServiceLevel;

/**
 * Observes the fleet: the dispatchers by the membership and their own status reports, the workers by the whole endpoint
 * list, before a subset is selected from it. Forwards the list to the next listener. Thread-safe.
 */
public final class FleetObserver implements EndpointListener {
    /** A status that was received longer ago is ignored. */
    private static final long STATUS_VALID_MS = 3_000;

    private final EndpointListener next;
    private final Map<String, Endpoint> workers = new HashMap<>();

    /** {@code next} receives every event that this listener receives. */
    public FleetObserver(EndpointListener next) {
        this.next = next;
    }

    @Override
    public void endpointsChanged(EndpointUpdate update) {
        synchronized (workers) {
            if (update.kind() != EndpointUpdate.Kind.DELTA) {
                workers.clear();
            }
            for (Endpoint endpoint : update.endpoints()) {
                if (endpoint.state() == Endpoint.State.DELETED) {
                    workers.remove(endpoint.worker());
                } else {
                    workers.put(endpoint.worker(), endpoint);
                }
            }
        }
        next.endpointsChanged(update);
    }

    @Override
    public void watchLost(EndpointWatchFailure failure, double heardAgoMs) {
        next.watchLost(failure, heardAgoMs);
    }

    @Override
    public void listUnconfirmed(EndpointListDoubt doubt, double heardAgoMs) {
        next.listUnconfirmed(doubt, heardAgoMs);
    }

    /**
     * The current view of the fleet, without electors.
     *
     * @param nowMs the time of the clock by which statuses were received
     * @param wallMs the Unix time in ms
     */
    public FleetView observe(
            List<MemberUpdate> members, MemberStatusTable statuses, Config config, long nowMs, long wallMs) {
        List<Member> seen = new ArrayList<>();
        List<MemberStatus> currentStatuses = new ArrayList<>();
        for (MemberUpdate member : members) {
            Optional<MemberStatus> status = currentStatus(member, statuses, nowMs);
            status.ifPresent(currentStatuses::add);
            seen.add(dispatcher(member, status));
        }
        synchronized (workers) {
            workers.values().forEach(endpoint -> seen.add(worker(endpoint, config, wallMs)));
        }
        return new FleetView(seen, serviceLevel(currentStatuses));
    }

    /** The recent status report of the member's current incarnation, if any. */
    private static Optional<MemberStatus> currentStatus(MemberUpdate member, MemberStatusTable statuses, long nowMs) {
        return statuses.find(member.name())
                .filter(received -> nowMs - received.receivedAtMs() <= STATUS_VALID_MS)
                .map(MemberStatusTable.ReceivedStatus::status)
                .filter(status -> status.incarnation() == member.processIncarnation());
    }

    /** The mean over all dispatchers, weighted by their numbers of answers. */
    private static ServiceLevel serviceLevel(List<MemberStatus> statuses) {
        double refused = 0;
        double errors = 0;
        double waitMs = 0;
        long samples = 0;
        for (MemberStatus status : statuses) {
            refused += status.rejectedShare() * status.samples();
            errors += status.errorShare() * status.samples();
            waitMs += status.meanLatencyMs() * status.samples();
            samples += status.samples();
        }
        double divisor = Math.max(1, samples);
        return new ServiceLevel(refused / divisor, errors / divisor, waitMs / divisor, samples);
    }

    private static Member dispatcher(MemberUpdate member, Optional<MemberStatus> status) {
        return new Member(
                member.name(),
                member.address(),
                Role.DISPATCHER,
                status.map(MemberStatus::zone).orElse(""),
                "",
                "",
                member.processIncarnation(),
                status.map(MemberStatus::version).orElse(""),
                memberStatus(member, status),
                0,
                true);
    }

    /** A member's own report takes precedence over the membership state, unless the member has left or is dead. */
    private static FleetView.Status memberStatus(MemberUpdate member, Optional<MemberStatus> status) {
        if (member.state() == MemberUpdate.State.LEFT || member.state() == MemberUpdate.State.DEAD) {
            return FleetView.Status.DOWN;
        }
        return status.map(MemberStatus::phase)
                .map(phase -> switch (phase) {
                    case STARTING -> FleetView.Status.DOWN;
                    case SERVING -> FleetView.Status.SERVING;
                    case DRAINING -> FleetView.Status.DRAINING;
                })
                .orElse(FleetView.Status.UNKNOWN);
    }

    private static Member worker(Endpoint endpoint, Config config, long wallMs) {
        var rules = config.settings().rules();
        double ageMs = endpoint.startedAtMs() <= 0 ? Double.MAX_VALUE : Math.max(0, wallMs - endpoint.startedAtMs());
        boolean warm = ageMs >= rules.slowStartMs();
        double coldShare = rules.slowStartCapacityShare();
        double capacityShare = warm ? 1 : coldShare + (1 - coldShare) * ageMs / rules.slowStartMs();
        boolean serving = endpoint.state() == Endpoint.State.SERVING;
        return new Member(
                endpoint.worker(),
                endpoint.address(),
                Role.WORKER,
                nameAt(config.names().zones(), endpoint.zone()),
                nameAt(config.names().kinds(), endpoint.kind()),
                Integer.toString(endpoint.cell()),
                Math.max(1, (long) endpoint.startedAtMs()),
                "",
                serving ? FleetView.Status.SERVING : FleetView.Status.DRAINING,
                endpoint.weight() * capacityShare,
                warm);
    }

    /** The name at the index; empty for a negative index, where the endpoint specifies none. */
    private static String nameAt(List<String> names, int index) {
        return index < 0 ? "" : names.get(index);
    }
}
