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
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.InFlightRequest;
import maplespread.facade.RequestListener;
import maplespread.log.Event;
import maplespread.policy.PolicySettings;
import maplespread.policy.RequestClass;
import maplespread.policy.Tenant;
import maplespread.starvation.FleetLayout;
import maplespread.starvation.FleetWindow;
import maplespread.starvation.MalformedWindowException;
import maplespread.starvation.PriorityBoost;
import maplespread.starvation.StarvationDetector;
import maplespread.starvation.Verdict;
import maplespread.starvation.WaitRecorder;
import maplespread.starvation.WaitWindow;
import maplespread.starvation.WindowCodec;

/**
 * This process's waits, the others' windows where they come, and what is told of both. Legs report under one
 * lock that is held for a map's entry; judging is done on the caller of {@link #evaluate} outside of it.
 *
 * <p>A job's place is the zone and kind of the worker that was tried last; of a job that no worker was tried
 * for, this dispatcher's zone and its class's kind.
 */
public final class StarvationMonitor implements RequestListener {
    private static final int MOST_WAITING = 4096; // windows of others that wait for a round
    private static final int MOST_TOLD = 100; // verdicts a round
    private static final int FEW_PLACES = 8; // so many, one dispatcher tells apart

    /** One that tells nothing of the others where this one has all there is. */
    private record Scope(String name, FleetWindow view, StarvationDetector judge) {}

    private final StarvationSettings set;
    private final String name;
    private final ArrayDeque<WaitWindow> windowReceived = new ArrayDeque<>();
    private Config configure;
    private WaitRecorder waits;
    private FleetLayout site;
    private List<Scope> scopes; // the fleet, then this dispatcher
    private final boolean talks;
    private final Consumer<double[]> weights;
    private PriorityBoost relief; // null: nobody is relieved
    private long run, jobs;
    private volatile Map<String, Integer> places = Map.of(); // by worker
    private volatile Report report = new Report(List.of(), List.of());

    /** A verdict and whose view it is from. */
    public record ScopedVerdict(String scope, Verdict verdict) {}

    /** All that stands: verdicts, and what the jobs of tenants that are relieved count for. */
    public record Report(List<ScopedVerdict> verdicts, List<PriorityBoost.Weight> relief) {}

    /**
     * {@code talks}: other dispatchers' windows are to come; {@code weights}: hears what a tenant's requests
     * count for, whenever that changes.
     */
    public StarvationMonitor(
            StarvationSettings set, Config config, boolean talks, long run, Consumer<double[]> weights) {
        this.set = set;
        this.talks = talks;
        this.weights = weights;
        this.run = run;
        name = config.name();
        configure(config);
    }

    /** Other classes, tenants or dispatchers: begins anew, as a later run. */
    public synchronized void configure(Config next) {
        PolicySettings s = next.settings();
        if (configure != null
                && next.names().equals(configure.names())
                && s.classes().equals(configure.settings().classes())
                && s.tenants().equals(configure.settings().tenants())
                && s.dispatcherCount() == configure.settings().dispatcherCount()) {
            return;
        }
        FleetLayout then = site(next);
        configure = next;
        site = then;
        run++;
        waits = new WaitRecorder(name, run, set.windowMs(), then.deadlinesMs());
        long keep = (long) set.windowMs() * set.windows();
        boolean one = then.processes() == 1;
        StarvationDetector fleet = talks && !one ? new StarvationDetector(then, set.matters()) : null;
        int all = Math.max(1, next.names().zones().size()) * then.kinds();
        if (set.relief() != null) {
            relief = new PriorityBoost(set.relief(), set.windows());
            weights.accept(new double[0]);
        }
        scopes = new ArrayList<>();
        if (fleet != null) {
            scopes.add(new Scope("fleet", new FleetWindow(keep, true), fleet));
        }
        scopes.add(new Scope(
                one ? "fleet" : "dispatcher",
                new FleetWindow(keep, one || all <= FEW_PLACES),
                StarvationDetector.singleDispatcher(then, set.matters(), fleet)));
    }

    private static FleetLayout site(Config c) {
        PolicySettings s = c.settings();
        return new FleetLayout(
                s.classes().stream().mapToDouble(RequestClass::deadlineMs).toArray(),
                s.tenants().stream().mapToDouble(Tenant::quotaPerSecond).toArray(),
                s.dispatcherCount(),
                Math.max(1, c.names().kinds().size()));
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** What is known of the workers: where they stand. */
    public void endpointsChanged(EndpointUpdate news) {
        Map<String, Integer> next = news.kind() == EndpointUpdate.Kind.DELTA ? new HashMap<>(places) : new HashMap<>();
        for (Endpoint r : news.endpoints()) {
            if (r.state() == Endpoint.State.DELETED) {
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
    public synchronized long requestAccepted(InFlightRequest t) {
        if (t.requestClass() >= site.deadlinesMs().length) {
            return -1; // of a class that was added this moment
        }
        int kind = configure.settings().classes().get(t.requestClass()).requiredWorkerKind();
        waits.requestAccepted(
                now(),
                ++jobs,
                t.tenant(),
                t.requestClass(),
                place(configure.settings().zone(), kind),
                t.workMs());
        return jobs;
    }

    @Override
    public synchronized void requestCompleted(long job, Result how, String worker) {
        WaitRecorder.Completion end =
                switch (how) {
                    case SERVED -> WaitRecorder.Completion.SERVED;
                    case REJECTED -> WaitRecorder.Completion.REJECTED;
                    case FAILED -> WaitRecorder.Completion.FAILED;
                    case CLIENT_LEFT -> WaitRecorder.Completion.CLIENT_LEFT;
                };
        Integer at = worker == null ? null : places.get(worker);
        waits.requestCompleted(now(), job, at == null ? WaitRecorder.SAME_PLACE : at, end);
    }

    // ------------------------------------------------------------ rounds

    /** What came of another one's waits, {@code from} a member of the group. */
    public void windowReceived(String from, byte[] bytes) {
        try {
            WaitWindow w = WindowCodec.decode(bytes);
            synchronized (windowReceived) {
                if (w.process().equals(from) && windowReceived.size() < MOST_WAITING) {
                    windowReceived.add(w);
                }
            }
        } catch (MalformedWindowException e) {
            Event.of("starvation.unread", "from", from, "why", e.getMessage()).warn();
        }
    }

    /** Ends a window, has the others told, and judges; {@code others}: how many there are to be told. */
    public void evaluate(int others, Consumer<byte[]> send) {
        long now = now();
        WaitWindow own;
        List<Scope> scopes;
        IntFunction<String> tenants, classes, zones, kinds;
        FleetLayout site;
        PriorityBoost relief;
        synchronized (this) {
            relief = this.relief;
            own = waits.closeWindow(now);
            scopes = this.scopes;
            site = this.site;
            tenants = named(configure.names().tenants());
            classes = named(configure.names().classes());
            zones = named(configure.names().zones());
            kinds = named(configure.names().kinds());
        }
        if (others > 0) {
            send.accept(WindowCodec.encode(own, WindowCodec.bytesPerPeer(set.bytesPerS(), set.windowMs(), others)));
        }
        List<WaitWindow> all = new ArrayList<>(List.of(own));
        synchronized (windowReceived) {
            all.addAll(windowReceived);
            windowReceived.clear();
        }
        List<ScopedVerdict> stand = new ArrayList<>();
        int told = 0;
        for (Scope scope : scopes) {
            scope.view.evictExpired(now);
            boolean alone = scope == scopes.get(scopes.size() - 1);
            all.stream().filter(w -> !alone || w == own).forEach(w -> scope.view.add(now, w));
            for (Verdict v : scope.judge.evaluate(now, scope.view)) {
                if (set.log() && told++ < MOST_TOLD) {
                    log(scope.name, v, site, now, tenants, classes, zones, kinds);
                }
            }
            scope.judge.activeVerdicts().forEach(v -> stand.add(new ScopedVerdict(scope.name, v)));
        }
        if (relief != null) {
            relieve(relief, scopes.get(0), site.allowancesPerS().length, tenants);
        }
        report = new Report(List.copyOf(stand), relief == null ? List.of() : relief.activeWeights());
    }

    /** By the fleet's view, or by this dispatcher's where it is alone: all others see the same. */
    private void relieve(PriorityBoost relief, Scope scope, int count, IntFunction<String> tenants) {
        List<PriorityBoost.Change> changes = relief.update(scope.judge.activeVerdicts(), scope.judge.enoughReported());
        for (PriorityBoost.Change c : changes) {
            Event.write(
                    c.kind() != PriorityBoost.Change.What.ENDED,
                    "starvation.relief",
                    "relief",
                    c.kind().name().toLowerCase(java.util.Locale.ROOT),
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
    public Report report() {
        return report;
    }

    private static IntFunction<String> named(List<String> names) {
        return i -> i == Verdict.ALL ? "all" : i < names.size() ? names.get(i) : Integer.toString(i);
    }

    private static void log(
            String scope,
            Verdict v,
            FleetLayout site,
            long now,
            IntFunction<String> tenants,
            IntFunction<String> classes,
            IntFunction<String> zones,
            IntFunction<String> kinds) {
        Verdict.Statistics f = v.figures();
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
                site.describe(v.place(), zones, kinds),
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
