package maplespread.starvation.client;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import maplespread.config.Config;
import maplespread.config.StarvationSettings;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Ends;
import maplespread.facade.Route;
import maplespread.facade.Transaction;
import maplespread.log.Event;
import maplespread.starvation.Exchange;
import maplespread.starvation.Judge;
import maplespread.starvation.NotAWindow;
import maplespread.starvation.Relief;
import maplespread.starvation.Site;
import maplespread.starvation.Verdict;
import maplespread.starvation.View;
import maplespread.starvation.Waits;
import maplespread.starvation.Window;

/**
 * This process's waits, the others' windows where they come, and what is told of both. Legs report under one
 * lock that is held for a map's entry; judging is done on the caller of {@link #round} outside of it.
 *
 * <p>A job's place is the zone and kind of the worker that was tried last; of a job that no worker was tried
 * for, this dispatcher's zone and its class's kind.
 */
public final class Watch implements Ends {
    private static final int MOST_WAITING = 4096; // windows of others that wait for a round
    private static final int MOST_TOLD = 100; // verdicts a round
    private static final int FEW_PLACES = 8; // so many, one dispatcher tells apart

    /** One that tells nothing of the others where this one has all there is. */
    private record Scope(String name, View view, Judge judge) {}

    private final StarvationSettings set;
    private final String name;
    private final ArrayDeque<Window> heard = new ArrayDeque<>();
    private Config config;
    private Waits waits;
    private Site site;
    private List<Scope> scopes; // the fleet, then this dispatcher
    private final boolean talks;
    private final Consumer<double[]> weights;
    private Relief relief; // null: nobody is relieved
    private long run, jobs;
    private volatile Map<String, Integer> places = Map.of(); // by worker
    private volatile Told standing = new Told(List.of(), List.of());

    /** A verdict and whose view it is from. */
    public record Shown(String scope, Verdict verdict) {}

    /** All that stands: verdicts, and what the jobs of tenants that are relieved count for. */
    public record Told(List<Shown> verdicts, List<Relief.Weight> relief) {}

    /**
     * {@code talks}: other dispatchers' windows are to come; {@code weights}: hears what a tenant's requests
     * count for, whenever that changes.
     */
    public Watch(StarvationSettings set, Config config, boolean talks, long run, Consumer<double[]> weights) {
        this.set = set;
        this.talks = talks;
        this.weights = weights;
        this.run = run;
        name = config.name();
        config(config);
    }

    /** Other classes, tenants or dispatchers: begins anew, as a later run. */
    public synchronized void config(Config next) {
        Dispatch.Settings s = next.settings();
        if (config != null
                && next.names().equals(config.names())
                && s.classes().equals(config.settings().classes())
                && s.tenants().equals(config.settings().tenants())
                && s.balancers() == config.settings().balancers()) {
            return;
        }
        Site then = site(next);
        config = next;
        site = then;
        run++;
        waits = new Waits(name, run, set.windowMs(), then.deadlinesMs());
        long keep = (long) set.windowMs() * set.windows();
        boolean one = then.processes() == 1;
        Judge fleet = talks && !one ? new Judge(then, set.matters()) : null;
        int all = Math.max(1, next.names().zones().size()) * then.kinds();
        if (set.relief() != null) {
            relief = new Relief(set.relief(), set.windows());
            weights.accept(new double[0]);
        }
        scopes = new ArrayList<>();
        if (fleet != null) {
            scopes.add(new Scope("fleet", new View(keep, true), fleet));
        }
        scopes.add(new Scope(
                one ? "fleet" : "dispatcher",
                new View(keep, one || all <= FEW_PLACES),
                Judge.alone(then, set.matters(), fleet)));
    }

    private static Site site(Config c) {
        Dispatch.Settings s = c.settings();
        return new Site(
                s.classes().stream().mapToDouble(Dispatch.ClassSpec::deadlineMs).toArray(),
                s.tenants().stream().mapToDouble(Dispatch.Tenant::allowancePerS).toArray(),
                s.balancers(),
                Math.max(1, c.names().kinds().size()));
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** What is known of the workers: where they stand. */
    public void news(EndpointUpdate news) {
        Map<String, Integer> next =
                news.kind() == EndpointUpdate.Kind.CHANGES ? new HashMap<>(places) : new HashMap<>();
        for (Route r : news.routes()) {
            if (r.state() == Route.State.DELETED) {
                next.remove(r.worker());
            } else {
                next.put(r.worker(), place(r.zone(), r.kind()));
            }
        }
        places = next;
    }

    private synchronized int place(int zone, int kind) {
        return Math.max(0, zone) * site.kinds() + Math.min(site.kinds() - 1, Math.max(0, kind));
    }

    // ------------------------------------------------------------ from the legs

    @Override
    public synchronized long taken(Transaction t) {
        if (t.cls() >= site.deadlinesMs().length) {
            return -1; // of a class that was added this moment
        }
        int kind = config.settings().classes().get(t.cls()).kind();
        waits.taken(now(), ++jobs, t.tenant(), t.cls(), place(config.settings().zone(), kind), t.workMs());
        return jobs;
    }

    @Override
    public synchronized void ended(long job, How how, String worker) {
        Waits.End end =
                switch (how) {
                    case SERVED -> Waits.End.SERVED;
                    case BUSY -> Waits.End.REFUSED;
                    case FAILED -> Waits.End.FAILED;
                    case LEFT -> Waits.End.LEFT;
                };
        Integer at = worker == null ? null : places.get(worker);
        waits.ended(now(), job, at == null ? Waits.WHERE_TAKEN : at, end);
    }

    // ------------------------------------------------------------ rounds

    /** What came of another one's waits, {@code from} a member of the group. */
    public void heard(String from, byte[] bytes) {
        try {
            Window w = Exchange.decode(bytes);
            synchronized (heard) {
                if (w.process().equals(from) && heard.size() < MOST_WAITING) {
                    heard.add(w);
                }
            }
        } catch (NotAWindow e) {
            Event.of("starvation.unread", "from", from, "why", e.getMessage()).warn();
        }
    }

    /** Ends a window, has the others told, and judges; {@code others}: how many there are to be told. */
    public void round(int others, Consumer<byte[]> send) {
        long now = now();
        Window own;
        List<Scope> scopes;
        IntFunction<String> tenants, classes, zones, kinds;
        Site site;
        Relief relief;
        synchronized (this) {
            relief = this.relief;
            own = waits.close(now);
            scopes = this.scopes;
            site = this.site;
            tenants = named(config.names().tenants());
            classes = named(config.names().classes());
            zones = named(config.names().zones());
            kinds = named(config.names().kinds());
        }
        if (others > 0) {
            send.accept(Exchange.encode(own, Exchange.bytesEach(set.bytesPerS(), set.windowMs(), others)));
        }
        List<Window> all = new ArrayList<>(List.of(own));
        synchronized (heard) {
            all.addAll(heard);
            heard.clear();
        }
        List<Shown> stand = new ArrayList<>();
        int told = 0;
        for (Scope scope : scopes) {
            scope.view.age(now);
            boolean alone = scope == scopes.get(scopes.size() - 1);
            all.stream().filter(w -> !alone || w == own).forEach(w -> scope.view.add(now, w));
            for (Verdict v : scope.judge.round(now, scope.view)) {
                if (set.log() && told++ < MOST_TOLD) {
                    log(scope.name, v, site, now, tenants, classes, zones, kinds);
                }
            }
            scope.judge.standing().forEach(v -> stand.add(new Shown(scope.name, v)));
        }
        if (relief != null) {
            relieve(relief, scopes.get(0), site.allowancesPerS().length, tenants);
        }
        standing = new Told(List.copyOf(stand), relief == null ? List.of() : relief.weights());
    }

    /** By the fleet's view, or by this dispatcher's where it is alone: all others see the same. */
    private void relieve(Relief relief, Scope scope, int count, IntFunction<String> tenants) {
        List<Relief.Change> changes = relief.round(scope.judge.standing(), scope.judge.heardEnough());
        for (Relief.Change c : changes) {
            Event.write(
                    c.what() != Relief.Change.What.ENDED,
                    "starvation.relief",
                    "relief",
                    c.what().name().toLowerCase(java.util.Locale.ROOT),
                    "tenant",
                    tenants.apply(c.tenant()),
                    "weight",
                    Math.round(c.weight() * 100) / 100.0,
                    "for",
                    c.victim() == Verdict.ALL ? null : tenants.apply(c.victim()));
        }
        double[] all = new double[count];
        java.util.Arrays.setAll(all, relief::weight);
        weights.accept(all);
    }

    /** All that stands. */
    public Told standing() {
        return standing;
    }

    private static IntFunction<String> named(List<String> names) {
        return i -> i == Verdict.ALL ? "all" : i < names.size() ? names.get(i) : Integer.toString(i);
    }

    private static void log(
            String scope,
            Verdict v,
            Site site,
            long now,
            IntFunction<String> tenants,
            IntFunction<String> classes,
            IntFunction<String> zones,
            IntFunction<String> kinds) {
        Verdict.Figures f = v.figures();
        Event.write(
                v.kind() != Verdict.Kind.FINE,
                "starvation.verdict",
                "verdict",
                v.kind().name().toLowerCase(java.util.Locale.ROOT),
                "tenant",
                tenants.apply(v.tenant()),
                "class",
                classes.apply(v.cls()),
                "place",
                site.words(v.place(), zones, kinds),
                "scope",
                scope,
                "for_ms",
                now - v.sinceMs(),
                "jobs",
                f.jobs(),
                "held",
                f.held(),
                "own_ms",
                Math.round(f.ownMs()),
                "others_ms",
                Math.round(f.othersMs()),
                "elsewhere_ms",
                Double.isNaN(f.elsewhereMs()) ? null : Math.round(f.elsewhereMs()),
                "of_deadline",
                Math.round(f.effect() * 100) / 100.0,
                "beyond_share",
                Math.round(f.excess() * 100) / 100.0,
                "heard",
                v.heard(),
                "of",
                v.processes(),
                "partial",
                v.partial(),
                "do",
                v.kind().remedy());
    }
}
