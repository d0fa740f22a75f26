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

/**
 * What this instance sees: the dispatchers by the membership and by what they say of themselves, the workers
 * by the whole route set, a subset or not.
 */
public final class FleetObserver implements EndpointListener {
    private static final long FRESH_MS = 3_000; // a word older than this says nothing
    private final EndpointListener next;
    private final Map<String, Endpoint> workers = new HashMap<>();

    public FleetObserver(EndpointListener next) {
        this.next = next;
    }

    @Override
    public void endpointsChanged(EndpointUpdate news) {
        synchronized (workers) {
            if (news.kind() != EndpointUpdate.Kind.DELTA) {
                workers.clear();
            }
            for (Endpoint r : news.endpoints()) {
                if (r.state() == Endpoint.State.DELETED) {
                    workers.remove(r.worker());
                } else {
                    workers.put(r.worker(), r);
                }
            }
        }
        next.endpointsChanged(news);
    }

    @Override
    public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {
        next.watchLost(loss, heardAgoMs);
    }

    @Override
    public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {
        next.listUnconfirmed(why, heardAgoMs);
    }

    /** {@code nowMs}: of the clock that statuses were heard by; {@code wallMs}: Unix time. */
    public FleetView observe(
            List<MemberUpdate> members, MemberStatusTable statuses, Config config, long nowMs, long wallMs) {
        List<Member> all = new ArrayList<>();
        double refused = 0;
        double errors = 0;
        double waits = 0;
        long samples = 0;
        for (MemberUpdate u : members) {
            Optional<MemberStatus> said = statuses.find(u.name())
                    .filter(h -> nowMs - h.receivedAtMs() <= FRESH_MS)
                    .map(MemberStatusTable.ReceivedStatus::status)
                    .filter(s -> s.incarnation() == u.processIncarnation());
            all.add(new Member(
                    u.name(),
                    u.address(),
                    Role.DISPATCHER,
                    said.map(MemberStatus::zone).orElse(""),
                    "",
                    "",
                    u.processIncarnation(),
                    said.map(MemberStatus::version).orElse(""),
                    status(u, said),
                    0,
                    true));
            if (said.isPresent()) {
                MemberStatus s = said.get();
                refused += s.rejectedShare() * s.samples();
                errors += s.errorShare() * s.samples();
                waits += s.meanLatencyMs() * s.samples();
                samples += s.samples();
            }
        }
        synchronized (workers) {
            workers.values().forEach(r -> all.add(worker(r, config, wallMs)));
        }
        double n = Math.max(1, samples);
        return new FleetView(all, new FleetView.ServiceLevel(refused / n, errors / n, waits / n, samples));
    }

    /** What it says of itself counts before what others think of it. */
    private static FleetView.Status status(MemberUpdate u, Optional<MemberStatus> said) {
        if (u.state() == MemberUpdate.State.LEFT || u.state() == MemberUpdate.State.DEAD) {
            return FleetView.Status.DOWN;
        }
        return said.map(s -> switch (s.phase()) {
                    case STARTING -> FleetView.Status.DOWN;
                    case SERVING -> FleetView.Status.SERVING;
                    case DRAINING -> FleetView.Status.DRAINING;
                })
                .orElse(FleetView.Status.UNKNOWN);
    }

    private static Member worker(Endpoint r, Config config, long wallMs) {
        var rules = config.settings().rules();
        double age = r.startedAtMs() <= 0 ? Double.MAX_VALUE : Math.max(0, wallMs - r.startedAtMs());
        boolean warm = age >= rules.slowStartMs();
        double warmth = warm
                ? 1
                : rules.slowStartCapacityShare() + (1 - rules.slowStartCapacityShare()) * age / rules.slowStartMs();
        return new Member(
                r.worker(),
                r.address(),
                Role.WORKER,
                name(config.names().zones(), r.zone()),
                name(config.names().kinds(), r.kind()),
                Integer.toString(r.cell()),
                Math.max(1, (long) r.startedAtMs()),
                "",
                r.state() == Endpoint.State.SERVING ? FleetView.Status.SERVING : FleetView.Status.DRAINING,
                r.weight() * warmth,
                warm);
    }

    private static String name(List<String> names, int place) {
        return place < 0 ? "" : names.get(place);
    }
}
