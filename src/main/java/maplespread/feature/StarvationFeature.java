package maplespread.feature;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.admin.AdminRoutes.Call;
import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.config.StarvationSettings;
import maplespread.discovery.EndpointListener;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.RequestListener;
import maplespread.log.Event;
import maplespread.membership.MemberUpdate;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.starvation.client.StarvationMonitor;

/** Detects which tenant is starved: evaluates once a window, with the other dispatchers' windows where it has a group. */
final class StarvationFeature implements Feature {
    /** The group's channel for windows. */
    private static final int WINDOW_CHANNEL = 3;

    private static final long THREAD_STACK_BYTES = 256 * 1024;
    private static final Gson GSON = new GsonBuilder()
            .setPrettyPrinting()
            .serializeSpecialFloatingPointValues()
            .create();

    private final StarvationSettings settings;
    /** Null: this dispatcher is alone. */
    private final GroupFeature group;

    private final String name;
    private final StarvationMonitor monitor;
    private final Thread thread;
    private boolean channelRegistered;

    /** {@code group}: null where there is none. */
    StarvationFeature(StarvationSettings settings, Config config, GroupFeature group, FeatureContext context) {
        this.settings = settings;
        this.group = group;
        name = config.name();
        monitor = new StarvationMonitor(
                settings, config, group != null, System.currentTimeMillis(), context::setPriorityBoosts);
        thread = new Thread(null, this::run, "starvation", THREAD_STACK_BYTES);
        thread.setDaemon(true);
    }

    @Override
    public void start() {
        thread.start();
    }

    @Override
    public Optional<RequestListener> requestListener() {
        return Optional.of(monitor);
    }

    @Override
    public EndpointListener wrapListener(EndpointListener next) {
        return new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate update) {
                monitor.endpointsChanged(update);
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
        };
    }

    @Override
    public void reload(Config config, OperatorConfig operator) {
        monitor.configure(config);
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(settings.windowMs());
                try {
                    evaluateWindow();
                } catch (RuntimeException | Error e) { // the next window must still be evaluated
                    Event.of("starvation.fault", "why", e).error();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void evaluateWindow() {
        JoinedGroup joined = group == null ? null : group.joined();
        if (joined == null) {
            monitor.evaluate(0, window -> {});
            return;
        }
        if (!channelRegistered) {
            channelRegistered = true;
            joined.transport().registerChannel(WINDOW_CHANNEL, monitor::windowReceived);
        }
        List<String> others = joined.transport().members().stream()
                .filter(member -> !member.name().equals(name) && member.state() == MemberUpdate.State.ALIVE)
                .map(MemberUpdate::name)
                .toList();
        monitor.evaluate(
                others.size(),
                window -> others.forEach(member -> joined.transport().send(WINDOW_CHANNEL, member, window)));
    }

    @Override
    public Map<String, Call> adminRoutes() {
        if (!settings.console()) {
            return Map.of();
        }
        return Map.of("GET /admin/starvation", request -> new AdminResponse(200, GSON.toJson(monitor.report())));
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
