package maplespread.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import maplespread.config.Config;
import maplespread.config.Operator;
import maplespread.console.Calls;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Ends;
import maplespread.facade.Transaction;
import maplespread.figures.Figures;
import maplespread.parts.Host;
import maplespread.parts.Parts;
import maplespread.routes.RouteSink;
import maplespread.worker.Relay;

/** The optional parts of one dispatcher, as {@code serve} puts them together, with no client and no worker. */
public final class HollowMember implements Closeable {
    private static final InetSocketAddress LISTENS = new InetSocketAddress("127.0.0.1", 1);

    private record Job(long number, long endsAtNanos) {}

    /** Stands in for the server: it serves from the start on, and is drained and resumed by call. */
    private static final class HollowHost implements Host {
        private final Config config;
        private final Figures figures = new Figures();
        private volatile boolean serving;

        HollowHost(Config config) {
            this.config = config;
        }

        @Override
        public Config config() {
            return config;
        }

        @Override
        public Figures figures() {
            return figures;
        }

        @Override
        public Figures.Hosts hosts() {
            return new Figures.Hosts(0, 0);
        }

        @Override
        public void settle() {}

        @Override
        public void relief(double[] weights) {}

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
        public boolean serving() {
            return serving;
        }

        @Override
        public boolean accepting() {
            return serving;
        }

        @Override
        public InetSocketAddress listens() {
            return LISTENS;
        }

        @Override
        public Relay relay() {
            return null; // nobody sends jobs
        }
    }

    private final HollowHost host;
    private final Parts parts;
    private final Calls calls;
    private final Deque<Job> running = new ArrayDeque<>();
    private double jobsDue;

    /** Starts at once; {@code workers}: the whole list. */
    HollowMember(Config config, Operator operator, EndpointUpdate workers) throws IOException {
        host = new HollowHost(config);
        parts = new Parts(config, operator, host);
        RouteSink sink = parts.routes(new RouteSink() {
            @Override
            public void news(EndpointUpdate news) {}

            @Override
            public void watchLost(Dispatch.ListLoss loss, double heardAgoMs) {}

            @Override
            public void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {}
        });
        calls = parts.calls(Map.of());
        parts.start();
        sink.news(workers);
        host.resume();
        parts.serving();
    }

    /** Answers a call of the console; see {@link Calls#answer}. */
    Calls.Reply call(String method, String target) {
        return calls.answer(method, target, "");
    }

    /** What {@code GET /admin/group} shows. */
    JsonObject group() {
        return JsonParser.parseString(call("GET", "/admin/group").text()).getAsJsonObject();
    }

    /** Starts jobs at this rate since the last call, {@code elapsedS} ago, and ends those that are due. */
    void jobs(double perS, double elapsedS, long runsNanos, long nowNanos, int tenants) {
        Ends ends = parts.ends();
        if (ends == null) {
            return;
        }
        for (jobsDue += perS * elapsedS; jobsDue >= 1; jobsDue--) {
            int tenant = Math.floorMod(nowNanos / 1000, tenants);
            Transaction job = new Transaction(0, tenant, nowNanos / 1000 + runsNanos, Double.NaN, 1, 1, null);
            running.add(new Job(ends.taken(job), nowNanos + runsNanos));
        }
        while (!running.isEmpty() && running.peek().endsAtNanos - nowNanos <= 0) {
            ends.ended(running.remove().number, Ends.How.SERVED, null);
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
