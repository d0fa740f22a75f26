package maplespread.starvation.client;

import com.google.gson.annotations.SerializedName;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
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
 * Records this process's waits, takes the other dispatchers' windows where they come, and has both judged once a
 * window. Requests are reported on their own threads under this object's lock, which is held for a map's entry;
 * judging is done on the caller of {@link #evaluate}, outside of it.
 *
 * <p>A request's place is the zone and kind of the worker that was tried last; of one that no worker was tried
 * for, this dispatcher's zone and its class's kind.
 */
public final class StarvationMonitor implements RequestListener {
    /** Windows of other dispatchers that wait for the next round. */
    private static final int MAX_PENDING_WINDOWS = 4096;

    private static final int MAX_LOGGED_VERDICTS_PER_ROUND = 100;

    /** So many places are told apart by a dispatcher that judges itself. */
    private static final int MAX_PLACES_SINGLE_DISPATCHER = 8;

    /** Returned for a request that is not recorded. */
    private static final long NOT_RECORDED = -1;

    private static final String FLEET = "fleet";
    private static final String DISPATCHER = "dispatcher";

    /** What is judged, and by whom: the whole fleet, or this dispatcher alone. */
    private record Scope(String name, FleetWindow window, StarvationDetector detector) {}

    /** A verdict, and of which scope it is. The member names are those of the admin answer. */
    public record ScopedVerdict(String scope, Verdict verdict) {}

    /** All that stands: verdicts, and weights above 1. The admin answer has the serialized names. */
    public record Report(
            List<ScopedVerdict> verdicts,
            @SerializedName("relief") List<PriorityBoost.Weight> weights) {}

    private final StarvationSettings settings;
    private final String name;
    private final boolean exchangesWindows;
    private final Consumer<double[]> weights;
    private final ArrayDeque<WaitWindow> pendingWindows = new ArrayDeque<>(); // its own lock
    private Config config;
    private WaitRecorder recorder;
    private FleetLayout layout;
    private List<Scope> scopes; // the fleet where it is judged, then this dispatcher
    private PriorityBoost boost; // null: no tenant is boosted
    private long incarnation;
    private long requests;
    private volatile Map<String, Integer> placeByWorker = Map.of();
    private volatile Report report = new Report(List.of(), List.of());

    /**
     * {@code exchangesWindows}: other dispatchers' windows are to come; {@code weights}: called on the thread of
     * {@link #evaluate} with the weight of each tenant's requests.
     */
    public StarvationMonitor(
            StarvationSettings settings,
            Config config,
            boolean exchangesWindows,
            long incarnation,
            Consumer<double[]> weights) {
        this.settings = settings;
        this.exchangesWindows = exchangesWindows;
        this.weights = weights;
        this.incarnation = incarnation;
        name = config.name();
        configure(config);
    }

    /** Takes up a configuration; other classes, tenants or dispatchers begin anew, as a later incarnation. */
    public synchronized void configure(Config next) {
        if (config != null && judgesAlike(config, next)) {
            return;
        }
        layout = layoutOf(next);
        config = next;
        incarnation++;
        recorder = new WaitRecorder(name, incarnation, settings.windowMs(), layout.deadlinesMs());
        if (settings.relief() != null) {
            boost = new PriorityBoost(settings.relief(), settings.windows());
            weights.accept(new double[0]);
        }
        scopes = scopes(next);
    }

    private static boolean judgesAlike(Config config, Config next) {
        PolicySettings now = config.settings();
        PolicySettings then = next.settings();
        return next.names().equals(config.names())
                && then.classes().equals(now.classes())
                && then.tenants().equals(now.tenants())
                && then.dispatcherCount() == now.dispatcherCount();
    }

    private List<Scope> scopes(Config next) {
        long keepMs = (long) settings.windowMs() * settings.windows();
        boolean onlyDispatcher = layout.processes() == 1;
        List<Scope> all = new ArrayList<>();
        StarvationDetector fleet = null;
        if (exchangesWindows && !onlyDispatcher) {
            fleet = new StarvationDetector(layout, settings.matters());
            all.add(new Scope(FLEET, new FleetWindow(keepMs, true), fleet));
        }
        int places = Math.max(1, next.names().zones().size()) * layout.kinds();
        boolean separatePlaces = onlyDispatcher || places <= MAX_PLACES_SINGLE_DISPATCHER;
        all.add(new Scope(
                onlyDispatcher ? FLEET : DISPATCHER,
                new FleetWindow(keepMs, separatePlaces),
                StarvationDetector.singleDispatcher(layout, settings.matters(), fleet)));
        return all;
    }

    private static FleetLayout layoutOf(Config config) {
        PolicySettings settings = config.settings();
        return new FleetLayout(
                settings.classes().stream()
                        .mapToDouble(RequestClass::deadlineMs)
                        .toArray(),
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).toArray(),
                settings.dispatcherCount(),
                Math.max(1, config.names().kinds().size()));
    }

    private static long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Takes note of where the workers stand. */
    public void endpointsChanged(EndpointUpdate update) {
        Map<String, Integer> next =
                update.kind() == EndpointUpdate.Kind.DELTA ? new HashMap<>(placeByWorker) : new HashMap<>();
        for (Endpoint endpoint : update.endpoints()) {
            if (endpoint.state() == Endpoint.State.DELETED) {
                next.remove(endpoint.worker());
            } else {
                next.put(endpoint.worker(), place(endpoint.zone(), endpoint.kind()));
            }
        }
        placeByWorker = next;
    }

    private synchronized int place(int zone, int kind) {
        return Math.max(0, zone) * layout.kinds() + Math.min(layout.kinds() - 1, Math.max(0, kind));
    }

    // ------------------------------------------------------------ requests, on their threads

    @Override
    public synchronized long requestAccepted(InFlightRequest request) {
        int requestClass = request.requestClass();
        if (requestClass >= layout.deadlinesMs().length) {
            return NOT_RECORDED; // of a class that was added this moment
        }
        int kind = config.settings().classes().get(requestClass).requiredWorkerKind();
        int place = place(config.settings().zone(), kind);
        requests++;
        recorder.requestAccepted(nowMs(), requests, request.tenant(), requestClass, place, request.workMs());
        return requests;
    }

    @Override
    public synchronized void requestCompleted(long id, Result result, String worker) {
        WaitRecorder.Completion completion =
                switch (result) {
                    case SERVED -> WaitRecorder.Completion.SERVED;
                    case REJECTED -> WaitRecorder.Completion.REJECTED;
                    case FAILED -> WaitRecorder.Completion.FAILED;
                    case CLIENT_LEFT -> WaitRecorder.Completion.CLIENT_LEFT;
                };
        Integer place = worker == null ? null : placeByWorker.get(worker);
        recorder.requestCompleted(nowMs(), id, place == null ? WaitRecorder.SAME_PLACE : place, completion);
    }

    // ------------------------------------------------------------ rounds

    /** Takes another dispatcher's window; {@code from}: its name in the group. Any thread. */
    public void windowReceived(String from, byte[] bytes) {
        try {
            WaitWindow window = WindowCodec.decode(bytes);
            synchronized (pendingWindows) {
                if (window.process().equals(from) && pendingWindows.size() < MAX_PENDING_WINDOWS) {
                    pendingWindows.add(window);
                }
            }
        } catch (MalformedWindowException e) {
            Event.of("starvation.malformed_window", "from", from, "why", e.getMessage())
                    .warn();
        }
    }

    /** What one round goes by, read under the lock. */
    private record Round(
            long nowMs,
            WaitWindow ownWindow,
            List<Scope> scopes,
            FleetLayout layout,
            PriorityBoost boost,
            SiteNames names) {}

    private synchronized Round beginRound(long nowMs) {
        return new Round(nowMs, recorder.closeWindow(nowMs), scopes, layout, boost, SiteNames.of(config.names()));
    }

    /**
     * Ends a window, sends it to the other dispatchers, and judges. {@code others}: how many there are; {@code
     * send}: sends the bytes to each of them.
     */
    public void evaluate(int others, Consumer<byte[]> send) {
        Round round = beginRound(nowMs());
        if (others > 0) {
            int maxBytes = WindowCodec.bytesPerPeer(settings.bytesPerS(), settings.windowMs(), others);
            send.accept(WindowCodec.encode(round.ownWindow, maxBytes));
        }
        List<WaitWindow> allWindows = new ArrayList<>(List.of(round.ownWindow));
        synchronized (pendingWindows) {
            allWindows.addAll(pendingWindows);
            pendingWindows.clear();
        }
        List<ScopedVerdict> verdicts = judge(round, allWindows);
        if (round.boost != null) {
            updateBoost(round);
        }
        report = new Report(List.copyOf(verdicts), round.boost == null ? List.of() : round.boost.activeWeights());
    }

    private List<ScopedVerdict> judge(Round round, List<WaitWindow> allWindows) {
        List<ScopedVerdict> verdicts = new ArrayList<>();
        int changes = 0;
        for (int i = 0; i < round.scopes.size(); i++) {
            Scope scope = round.scopes.get(i);
            boolean thisDispatcher = i == round.scopes.size() - 1;
            scope.window.evictExpired(round.nowMs);
            List<WaitWindow> windows = thisDispatcher ? List.of(round.ownWindow) : allWindows;
            windows.forEach(window -> scope.window.add(round.nowMs, window));
            for (Verdict change : scope.detector.evaluate(round.nowMs, scope.window)) {
                if (settings.log() && changes++ < MAX_LOGGED_VERDICTS_PER_ROUND) {
                    VerdictLog.write(scope.name, change, round.layout, round.nowMs, round.names);
                }
            }
            scope.detector.activeVerdicts().forEach(v -> verdicts.add(new ScopedVerdict(scope.name, v)));
        }
        return verdicts;
    }

    /** By the fleet's verdicts, or by this dispatcher's where it is alone: all others see the same. */
    private void updateBoost(Round round) {
        StarvationDetector detector = round.scopes.get(0).detector;
        round.boost
                .update(detector.activeVerdicts(), detector.enoughReported())
                .forEach(change -> VerdictLog.write(change, round.names));
        double[] all = new double[round.layout.allowancesPerS().length];
        Arrays.setAll(all, round.boost::weight);
        weights.accept(all);
    }

    /** All that stands since the last round. */
    public Report report() {
        return report;
    }
}
