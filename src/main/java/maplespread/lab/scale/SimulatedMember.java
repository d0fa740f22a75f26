package maplespread.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import maplespread.admin.AdminRoutes;
import maplespread.caller.RecentRequestIds;
import maplespread.config.Config;
import maplespread.config.OperatorConfig;
import maplespread.discovery.EndpointListener;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.InFlightRequest;
import maplespread.facade.RequestListener;
import maplespread.feature.FeatureContext;
import maplespread.feature.Features;
import maplespread.metrics.Metrics;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.worker.PeerForwarder;

/** The optional parts of one dispatcher, as {@code serve} puts them together, with no client and no worker. */
public final class SimulatedMember implements Closeable {
    private static final InetSocketAddress LISTENS = new InetSocketAddress("127.0.0.1", 1);

    private record Job(long number, long endsAtNanos) {}

    /** Stands in for the server: it serves from the start on, and is drained and resumed by call. */
    private static final class HollowHost implements FeatureContext {
        private final Config config;
        private final Metrics figures = new Metrics();
        private final RecentRequestIds requestIds;
        private volatile boolean serving;

        HollowHost(Config config) {
            this.config = config;
            requestIds = new RecentRequestIds(() -> config.times().longestDeadlineMs());
        }

        @Override
        public Config config() {
            return config;
        }

        @Override
        public Metrics metrics() {
            return figures;
        }

        @Override
        public Metrics.HostCounts hostCounts() {
            return new Metrics.HostCounts(0, 0);
        }

        @Override
        public void reapplySettings() {}

        @Override
        public void setPriorityBoosts(double[] weights) {}

        @Override
        public boolean quiesce() {
            serving = false;
            return true;
        }

        @Override
        public boolean resume() {
            serving = true;
            return true;
        }

        @Override
        public boolean isServing() {
            return serving;
        }

        @Override
        public boolean isAccepting() {
            return serving;
        }

        @Override
        public RecentRequestIds requestIds() {
            return requestIds;
        }

        @Override
        public InetSocketAddress listenAddress() {
            return LISTENS;
        }

        @Override
        public PeerForwarder peerForwarder() {
            return null; // nobody sends jobs
        }
    }

    private final HollowHost host;
    private final Features parts;
    private final AdminRoutes calls;
    private final Deque<Job> running = new ArrayDeque<>();
    private double jobsDue;

    /** Starts at once; {@code workers}: the whole list. */
    SimulatedMember(Config config, OperatorConfig operator, EndpointUpdate workers) throws IOException {
        host = new HollowHost(config);
        parts = new Features(config, operator, host);
        EndpointListener sink = parts.wrapListener(new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate news) {}

            @Override
            public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {}

            @Override
            public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {}
        });
        calls = parts.adminRoutes(Map.of());
        parts.start();
        sink.endpointsChanged(workers);
        host.resume();
        parts.onServing();
    }

    /** Answers a call of the console; see {@link AdminRoutes#answer}. */
    AdminRoutes.AdminResponse call(String method, String target) {
        return calls.answer(method, target, "");
    }

    /** What {@code GET /admin/group} shows. */
    JsonObject group() {
        return JsonParser.parseString(call("GET", "/admin/group").text()).getAsJsonObject();
    }

    /** Starts jobs at this rate since the last call, {@code elapsedS} ago, and ends those that are due. */
    void jobs(double perS, double elapsedS, long runsNanos, long nowNanos, int tenants) {
        RequestListener ends = parts.requestListener();
        if (ends == null) {
            return;
        }
        for (jobsDue += perS * elapsedS; jobsDue >= 1; jobsDue--) {
            int tenant = Math.floorMod(nowNanos / 1000, tenants);
            InFlightRequest job = new InFlightRequest(0, tenant, nowNanos / 1000 + runsNanos, Double.NaN, 1, 1, null);
            running.add(new Job(ends.requestAccepted(job), nowNanos + runsNanos));
        }
        while (!running.isEmpty() && running.peek().endsAtNanos - nowNanos <= 0) {
            ends.requestCompleted(running.remove().number, RequestListener.Result.SERVED, null);
        }
    }

    /** Sends clients away, or takes them again, without the fleet being asked. */
    void serving(boolean serves) {
        host.serving = serves;
    }

    @Override
    public void close() {
        parts.close();
    }
}
