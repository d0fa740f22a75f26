package maplespread.lab;

import com.google.gson.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import maplespread.DispatcherServer;
import maplespread.config.Config;
import maplespread.config.ConfigException;
import maplespread.config.ConfigReader;
import maplespread.config.OperatorConfig;
import maplespread.discovery.EndpointListener;
import maplespread.discovery.EndpointParser;
import maplespread.facade.DecisionService;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.lab.registry.StandInRegistry;
import maplespread.lab.registry.Store;
import maplespread.lab.registry.VirtualRegistry;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.registry.EndpointView;
import maplespread.registry.RegistryListener;
import maplespread.registry.RegistrySettings;
import maplespread.registry.RegistrySettings.Dialect;
import maplespread.registry.RegistryWatcher;
import maplespread.registry.client.RegistryEndpointSource;
import org.HdrHistogram.Histogram;

/** How soon and at what cost a dispatcher learns what a registry holds. */
public final class RegistryMeasure {
    private static final String PREFIX = "/outlet/";
    private static final long LIMIT_NANOS = 30_000_000_000L;
    private final boolean quick;
    private final Report report;

    public RegistryMeasure(boolean quick, Report report) {
        this.quick = quick;
        this.report = report;
    }

    public void run() throws Exception {
        int[] sizes = {100, 1000, 10_000};
        for (Dialect dialect : List.of(Dialect.ETCD, Dialect.CONSUL_KV)) {
            for (int workers : sizes) {
                follow(dialect, workers);
            }
        }
        changes(sizes);
        for (Dialect dialect : List.of(Dialect.ETCD, Dialect.CONSUL_KV)) {
            drains(dialect);
        }
        herd(true);
        herd(false);
    }

    static String value(String worker, String address, String state, int cell) {
        JsonObject o = new JsonObject();
        o.addProperty("instanceId", worker);
        o.addProperty("hostPort", address);
        o.addProperty("zone", "a");
        o.addProperty("machineType", "m");
        o.addProperty("cell", cell);
        o.addProperty("lifecycle", state);
        o.addProperty("weight", 1.0);
        o.addProperty("startedAtMs", 0);
        return o.toString();
    }

    static Config config() throws ConfigException {
        return ConfigReader.read(
                ("{'name':'n','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','seed':'1f',"
                                + "'limits':{'sockets':1024,'memory_mb':192},'settings':{'balancers':1,'index':0,'zone':0,"
                                + "'areas':['a'],'models':['m'],'discovery':'ask','classes':[{'name':'page','aimMs':1000,"
                                + "'deadlineMs':5000,'effect':'read_like','dedupScope':'all','worth':2}],"
                                + "'customers':[{'name':'acme','allowancePerS':0}],"
                                + "'domain':{'tellsStart':true,'progressMs':2000},"
                                + "'permissions':{'probing':true,'tryLimit':5,'dialTimeoutMs':250,'maxRetryAfterMs':2000,"
                                + "'connIdleMs':30000,'cancel':true},'rules':{'drainGraceMs':250,'askWithinMs':10000,"
                                + "'coldFrom':0.12,'warmWithinMs':24000,'fallMultiple':4,'fallMs':1000,'answerSlackMs':8}}}")
                        .replace('\'', '"'),
                Map.of());
    }

    /** Waits for a condition; fails loudly where it never comes. */
    private static void until(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + LIMIT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("never came: " + what);
            }
            Thread.sleep(1);
        }
    }

    /** Which writes the dispatcher has learned, and how long that took. */
    private static final class Learning implements EndpointListener {
        final DecisionService dispatcher;
        final Map<String, ArrayDeque<long[]>> out = new ConcurrentHashMap<>(); // a write's number and time
        Histogram histogram = new Histogram(60_000_000, 3);
        volatile boolean whole;
        volatile int newest;

        Learning(DecisionService dispatcher) {
            this.dispatcher = dispatcher;
        }

        void wrote(String worker, int number) {
            ArrayDeque<long[]> queue = out.computeIfAbsent(worker, w -> new ArrayDeque<>());
            synchronized (queue) {
                queue.add(new long[] {number, System.nanoTime()});
            }
        }

        @Override
        public void endpointsChanged(EndpointUpdate news) {
            dispatcher.reportEndpoints(news);
            long now = System.nanoTime();
            whole |= news.kind() == EndpointUpdate.Kind.FULL_SNAPSHOT;
            for (Endpoint r : news.endpoints()) {
                newest = Math.max(newest, r.cell());
                ArrayDeque<long[]> queue = out.get(r.worker());
                if (queue != null) {
                    synchronized (queue) {
                        while (!queue.isEmpty() && queue.peek()[0] <= r.cell()) {
                            synchronized (this) {
                                histogram.recordValue((now - queue.remove()[1]) / 1000);
                            }
                        }
                    }
                }
            }
        }

        @Override
        public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {}

        @Override
        public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {}

        synchronized Histogram take() {
            Histogram taken = histogram;
            histogram = new Histogram(60_000_000, 3);
            return taken;
        }
    }

    private static RegistrySettings settings(Dialect dialect, StandInRegistry... members) {
        List<String> endpoints = new ArrayList<>();
        for (StandInRegistry m : members) {
            endpoints.add(m.address());
        }
        return RegistrySettings.withDefaults(dialect, endpoints, List.of(PREFIX));
    }

    private void follow(Dialect dialect, int workers) throws Exception {
        Store store = new Store();
        for (int i = 0; i < workers; i++) {
            store.put(PREFIX + "w" + i, value("w" + i, "10.0." + i / 250 + '.' + i % 250 + ":80", "SERVING", 0));
        }
        String name = dialect + " " + workers + " workers";
        Config config = config();
        try (StandInRegistry member = new StandInRegistry(store, 7)) {
            Learning learning = new Learning(new DecisionService(config.settings(), 1));
            long begun = System.nanoTime();
            try (RegistryEndpointSource source = new RegistryEndpointSource(
                    settings(dialect, member),
                    new EndpointParser(config.names().zones(), config.names().kinds()),
                    1,
                    3,
                    learning)) {
                source.start();
                until("the first list", () -> learning.whole);
                double built = (System.nanoTime() - begun) / 1e6;
                int number = 0;
                for (int rate : new int[] {10, 100, 1000}) {
                    number = changes(name, dialect, workers, rate, store, learning, number);
                }
                breaks(name, dialect, workers, store, member, learning, number);
                System.gc();
                var memory = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage();
                report.row(name + ": first list", "ms", built, "heap MB, stand-in too", memory.getUsed() / 1e6);
            }
        }
    }

    private int changes(String name, Dialect dialect, int workers, int rate, Store store, Learning learning, int before)
            throws InterruptedException {
        int number = before;
        double seconds = quick ? 0.5 : 10;
        var os = (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long cpu = os.getProcessCpuTime();
        long start = System.nanoTime();
        int count = (int) Math.max(5, rate * seconds);
        for (int i = 0; i < count; i++) {
            long due = start + i * 1_000_000_000L / rate;
            while (System.nanoTime() < due) {
                Thread.sleep(0, 200_000);
            }
            String worker = "w" + (i * 7919L) % workers;
            number++;
            learning.wrote(worker, number);
            store.put(PREFIX + worker, value(worker, "10.0.0.1:80", i % 2 == 0 ? "SERVING" : "DRAINING", number));
        }
        int last = number;
        until("the last change", () -> learning.newest >= last);
        double took = (System.nanoTime() - start) / 1e9;
        Histogram h = learning.take();
        report.row(
                name + ", " + rate + "/s",
                "learned ms p50",
                h.getValueAtPercentile(50) / 1e3,
                "p99",
                h.getValueAtPercentile(99) / 1e3,
                "max",
                h.getMaxValue() / 1e3,
                "cores, stand-in too",
                (os.getProcessCpuTime() - cpu) / 1e9 / took);
        if (rate == 1000 && workers == 10_000) {
            report.aim(
                    "learned at p99, ms (" + dialect + ", 10,000 workers, 1,000 changes/s)",
                    h.getValueAtPercentile(99) / 1e3,
                    20);
        }
        return number;
    }

    private void breaks(
            String name,
            Dialect dialect,
            int workers,
            Store store,
            StandInRegistry member,
            Learning learning,
            int before)
            throws Exception {
        int number = before;
        double resume = 0;
        double rebuild = 0;
        for (int i = 0; i < (quick ? 2 : 10); i++) {
            for (boolean compacted : new boolean[] {false, true}) {
                member.down();
                store.put(PREFIX + "w1", value("w1", "10.0.0.1:80", "DRAINING", ++number));
                if (compacted) {
                    store.put(PREFIX + "w2", value("w2", "10.0.0.1:80", "DRAINING", number));
                    store.compact(store.revision());
                }
                Thread.sleep(150);
                long up = System.nanoTime();
                member.up();
                int last = number;
                until("the change made during the break", () -> learning.newest >= last);
                double took = (System.nanoTime() - up) / 1e6;
                if (compacted) {
                    rebuild = Math.max(rebuild, took);
                } else {
                    resume = Math.max(resume, took);
                }
            }
        }
        report.row(name + ": after breaks", "resumed ms, worst", resume, "rebuilt ms, worst", rebuild);
        if (workers == 10_000) {
            report.aim("resumed after the endpoint's return, ms (" + dialect + ")", resume, 100);
            report.aim("rebuilt 10,000 workers, ms (" + dialect + ")", rebuild, 1000);
        }
    }

    /** What a change of one worker costs the facade and the module, without any registry. */
    private void changes(int[] sizes) throws ConfigException {
        Map<Integer, Double> micros = new TreeMap<>();
        for (int workers : sizes) {
            DecisionService d = new DecisionService(config().settings(), 1);
            List<Endpoint> all = new ArrayList<>();
            for (int i = 0; i < workers; i++) {
                all.add(new Endpoint("w" + i, "10.0.0.1:80", Endpoint.State.SERVING, 1, 0, 0, 0, 0));
            }
            d.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.CACHED_SNAPSHOT, 1, all));
            int rounds = quick ? 20_000 : 200_000;
            long start = 0;
            for (int i = 0; i < 2 * rounds; i++) {
                start = i == rounds ? System.nanoTime() : start;
                int w = (int) (i * 7919L % workers);
                Endpoint.State state = i % 3 == 0
                        ? Endpoint.State.DELETED
                        : i % 3 == 1 ? Endpoint.State.SERVING : Endpoint.State.DRAINING;
                d.reportEndpoints(new EndpointUpdate(
                        EndpointUpdate.Kind.DELTA,
                        i + 2L,
                        List.of(new Endpoint("w" + w, "10.0.0.1:80", state, 1, 0, 0, 0, 0))));
            }
            micros.put(workers, (System.nanoTime() - start) / 1e3 / rounds);
            report.row("one change, " + workers + " workers known", "us in facade and module", micros.get(workers));
        }
        report.aim("a change at 10,000 workers against one at 100", micros.get(10_000) / micros.get(100), 4);
    }

    /** Drains written while the registry breaks: when the last job still came to the worker. */
    private void drains(Dialect dialect) throws Exception {
        Map<String, Long> learned = new ConcurrentHashMap<>(); // by worker: drained since, as learned
        AtomicLong worst = new AtomicLong();
        AtomicLong late = new AtomicLong();
        AtomicLong jobs = new AtomicLong();
        StandInWorker.Arrivals arrivals = (worker, nanos) -> {
            jobs.incrementAndGet();
            Long since = learned.get(worker.id());
            if (since != null && nanos > since) {
                worst.accumulateAndGet(nanos - since, Math::max);
                if (nanos - since > 250_000_000L) {
                    late.incrementAndGet();
                }
            }
        };
        Store store = new Store();
        List<StandInWorker> workers = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(11);
        int drained = 0;
        AtomicBoolean over = new AtomicBoolean();
        try (StandInRegistry member = new StandInRegistry(store, 5)) {
            for (int i = 0; i < 6; i++) {
                StandInWorker w = new StandInWorker(arrivals);
                workers.add(w);
                store.put(PREFIX + w.id(), value(w.id(), w.address(), "SERVING", 0));
            }
            DispatcherServer server = new DispatcherServer(
                    config(), new OperatorConfig(false, settings(dialect, member)), RegistryMeasure::config);
            server.onEndpoints(news -> news.endpoints().forEach(r -> {
                if (r.state() == Endpoint.State.SERVING) {
                    learned.remove(r.worker());
                } else {
                    learned.putIfAbsent(r.worker(), System.nanoTime());
                }
            }));
            server.start();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                int me = i;
                Thread t = new Thread(() -> client(server.port(), me, over));
                t.start();
                clients.add(t);
            }
            until("jobs", () -> jobs.get() > 50);
            member.faults.cut = 0.05;
            long end = System.nanoTime() + (quick ? 2_000_000_000L : 30_000_000_000L);
            while (System.nanoTime() < end) {
                StandInWorker w = workers.get(random.nextInt(workers.size()));
                if (random.nextInt(4) == 0) {
                    member.cutAll();
                    if (random.nextBoolean()) {
                        store.compact(store.revision());
                    }
                }
                store.put(PREFIX + w.id(), value(w.id(), w.address(), "DRAINING", 0));
                drained++;
                until("the drain", () -> learned.containsKey(w.id()));
                Thread.sleep(random.nextInt(20));
                store.put(PREFIX + w.id(), value(w.id(), w.address(), "SERVING", 0));
                until("its return", () -> !learned.containsKey(w.id()));
            }
            over.set(true);
            for (Thread t : clients) {
                t.join();
            }
            server.stop();
        } finally {
            for (StandInWorker w : workers) {
                w.close();
            }
        }
        report.row(
                dialect + ": drains under load",
                "drains",
                drained,
                "jobs",
                jobs.get(),
                "worst send after learned ms",
                worst.get() / 1e6,
                "sends too late",
                late.get());
        report.aim("sends later than 250 ms after a drain was learned (" + dialect + ")", late.get(), 0);
    }

    private static void client(int port, int me, AtomicBoolean over) {
        for (int n = 0; !over.get(); ) {
            try (HttpConnection link =
                    HttpConnection.dial(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000)) {
                while (!over.get()) {
                    link.send(("POST /page/x HTTP/1.1\r\nHost: t\r\nX-Txn: c" + me + '-' + n++
                                    + "\r\nX-Lane: page\r\nX-Org: acme\r\nX-Remaining-Ms: 4000\r\nX-Estimate: 1000\r\n"
                                    + "Content-Length: 0\r\n\r\n")
                            .getBytes());
                    link.receive(HttpParser.response(1 << 20, new ByteArrayOutputStream()::write), 6000);
                }
            } catch (IOException e) {
                // dials anew
            }
        }
    }

    /** Two hundred dispatchers lose one registry, which has compacted when it returns. On a virtual clock. */
    private void herd(boolean paced) {
        int peers = 200;
        int workers = 10_000;
        RegistrySettings plain = RegistrySettings.withDefaults(Dialect.ETCD, List.of("r:1"), List.of(PREFIX));
        int rated = plain.requestsPerS();
        RegistrySettings settings = paced
                ? plain
                : new RegistrySettings(
                        plain.dialect(),
                        plain.endpoints(),
                        plain.follow(),
                        "",
                        plain.page(),
                        100_000_000,
                        500,
                        3000,
                        10_000,
                        60_000,
                        30_000,
                        3000,
                        15_000,
                        60_000);
        Store store = new Store();
        for (int i = 0; i < workers; i++) {
            store.put(PREFIX + i, "w" + i);
        }
        VirtualRegistry.Member member = new VirtualRegistry.Member(store);
        VirtualRegistry registry = new VirtualRegistry(settings, List.of(member));
        RegistryListener sink = new RegistryListener() {
            @Override
            public void endpointsChanged(EndpointUpdate news) {}

            @Override
            public void eventOccurred(boolean warning, String name, Object... pairs) {}
        };
        // One route stands for all values: what a core asks does not hang on what they say.
        Map<String, Endpoint> routes = new HashMap<>();
        List<VirtualRegistry.Conversation> all = new ArrayList<>();
        List<RegistryWatcher> cores = new ArrayList<>();
        for (int i = 0; i < peers; i++) {
            EndpointView view = new EndpointView(
                    1,
                    (key, text) -> routes.computeIfAbsent(
                            text, w -> new Endpoint(w, "10.0.0.1:80", Endpoint.State.SERVING, 1, 0, 0, 0, 0)),
                    15_000,
                    sink);
            RegistryWatcher core = new RegistryWatcher(settings, 0, 1, peers, view, i, 1, sink);
            cores.add(core);
            all.add(registry.new Conversation(core, i));
        }
        long now = 1;
        now = play(all, now, now + 20_000, () -> false);
        member.down = true;
        now = play(all, now, now + 3000, () -> false);
        store.put(PREFIX + 5, "w" + 5);
        store.compact(store.revision());
        member.down = false;
        List<Long> samples = new ArrayList<>(); // a tenth of a second apart
        samples.add(registry.requests());
        long back = now;
        now = play(all, now, now + 30_000, () -> {
            samples.add(registry.requests());
            return cores.stream().allMatch(c -> c.revision() == store.revision());
        });
        long most = 0;
        for (int i = 1; i < samples.size(); i++) {
            most = Math.max(most, samples.get(i) - samples.get(Math.max(0, i - 10)));
        }
        long left = cores.stream().filter(c -> c.revision() != store.revision()).count();
        report.row(
                "200 dispatchers, one registry" + (paced ? "" : ", no pace"),
                "rated requests/s",
                rated,
                "requests in the worst second",
                most,
                "all rebuilt after s",
                (now - back) / 1e3,
                "not rebuilt",
                left);
        if (paced) {
            report.aim("requests in the worst second after a loss, against the rate", (double) most / rated, 2);
            report.aim("dispatchers of 200 that have not rebuilt within 30 s", left, 0);
        }
    }

    /** Until {@code over} says so, which is asked every 100 ms of the virtual clock; returns that moment. */
    private static long play(List<VirtualRegistry.Conversation> all, long from, long to, BooleanSupplier over) {
        long[] due = new long[all.size()];
        java.util.Arrays.fill(due, from);
        for (long now = from; now < to; now++) {
            for (int i = 0; i < due.length; i++) {
                if (due[i] <= now) {
                    due[i] = Math.max(now + 1, all.get(i).step(now));
                }
            }
            if ((now - from) % 100 == 99 && over.getAsBoolean()) {
                return now;
            }
        }
        return to;
    }
}
