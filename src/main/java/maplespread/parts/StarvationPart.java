package maplespread.parts;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.util.List;
import java.util.Map;
import maplespread.config.Config;
import maplespread.config.Operator;
import maplespread.config.StarvationSettings;
import maplespread.console.Calls.Call;
import maplespread.console.Calls.Reply;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Ends;
import maplespread.log.Event;
import maplespread.membership.Update;
import maplespread.routes.RouteSink;
import maplespread.starvation.client.Watch;

/** Tells which tenant is starved: a round each window, with the others' windows where there is a group. */
final class StarvationPart implements Part {
    private static final int CHANNEL = 3;
    private static final long STACK = 256 * 1024;
    private static final Gson GSON = new GsonBuilder()
            .setPrettyPrinting()
            .serializeSpecialFloatingPointValues()
            .create();
    private final StarvationSettings set;
    private final GroupPart group; // null: alone
    private final String name;
    private final Watch watch;
    private final Thread thread;
    private boolean listens;

    StarvationPart(StarvationSettings set, Config config, GroupPart group, Host host) {
        this.set = set;
        this.group = group;
        name = config.name();
        watch = new Watch(set, config, group != null, System.currentTimeMillis(), host::relief);
        thread = new Thread(null, this::run, "starvation", STACK);
        thread.setDaemon(true);
    }

    @Override
    public void start() {
        thread.start();
    }

    @Override
    public Ends ends() {
        return watch;
    }

    @Override
    public RouteSink routes(RouteSink next) {
        return new RouteSink() {
            @Override
            public void news(EndpointUpdate news) {
                watch.news(news);
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
        };
    }

    @Override
    public void reload(Config config, Operator next) {
        watch.config(config);
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
        GroupPart.Joined joined = group == null ? null : group.joined();
        if (joined == null) {
            watch.round(0, bytes -> {});
            return;
        }
        if (!listens) {
            listens = true;
            joined.group().channel(CHANNEL, watch::heard);
        }
        List<String> others = joined.group().members().stream()
                .filter(m -> !m.name().equals(name) && m.state() == Update.State.ALIVE)
                .map(Update::name)
                .toList();
        watch.round(others.size(), bytes -> others.forEach(m -> joined.group().send(CHANNEL, m, bytes)));
    }

    @Override
    public Map<String, Call> calls() {
        return !set.console()
                ? Map.of()
                : Map.of("GET /admin/starvation", ask -> new Reply(200, GSON.toJson(watch.standing())));
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
