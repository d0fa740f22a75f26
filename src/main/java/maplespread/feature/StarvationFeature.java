package maplespread.feature;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Map;
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

/** Tells which tenant is starved: a round each window, with the others' windows where there is a group. */
final class StarvationFeature implements Feature {
    private static final int CHANNEL = 3;
    private static final long STACK = 256 * 1024;
    private static final Gson GSON = new GsonBuilder()
            .setPrettyPrinting()
            .serializeSpecialFloatingPointValues()
            .create();
    private final StarvationSettings set;
    private final GroupFeature group; // null: alone
    private final String name;
    private final StarvationMonitor watch;
    private final Thread thread;
    private boolean listens;

    StarvationFeature(StarvationSettings set, Config config, GroupFeature group, FeatureContext host) {
        this.set = set;
        this.group = group;
        name = config.name();
        watch = new StarvationMonitor(set, config, group != null, System.currentTimeMillis(), host::setPriorityBoosts);
        thread = new Thread(null, this::run, "starvation", STACK);
        thread.setDaemon(true);
    }

    @Override
    public void start() {
        thread.start();
    }

    @Override
    public RequestListener requestListener() {
        return watch;
    }

    @Override
    public EndpointListener wrapListener(EndpointListener next) {
        return new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate news) {
                watch.endpointsChanged(news);
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
        };
    }

    @Override
    public void reload(Config config, OperatorConfig next) {
        watch.configure(config);
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(set.windowMs());
                try {
                    round();
                } catch (RuntimeException | Error e) { // the next round must still come
                    Event.of("starvation.fault", "why", e).error();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void round() {
        GroupFeature.JoinedGroup joined = group == null ? null : group.joined();
        if (joined == null) {
            watch.evaluate(0, bytes -> {});
            return;
        }
        if (!listens) {
            listens = true;
            joined.group().registerChannel(CHANNEL, watch::windowReceived);
        }
        List<String> others = joined.group().members().stream()
                .filter(m -> !m.name().equals(name) && m.state() == MemberUpdate.State.ALIVE)
                .map(MemberUpdate::name)
                .toList();
        watch.evaluate(
                others.size(), bytes -> others.forEach(m -> joined.group().send(CHANNEL, m, bytes)));
    }

    @Override
    public Map<String, Call> adminRoutes() {
        return !set.console()
                ? Map.of()
                : Map.of("GET /admin/starvation", ask -> new AdminResponse(200, GSON.toJson(watch.report())));
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
