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
import maplespread.caller.RecentRequestIds;
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
import maplespread.http.MemoryBudget;
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
 * One running dispatcher: creates the components, runs them through the lifecycle phases, reloads the configuration and
 * shuts down. The thread {@code ticker} executes the policy's actions and closes expired connections; the thread
 * {@code reloader} reloads the configuration.
 */
public final class DispatcherServer {
    /** Stack size in bytes of each thread; the total is this times the thread counts derived from Config.Limits. */
    private static final long THREAD_STACK_BYTES = 144 * 1024;

    /** The heap holds this many times the memory of all messages in progress. */
    private static final long HEAP_PER_BUDGET = 5;

    private static final int ACCEPT_BACKLOG = 2048;
    /** Maximum number of threads for client connections beyond the limit. */
    private static final int OVER_LIMIT_THREADS = 16;
    /** Maximum number of client connections that wait for the thread of a connection that is closing. */
    private static final int MAX_WAITING_CONNECTIONS = 64;

    private static final long SWEEP_INTERVAL_MS = 1000;
    /** Interval in milliseconds at which writes past their requests' deadlines are ended. */
    private static final long STALLED_WRITE_POLL_MS = 100;

    private static final long COUNTS_LOG_INTERVAL_MS = 10_000;
    /** Idle time in milliseconds after which a client connection is closed during a drain. */
    private static final long IDLE_CLOSE_MS = 500;
    /** Interval in milliseconds between two checks for idle connections during a drain. */
    private static final long DRAIN_POLL_MS = 50;
    /** Duration in milliseconds of an operator's drain after which {@link #LATE_IDLE_CLOSE_MS} applies. */
    private static final long LATE_DRAIN_AFTER_MS = 1000;
    /** Idle time in milliseconds after which a client connection is closed late in an operator's drain. */
    private static final long LATE_IDLE_CLOSE_MS = 200;
    /** Time in milliseconds after the last client has left during which clients may still reconnect. */
    private static final long RECONNECT_GRACE_MS = 250;
    /** Time in milliseconds that the last responses need to reach their clients. */
    private static final long RESPONSE_TRANSIT_MS = 100;

    /** Source of a new configuration; the operators' file is read completely or not at all. */
    public interface ConfigSource {
        Config read() throws ConfigException;

        default OperatorConfig operator() throws ConfigException {
            return OperatorConfig.NONE;
        }
    }

    /** The configuration in force; a reload keeps the settings that only a restart can change. */
    private volatile Config config;

    private final ConfigSource source;
    private final Semaphore reloadRequests = new Semaphore(0);
    private final Lifecycle lifecycle = new Lifecycle();
    private final DecisionService decisions;
    private final ConnectionPool connectionPool;
    private final AttemptRunner attemptRunner;
    private final PeerForwarder peerForwarder;
    private final Prober prober;
    private final EndpointSourceSwitch endpointSource;
    private final EndpointListener endpointListener;
    private final Features features;
    private final MemoryBudget memory = new MemoryBudget(Runtime.getRuntime().maxMemory() / HEAP_PER_BUDGET);
    private final RecentRequestIds recentIds =
            new RecentRequestIds(() -> config().times().longestDeadlineMs());
    private volatile Consumer<EndpointUpdate> endpointObserver = update -> {};
    /** The registry that the endpoint list comes from; null if the list comes from discovery. */
    private RegistrySettings registry;

    private final List<Thread> daemonThreads;
    private final ExecutorService probes;
    /** The listening socket; null before it is bound. */
    private volatile ServerSocket socket;
    /** The listener for clients; null before the socket is bound. */
    private volatile ClientListener listener;
    /** The time in microseconds by which every request must have its response. */
    private volatile long shutdownDeadlineUs = Long.MAX_VALUE;
    /** The time of the last sweep. Ticker thread only. */
    private long lastSweepNanos = System.nanoTime();
    /** The time at which the counts were last logged. Ticker thread only. */
    private long lastCountsLogNanos = lastSweepNanos;
    /** The start of the current operator's drain; 0 if there is none. Ticker thread only. */
    private long drainStartNanos;

    private final Metrics metrics = new Metrics();
    /** The admin server; null if no admin address is configured. */
    private AdminServer adminServer;
    /** Held while settings are passed to the policy. */
    private final Object settingsLock = new Object();
    /** Released by the first endpoint list received since the start. */
    private final CountDownLatch listReceived = new CountDownLatch(1);

    /**
     * Creates a dispatcher without the operators' settings.
     *
     * @param source read at each reload
     */
    public DispatcherServer(Config config, ConfigSource source) {
        this(config, OperatorConfig.NONE, source);
    }

    /** Creates a dispatcher with the settings of the operators' file. */
    public DispatcherServer(Config config, OperatorConfig operator, ConfigSource source) {
        this.config = config;
        this.source = source;
        probes = daemonThreads("probe", config.limits().probes());
        decisions = new DecisionService(config.settings(), config.seed(), operator.fair());
        connectionPool = new ConnectionPool(this::config, this::presentLimits);
        peerForwarder = new PeerForwarder(connectionPool, memory);
        attemptRunner = new AttemptRunner(this::config, connectionPool, decisions, metrics, memory);
        metrics.showClasses(config.names().classes());
        prober = new Prober(this::config, connectionPool, decisions);
        registry = operator.registry();
        EndpointListener listHandler = new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate update) {
                decisions.reportEndpoints(update);
                if (update.kind() != EndpointUpdate.Kind.CACHED_SNAPSHOT) { // the cached list is older than the start
                    listReceived.countDown();
                }
                endpointObserver.accept(update);
            }

            @Override
            public void watchLost(EndpointWatchFailure failure, double heardAgoMs) {
                decisions.reportWatchLost(failure, heardAgoMs);
            }

            @Override
            public void listUnconfirmed(EndpointListDoubt reason, double heardAgoMs) {
                decisions.reportListUnconfirmed(reason, heardAgoMs);
            }
        };
        features = new Features(config, operator, new DispatcherContext());
        endpointListener = features.wrapListener(listHandler);
        endpointSource = new EndpointSourceSwitch(EndpointSources.first(config, registry), endpointListener);
        daemonThreads = List.of(daemonThread("ticker", this::tick), daemonThread("reloader", this::runReloads));
    }

    /** The view of this dispatcher that the optional features have. */
    private final class DispatcherContext implements FeatureContext {
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
        public RecentRequestIds requestIds() {
            return recentIds;
        }

        @Override
        public InetSocketAddress listenAddress() {
            ServerSocket bound = socket;
            return bound == null ? null : (InetSocketAddress) bound.getLocalSocketAddress();
        }

        @Override
        public PeerForwarder peerForwarder() {
            return peerForwarder;
        }
    }

    /**
     * Opens the listener once the first endpoint list since the start has been received, or after {@code firstListMs}.
     * The age of the configuration's cached list is unknown, so no request is sent by that list, and until a list has
     * been received clients are better served by another dispatcher.
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
                Logger.warn(
                        "no endpoint list received within {} ms; rejecting requests until a list is confirmed",
                        limitMs);
            }
            features.beforeServing();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        if (config.console() != null) { // the process that this one replaces may still listen on the address
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        InetSocketAddress listenAddress = config.listen();
        socket.bind(listenAddress, ACCEPT_BACKLOG);
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
                new ServingContext.RequestHooks(
                        recentIds, memory, features.requestListener(), features.requestSequencer()));
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

    /** Returns the limits in force: reduced ones while another process of this dispatcher runs. */
    private Config.Limits presentLimits() {
        return features.hasPeerProcess() ? config.limits().shared() : config.limits();
    }

    /** Returns the metrics page for the operators. */
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

    /** Requests a reload of the configuration; one reload serves all the requests made before it starts. */
    public void reload() {
        reloadRequests.release();
    }

    private void runReloads() {
        try {
            while (true) {
                reloadRequests.acquire();
                reloadRequests.drainPermits();
                lifecycle.reload(this::applyConfiguration);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Reads and checks the whole configuration before any of it is applied; an invalid one changes nothing. */
    private void applyConfiguration() {
        try {
            Config loaded = source.read();
            Config next = loaded.mergedInto(config);
            OperatorConfig operator = source.operator();
            operator.check(next);
            RegistrySettings newRegistry = operator.registry();
            List<String> restartOnly = config.needingRestart(loaded);
            if (!restartOnly.isEmpty()) {
                Logger.warn("configuration: changed, but taken up only by a restart: {}", restartOnly);
            }
            metrics.showClasses(next.names().live());
            synchronized (settingsLock) {
                decisions.applySettings(features.adjustSettings(next.settings()));
                config = next; // assigned last, as the policy must know a class before requests of it are accepted
            }
            features.reload(next, operator);
            metrics.reconfigured(true);
            if (!Objects.equals(registry, newRegistry)) {
                registry = newRegistry;
                endpointSource.switchTo(EndpointSources.replacement(next, newRegistry));
                Logger.info(
                        "configuration: read anew; routes come from {}",
                        newRegistry == null
                                ? "discovery at " + next.discovery()
                                : newRegistry.dialect() + " at " + newRegistry.endpoints());
                return;
            }
            Logger.info(
                    "configuration: read anew; discovery at {}{}",
                    next.discovery(),
                    endpointSource.moveTo(next.discovery()) ? ", watched from now on" : " as before");
        } catch (ConfigException e) {
            metrics.reconfigured(false);
            Logger.error("configuration: {}; the old one stays", e.getMessage());
        } catch (RuntimeException | Error e) { // the thread must stay alive for the next reload
            metrics.reconfigured(false);
            Logger.error(e, "the reload failed; the old configuration stays in force");
        }
    }

    /** Sets the observer that is notified of each endpoint update after the policy; for measurement tools. */
    public void onEndpoints(Consumer<EndpointUpdate> listener) {
        endpointObserver = listener;
    }

    public Lifecycle lifecycle() {
        return lifecycle;
    }

    /** Returns the address that clients connect to. */
    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /**
     * Returns the address of the admin server.
     *
     * @throws IllegalStateException if no admin address is configured
     */
    public InetSocketAddress adminAddress() {
        if (adminServer == null) {
            throw new IllegalStateException("no admin address is configured");
        }
        return adminServer.address();
    }

    /**
     * Returns the number of dispatchers, counted as processes, among which the policy divides the slow-start budget of
     * a cold worker.
     */
    public int dispatcherCount() {
        return decisions.dispatcherCount();
    }

    /** Returns the port that clients connect to. */
    public int port() {
        return socket.getLocalPort();
    }

    /**
     * Shuts down in order. Keeps accepting for a while, since the load balancer in front keeps sending clients until it
     * notices the shutdown. Then serves the open connections for a while, since their clients use them as long as they
     * stay open and another dispatcher may be restarting at the same time. Then completes the accepted requests.
     * Requests still in flight shortly before the process may be killed are answered as failed: if they were cut off,
     * their clients would wait in vain.
     */
    public void stop() {
        if (!lifecycle.enter(Lifecycle.Phase.DRAINING)) {
            return;
        }
        if (listener == null) { // stopped before the listener was opened
            lifecycle.enter(Lifecycle.Phase.STOPPED);
            return;
        }
        try {
            long nanosPerMs = 1_000_000;
            long startNanos = System.nanoTime();
            long endNanos = startNanos + config.times().shutdownMs() * nanosPerMs;
            shutdownDeadlineUs = decisions.nowUs() + (config.times().shutdownMs() - RESPONSE_TRANSIT_MS) * 1000;
            boolean replaced = features.hasServingPeerProcess();
            features.beginShutdown();
            if (replaced) { // the other process accepts all new connections
                Logger.info("another process of this dispatcher has taken over");
                listener.close();
                lifecycle.enter(Lifecycle.Phase.FINISHING);
            } else {
                Thread.sleep(config.times().acceptMs());
            }
            while (listener.hasRecentClients(replaced ? 0 : RECONNECT_GRACE_MS)
                    && System.nanoTime() - startNanos < config.times().drainMs() * nanosPerMs) {
                if (replaced) {
                    listener.closeConnectionsIdleFor(IDLE_CLOSE_MS);
                }
                Thread.sleep(10);
            }
            // Closing the listener resets connections that the kernel has accepted and this process has not. With a
            // fraction of a core the process may be descheduled for a tenth of a second between the two, so the
            // listener is closed only here.
            listener.close();
            lifecycle.enter(Lifecycle.Phase.FINISHING);
            while (!listener.closeIdleConnections()
                    && System.nanoTime() < endNanos - RESPONSE_TRANSIT_MS * nanosPerMs) {
                Thread.sleep(10);
            }
            listener.failAll();
            // An exit with unread bytes would reset the connections.
            while (!listener.closeIdleConnections() && System.nanoTime() < endNanos) {
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
                for (Action action : decisions.tick(lifecycle.quiesced() ? DRAIN_POLL_MS : STALLED_WRITE_POLL_MS)) {
                    if (action instanceof Action.Probe probe) {
                        probe(probe);
                    } else if (action instanceof Action.Cancel cancel) {
                        attemptRunner.cancel(cancel.attempt());
                    } else {
                        endpointSource.watch();
                    }
                }
                closeIdleConnections();
                attemptRunner.sweep();
                peerForwarder.sweep();
                if (System.nanoTime() - lastSweepNanos > SWEEP_INTERVAL_MS * 1_000_000) {
                    lastSweepNanos = System.nanoTime();
                    Set<String> used = new HashSet<>(decisions.endpointAddresses());
                    used.addAll(features.peerAddresses());
                    connectionPool.closeExpired(used);
                    if (listener != null) {
                        listener.sweep();
                    }
                    features.maintain();
                    logCounts();
                }
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | Error e) { // the thread must stay alive for the later ticks
                Logger.error(e, "a tick of the dispatcher failed");
            }
        }
    }

    /** Closes idle client connections during an operator's drain, after a shorter idle time late in the drain. */
    private void closeIdleConnections() {
        if (!lifecycle.quiesced() || listener == null) {
            drainStartNanos = 0;
            return;
        }
        drainStartNanos = drainStartNanos == 0 ? System.nanoTime() : drainStartNanos;
        boolean late = System.nanoTime() - drainStartNanos > LATE_DRAIN_AFTER_MS * 1_000_000;
        listener.closeConnectionsIdleFor(late ? LATE_IDLE_CLOSE_MS : IDLE_CLOSE_MS);
    }

    private void logCounts() {
        if (System.nanoTime() - lastCountsLogNanos > COUNTS_LOG_INTERVAL_MS * 1_000_000) {
            lastCountsLogNanos = System.nanoTime();
            metrics.logCounts(listener == null ? 0 : listener.size());
        }
    }

    private void probe(Action.Probe probe) {
        try {
            probes.execute(() -> prober.probe(probe));
        } catch (RejectedExecutionException | OutOfMemoryError e) { // the policy waits for the end of each probe
            decisions.reportProbeEnded(probe, Outcome.CANCELLED, 0, null);
        }
    }

    private static Thread daemonThread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Creates a pool whose tasks wait in a queue when all threads are in use: a connection that is evicted for a new
     * one keeps its thread until it has closed.
     */
    private static ExecutorService queuedThreadPool(String name, int maxThreads) {
        AtomicInteger count = new AtomicInteger();
        ThreadPoolExecutor pool = new ThreadPoolExecutor(
                maxThreads,
                maxThreads,
                10,
                TimeUnit.SECONDS,
                new LinkedBlockingQueue<>(MAX_WAITING_CONNECTIONS),
                work -> daemonThread(name + '-' + count.incrementAndGet(), work));
        pool.allowCoreThreadTimeOut(true);
        return pool;
    }

    private static ExecutorService daemonThreads(String name, int maxThreads) {
        AtomicInteger count = new AtomicInteger();
        return new ThreadPoolExecutor(
                0,
                maxThreads,
                10,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                work -> daemonThread(name + '-' + count.incrementAndGet(), work));
    }
}
