package maplespread.release.client;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.config.Config;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Route;
import maplespread.group.Status;
import maplespread.group.Statuses;
import maplespread.membership.Update;
import maplespread.release.View;
import maplespread.release.View.Member;
import maplespread.release.View.Role;
import maplespread.routes.RouteSink;

/**
 * What this instance sees: the dispatchers by the membership and by what they say of themselves, the workers
 * by the whole route set, a subset or not.
 */
public final class Sight implements RouteSink {
    private static final long FRESH_MS = 3_000; // a word older than this says nothing
    private final RouteSink next;
    private final Map<String, Route> workers = new HashMap<>();

    public Sight(RouteSink next) {
        this.next = next;
    }

    @Override
    public void news(EndpointUpdate news) {
        synchronized (workers) {
            if (news.kind() != EndpointUpdate.Kind.CHANGES) {
                workers.clear();
            }
            for (Route r : news.routes()) {
                if (r.state() == Route.State.DELETED) {
                    workers.remove(r.worker());
                } else {
                    workers.put(r.worker(), r);
                }
            }
        }
        next.news(news);
    }

    @Override
    public void watchLost(Dispatch.ListLoss loss, double heardAgoMs) {
        next.watchLost(loss, heardAgoMs);
    }

    @Override
    public void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {
        next.unconfirmed(why, heardAgoMs);
    }

    /** {@code nowMs}: of the clock that statuses were heard by; {@code wallMs}: Unix time. */
    public View view(List<Update> members, Statuses statuses, Config config, long nowMs, long wallMs) {
        List<Member> all = new ArrayList<>();
        double refused = 0;
        double errors = 0;
        double waits = 0;
        long samples = 0;
        for (Update u : members) {
            Optional<Status> said = statuses.of(u.name())
                    .filter(h -> nowMs - h.atMs() <= FRESH_MS)
                    .map(Statuses.Heard::status)
                    .filter(s -> s.run() == u.boot());
            all.add(new Member(
                    u.name(),
                    u.address(),
                    Role.DISPATCHER,
                    said.map(Status::zone).orElse(""),
                    "",
                    "",
                    u.boot(),
                    said.map(Status::version).orElse(""),
                    status(u, said),
                    0,
                    true));
            if (said.isPresent()) {
                Status s = said.get();
                refused += s.refused() * s.samples();
                errors += s.errors() * s.samples();
                waits += s.waitMs() * s.samples();
                samples += s.samples();
            }
        }
        synchronized (workers) {
            workers.values().forEach(r -> all.add(worker(r, config, wallMs)));
        }
        double n = Math.max(1, samples);
        return new View(all, new View.Service(refused / n, errors / n, waits / n, samples));
    }

    /** What it says of itself counts before what others think of it. */
    private static View.Status status(Update u, Optional<Status> said) {
        if (u.state() == Update.State.LEFT || u.state() == Update.State.DEAD) {
            return View.Status.DOWN;
        }
        return said.map(s -> switch (s.phase()) {
                    case STARTING -> View.Status.DOWN;
                    case SERVING -> View.Status.SERVING;
                    case DRAINING -> View.Status.DRAINING;
                })
                .orElse(View.Status.UNKNOWN);
    }

    private static Member worker(Route r, Config config, long wallMs) {
        var rules = config.settings().rules();
        double age = r.startedAtMs() <= 0 ? Double.MAX_VALUE : Math.max(0, wallMs - r.startedAtMs());
        boolean warm = age >= rules.warmWithinMs();
        double warmth = warm ? 1 : rules.coldFrom() + (1 - rules.coldFrom()) * age / rules.warmWithinMs();
        return new Member(
                r.worker(),
                r.address(),
                Role.WORKER,
                name(config.names().zones(), r.zone()),
                name(config.names().kinds(), r.kind()),
                Integer.toString(r.cell()),
                Math.max(1, (long) r.startedAtMs()),
                "",
                r.state() == Route.State.SERVING ? View.Status.SERVING : View.Status.DRAINING,
                r.weight() * warmth,
                warm);
    }

    private static String name(List<String> names, int place) {
        return place < 0 ? "" : names.get(place);
    }
}
