package maplespread;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import maplespread.admin.AdminRoutes;
import maplespread.admin.AdminServer;
import maplespread.caller.ClientListener;
import maplespread.caller.ServingContext;
import maplespread.config.Config;
import maplespread.config.ConfigException;
import maplespread.config.OperatorConfig;
import maplespread.discovery.EndpointListener;
import maplespread.discovery.EndpointSourceSwitch;
import maplespread.facade.Action;
import maplespread.facade.DecisionService;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Outcome;
import maplespread.feature.EndpointSources;
import maplespread.feature.FeatureContext;
import maplespread.feature.Features;
import maplespread.metrics.Metrics;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.registry.RegistrySettings;
import maplespread.worker.AttemptRunner;
import maplespread.worker.ConnectionPool;
import maplespread.worker.PeerForwarder;
import maplespread.worker.Prober;
import org.tinylog.Logger;

/**
 * One running dispatcher: puts the parts together, takes them through the phases, reloads the configuration and shuts down.
 * The thread {@code ticker} carries out the policy's actions and closes what has expired; {@code reloader} reloads.
 */
public final class DispatcherServer {
    /** Bytes; times the thread counts that follow from Config.Limits. */
    private static final long THREAD_STACK_BYTES = 144 * 1024;

    private static final int ACCEPT_BACKLOG = 2048;
    /** Threads for client connections beyond the limit. */
    private static final int OVER_LIMIT_THREADS = 16;
    /** Client connections that may wait for the thread of one that is closing. */
    private static final int MAX_WAITING_CONNECTIONS = 64;

    private static final long SWEEP_INTERVAL_MS = 1000;
    private static final long COUNTS_LOG_INTERVAL_MS = 10_000;
    /** A client connection that has been quiet for so long may close during a drain. */
    private static final long IDLE_CLOSE_MS = 500;
    /** Between looks for such connections. */
    private static final long DRAIN_POLL_MS = 50;
    /** A drain by call that lasts longer than this hurries: */
    private static final long DRAIN_HURRY_AFTER_MS = 1000;
    /** then connections close after this. */
    private static final long HURRIED_IDLE_CLOSE_MS = 200;
    /** After the last client has left, others may come for so long. */
    private static final long RECONNECT_GRACE_MS = 250;
    /** For the last responses' way to their clients. */
    private static final long RESPONSE_TRANSIT_MS = 100;

    /** Where a new configuration comes from; the operators' file is read whole or not at all. */
    public interface ConfigSource {
        Config read() throws ConfigException;

        default OperatorConfig operator() throws ConfigException {
            return OperatorConfig.NONE;
        }
    }

    private volatile Config config; // what a reload cannot change stays in it
    private final ConfigSource source;
    private final Semaphore reloads = new Semaphore(0);
    private final Lifecycle lifecycle = new Lifecycle();
    private final DecisionService decisions;
    private final ConnectionPool connectionPool;
    private final AttemptRunner attemptRunner;
    private final Prober prober;
    private final EndpointSourceSwitch endpointSource;
    private final EndpointListener endpointListener;
    private final Features features;
    private volatile Consumer<EndpointUpdate> endpointTap = news -> {};
    private RegistrySettings registry; // null: the list comes from discovery
    private final List<Thread> daemonThreads;
    private final ExecutorService probes;
    private volatile ServerSocket socket; // null before it is bound
    private volatile ClientListener listener;
    private volatile long shutdownDeadlineUs = Long.MAX_VALUE; // by when all must be answered
    private long sweptNanos = System.nanoTime();
    private long countsLoggedNanos = sweptNanos;
    private long quiescedNanos; // 0: no drain by call
    private final Metrics metrics = new Metrics();
    private AdminServer adminServer; // null: none is named
    private final Object settingsLock = new Object(); // of those who give the policy settings
    private final CountDownLatch listReceived = new CountDownLatch(1); // of the route set, since the start

    /** {@code source}: asked at each reload. */
    public DispatcherServer(Config config, ConfigSource source) {
        this(config, OperatorConfig.NONE, source);
    }

    /** With what the operators' own file says. */
    public DispatcherServer(Config config, OperatorConfig operator, ConfigSource source) {
        this.config = config;
        this.source = source;
        probes = daemonThreads("probe", config.limits().probes());
        decisions = new DecisionService(config.settings(), config.seed(), operator.fair());
        connectionPool = new ConnectionPool(this::config, this::presentLimits);
        attemptRunner = new AttemptRunner(this::config, connectionPool, decisions, metrics);
        metrics.showClasses(config.names().classes());
        prober = new Prober(this::config, connectionPool, decisions);
        registry = operator.registry();
        EndpointListener all = new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate news) {
                decisions.reportEndpoints(news);
                if (news.kind() != EndpointUpdate.Kind.CACHED_SNAPSHOT) { // that one is of before the start
                    listReceived.countDown();
                }
                endpointTap.accept(news);
            }

            @Override
            public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {
                decisions.reportWatchLost(loss, heardAgoMs);
            }

            @Override
            public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {
                decisions.reportListUnconfirmed(why, heardAgoMs);
            }
        };
        features = new Features(config, operator, new ThisDispatcher());
        endpointListener = features.wrapListener(all);
        endpointSource = new EndpointSourceSwitch(EndpointSources.create(config, registry), endpointListener);
        daemonThreads = List.of(daemonThread("ticker", this::tick), daemonThread("reloader", this::reloads));
    }

    /** This dispatcher as its parts see it. */
    private final class ThisDispatcher implements FeatureContext {
        @Override
        public Config config() {
            return config;
        }

        @Override
        public Metrics metrics() {
            return metrics;
        }

        @Override
        public Metrics.HostCounts hostCounts() {
            return decisions.hostCounts();
        }

        @Override
        public void reapplySettings() {
            synchronized (settingsLock) {
                decisions.applySettings(features.adjustSettings(config.settings()));
            }
        }

        @Override
        public void setPriorityBoosts(double[] weights) {
            decisions.setPriorityBoosts(weights);
        }

        @Override
        public boolean quiesce() {
            return lifecycle.quiesce();
        }

        @Override
        public boolean resume() {
            return lifecycle.resume();
        }

        @Override
        public boolean isServing() {
            return lifecycle.serving();
        }

        @Override
        public boolean isAccepting() {
            return lifecycle.accepting();
        }

        @Override
        public InetSocketAddress listenAddress() {
            ServerSocket s = socket;
            return s == null ? null : (InetSocketAddress) s.getLocalSocketAddress();
        }

        @Override
        public PeerForwarder peerForwarder() {
            return new PeerForwarder(connectionPool);
        }
    }

    /**
     * Opens the listener once the first endpoint list since the start has come, or after {@code firstListMs}: by the cached
     * list of the configuration, whose age nobody knows, nothing is sent, and clients do better elsewhere until then.
     */
    public void start() throws IOException {
        endpointListener.endpointsChanged(config.cachedEndpoints());
        if (config.console() != null) {
            adminServer = new AdminServer(config.console(), Config.MAX_ADMIN_CONNECTIONS, adminRoutes());
            adminServer.start();
        }
        features.start();
        daemonThreads.forEach(Thread::start);
        endpointSource.start();
        try {
            long limitMs = config.times().firstListMs();
            if (!listReceived.await(limitMs, TimeUnit.MILLISECONDS)) {
                Logger.warn("no word of the list within {} ms: refuses until it is confirmed", limitMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        if (config.console() != null) { // beside the process that this one relieves
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        InetSocketAddress at = config.listen();
        socket.bind(at, ACCEPT_BACKLOG);
        this.socket = socket;
        ServingContext service = new ServingContext(
                this::config,
                decisions,
                attemptRunner,
                daemonThreads("request", config.limits().requestsInFlight() + 8),
                this::presentLimits,
                metrics,
                new ServingContext.ServiceState(
                        lifecycle::serving,
                        endpointSource::notReadyReason,
                        lifecycle::closingConnections,
                        () -> shutdownDeadlineUs),
                new ServingContext.RequestHooks(features.requestListener(), features.requestSequencer()));
        listener = new ClientListener(
                socket,
                service,
                queuedThreadPool("connection", config.limits().clientConnections()),
                daemonThreads("over-limit", OVER_LIMIT_THREADS));
        daemonThread("listener", listener).start();
        features.onServing();
        lifecycle.enter(Lifecycle.Phase.SERVING);
        Logger.info("{} serves on {}", config.name(), socket.getLocalSocketAddress());
    }

    private Config config() {
        return config;
    }

    /** How much may be held now: part of it while another process of this dispatcher lives. */
    private Config.Limits presentLimits() {
        return features.hasPeerProcess() ? config.limits().shared() : config.limits();
    }

    /** What the operators are shown. */
    private String metrics() {
        metrics.setHostCounts(features.adjustHostCounts(decisions.hostCounts()));
        return metrics.text();
    }

    private AdminRoutes adminRoutes() {
        return features.adminRoutes(Map.of(
                "GET /admin/health",
                        AdminRoutes.yesOrNo(lifecycle::accepting, "takes clients", 503, "takes no clients"),
                "GET /admin/stats", ask -> new AdminRoutes.AdminResponse(200, metrics()),
                "POST /admin/quiesce",
                        AdminRoutes.yesOrNo(lifecycle::quiesce, "drains; resume ends it", 409, "not in service"),
                "POST /admin/resume", AdminRoutes.yesOrNo(lifecycle::resume, "at work", 409, "not in service")));
    }

    /** Has the configuration read anew; asked several times at once, it is read after the last of them. */
    public void reload() {
        reloads.release();
    }

    private void reloads() {
        try {
            while (true) {
                reloads.acquire();
                reloads.drainPermits();
                lifecycle.reload(this::applyConfiguration);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** All of the file is read and checked before any of it counts; a bad one changes nothing. */
    private void applyConfiguration() {
        try {
            Config read = source.read();
            Config next = read.mergedInto(config);
            OperatorConfig operator = source.operator();
            operator.check(next);
            RegistrySettings then = operator.registry();
            List<String> later = config.needingRestart(read);
            if (!later.isEmpty()) {
                Logger.warn("configuration: changed, but taken up only by a restart: {}", later);
            }
            metrics.showClasses(next.names().live());
            synchronized (settingsLock) {
                decisions.applySettings(features.adjustSettings(next.settings()));
                config = next; // last: the policy must know a class first
            }
            features.reload(next, operator);
            metrics.reconfigured(true);
            if (!Objects.equals(registry, then)) {
                registry = then;
                endpointSource.switchTo(EndpointSources.create(next, then));
                Logger.info(
                        "configuration: read anew; routes come from {}",
                        then == null ? "discovery at " + next.discovery() : then.dialect() + " at " + then.endpoints());
                return;
            }
            Logger.info(
                    "configuration: read anew; discovery at {}{}",
                    next.discovery(),
                    endpointSource.moveTo(next.discovery()) ? ", watched from now on" : " as before");
        } catch (ConfigException e) {
            metrics.reconfigured(false);
            Logger.error("configuration: {}; the old one stays", e.getMessage());
        } catch (RuntimeException | Error e) { // the next reload must still be heard
            metrics.reconfigured(false);
            Logger.error(e, "a reload failed; the old configuration stays");
        }
    }

    /** Has the tools hear what the dispatcher has just learned of the route set. */
    public void onEndpoints(Consumer<EndpointUpdate> listener) {
        endpointTap = listener;
    }

    public Lifecycle lifecycle() {
        return lifecycle;
    }

    /** What is listened on. */
    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** The operators' address; an IllegalStateException where there is none. */
    public InetSocketAddress adminAddress() {
        if (adminServer == null) {
            throw new IllegalStateException("no console");
        }
        return adminServer.address();
    }

    /**
     * Among how many dispatchers, processes counted, the policy shares out what a cold worker may be sent.
     */
    public int dispatcherCount() {
        return decisions.dispatcherCount();
    }

    /** The port that is listened on. */
    public int port() {
        return socket.getLocalPort();
    }

    /**
     * Ends in order: accepts a while longer, since clients are sent here until the front has noticed; serves
     * the open connections a while beyond that, since their clients use them as long as they stay open and
     * another dispatcher may be restarting too; then finishes all that was taken. What is left shortly before
     * the process may be killed is answered as failed: cut off, its clients would wait for nothing.
     */
    public void stop() {
        if (!lifecycle.enter(Lifecycle.Phase.DRAINING)) {
            return;
        }
        if (listener == null) { // told to end before anything was open
            lifecycle.enter(Lifecycle.Phase.STOPPED);
            return;
        }
        try {
            long ms = 1_000_000;
            long start = System.nanoTime();
            long end = start + config.times().shutdownMs() * ms;
            shutdownDeadlineUs = decisions.nowUs() + (config.times().shutdownMs() - RESPONSE_TRANSIT_MS) * 1000;
            boolean relieved = features.hasServingPeerProcess();
            features.beginShutdown();
            if (relieved) { // who serves beside it accepts all
                Logger.info("another process of this dispatcher has taken over");
                listener.close();
                lifecycle.enter(Lifecycle.Phase.FINISHING);
            } else {
                Thread.sleep(config.times().acceptMs());
            }
            while (listener.hasRecentClients(relieved ? 0 : RECONNECT_GRACE_MS)
                    && System.nanoTime() - start < config.times().drainMs() * ms) {
                if (relieved) {
                    listener.endQuiet(IDLE_CLOSE_MS);
                }
                Thread.sleep(10);
            }
            // Not before: closing resets what the system has accepted and this program not yet, and on a part
            // of a core it may not run for a tenth of a second between the two.
            listener.close();
            lifecycle.enter(Lifecycle.Phase.FINISHING);
            while (!listener.closeIdleConnections() && System.nanoTime() < end - RESPONSE_TRANSIT_MS * ms) {
                Thread.sleep(10);
            }
            listener.failAll();
            while (!listener.closeIdleConnections()
                    && System.nanoTime() < end) { // an exit over unread bytes would reset
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        daemonThreads.forEach(Thread::interrupt);
        endpointSource.close();
        if (adminServer != null) {
            adminServer.close();
        }
        features.close();
        lifecycle.enter(Lifecycle.Phase.STOPPED);
    }

    private void tick() {
        while (true) {
            try {
                for (Action action : decisions.tick(lifecycle.quiesced() ? DRAIN_POLL_MS : SWEEP_INTERVAL_MS)) {
                    if (action instanceof Action.Probe probe) {
                        probe(probe);
                    } else if (action instanceof Action.Cancel cancel) {
                        attemptRunner.cancel(cancel.attempt());
                    } else {
                        endpointSource.watch();
                    }
                }
                closeQuietConnections();
                if (System.nanoTime() - sweptNanos > SWEEP_INTERVAL_MS * 1_000_000) {
                    sweptNanos = System.nanoTime();
                    Set<String> used = new HashSet<>(decisions.endpointAddresses());
                    used.addAll(features.peerAddresses());
                    connectionPool.closeExpired(used);
                    attemptRunner.sweep();
                    if (listener != null) {
                        listener.sweep();
                    }
                    features.maintain();
                    logCounts();
                }
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) { // the timers must go on
                Logger.error(e, "an action of the policy failed");
            }
        }
    }

    /** During a drain by call: connections that are not in use end, later ones sooner. */
    private void closeQuietConnections() {
        if (!lifecycle.quiesced() || listener == null) {
            quiescedNanos = 0;
            return;
        }
        quiescedNanos = quiescedNanos == 0 ? System.nanoTime() : quiescedNanos;
        boolean late = System.nanoTime() - quiescedNanos > DRAIN_HURRY_AFTER_MS * 1_000_000;
        listener.endQuiet(late ? HURRIED_IDLE_CLOSE_MS : IDLE_CLOSE_MS);
    }

    private void logCounts() {
        if (System.nanoTime() - countsLoggedNanos > COUNTS_LOG_INTERVAL_MS * 1_000_000) {
            countsLoggedNanos = System.nanoTime();
            metrics.logCounts(listener == null ? 0 : listener.size());
        }
    }

    private void probe(Action.Probe probe) {
        try {
            probes.execute(() -> prober.probe(probe));
        } catch (RejectedExecutionException | OutOfMemoryError e) { // a probe without an end stays out
            decisions.reportProbeEnded(probe, Outcome.CANCELLED, 0, null);
        }
    }

    private static Thread daemonThread(String name, Runnable work) {
        Thread t = new Thread(null, work, name, THREAD_STACK_BYTES);
        t.setDaemon(true);
        return t;
    }

    /** So many threads; work beyond them waits for one, as connections that make room for others are closing. */
    private static ExecutorService queuedThreadPool(String name, int most) {
        AtomicInteger count = new AtomicInteger();
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                most,
                most,
                10,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(MAX_WAITING_CONNECTIONS),
                work -> daemonThread(name + '-' + count.incrementAndGet(), work));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    private static ExecutorService daemonThreads(String name, int most) {
        AtomicInteger count = new AtomicInteger();
        return new ThreadPoolExecutor(
                0,
                most,
                10,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                work -> daemonThread(name + '-' + count.incrementAndGet(), work));
    }
}
