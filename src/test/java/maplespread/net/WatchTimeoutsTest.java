package maplespread.net;

import static maplespread.net.Loopback.list;
import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonParser;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import maplespread.discovery.DiscoveryClient;
import maplespread.discovery.EndpointListener;
import maplespread.discovery.EndpointParser;
import maplespread.discovery.WatchTimeouts;
import maplespread.facade.EndpointUpdate;
import maplespread.net.Loopback.Call;
import maplespread.net.Loopback.Peer;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import org.junit.jupiter.api.Test;

/** One clock for discovery's list: silence is a break, and what the agent holds counts at once. */
class WatchTimeoutsTest {
    private static final Loopback.Script MUTE = call -> {};
    private final List<EndpointUpdate> news = new CopyOnWriteArrayList<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final List<EndpointWatchFailure> losses = new CopyOnWriteArrayList<>();
    private final List<EndpointListDoubt> doubts = new CopyOnWriteArrayList<>();

    private DiscoveryClient routes(Peer discovery, boolean pushed) {
        return new DiscoveryClient(
                new InetSocketAddress("127.0.0.1", discovery.socket.getLocalPort()),
                new EndpointParser(List.of("a"), List.of("m")),
                1,
                new WatchTimeouts(60, 10, 1500),
                pushed,
                7,
                new EndpointListener() {
                    @Override
                    public void endpointsChanged(EndpointUpdate told) {
                        news.add(told);
                    }

                    @Override
                    public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {
                        doubts.add(why);
                    }

                    @Override
                    public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {
                        lost.incrementAndGet();
                        losses.add(loss);
                    }
                });
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String indented(String json) {
        return new GsonBuilder().setPrettyPrinting().create().toJson(JsonParser.parseString(json));
    }

    /**
     * Asked once only: the later watches are the route set's own, and the module hears of none that speaks.
     * Silent before their first word: the first and the fourth; after it: the second.
     */
    @Test
    void aSilentWatchIsBegunAnewWhetherItHadSpokenOrNot() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Peer discovery = new Peer(call -> {
                    int n = calls.getAndIncrement();
                    if (n == 1) {
                        call.open();
                        call.line(list(4, false, "SERVING"));
                    } else if (n == 2) {
                        call.open();
                        call.line('\n' + indented(list(5, false, "DRAINING"))); // after a sign of life
                    }
                });
                DiscoveryClient routes = routes(discovery, false)) {
            routes.start();
            routes.watch();
            for (int since : new int[] {1, 1, 4, 5}) {
                assertEquals(
                        "/v1/endpoints?follow=1&since=" + since,
                        discovery.next().head.target());
            }
            until("the module is told", () -> lost.get() == 1);
            assertEquals(2, news.size());
            assertNull(discovery.calls.poll());
        }
    }

    /** Nobody asks for it, and an outage of the agent is not waited out by any back-off of the module. */
    @Test
    void aPushedListIsWatchedFromTheStartAndAfterAnOutage() throws Exception {
        try (Peer discovery = new Peer(MUTE);
                DiscoveryClient routes = routes(discovery, true)) {
            discovery.script = call -> call.link.close();
            routes.start();
            for (int i = 0; i < 3; i++) {
                discovery.next();
            }
            discovery.script = call -> {
                call.open();
                call.line(indented(list(2, true, "SERVING")));
            };
            until("the list", () -> !news.isEmpty());
            assertEquals(EndpointUpdate.Kind.FULL_SNAPSHOT, news.get(0).kind());
        }
    }

    /** Guards against a start that uses what its agent knows to be drained. */
    @Test
    void aStartWaitsForWhatTheAgentHolds() throws Exception {
        try (Peer worker = new Peer(MUTE);
                Loopback here = new Loopback(
                        Loopback.Site.OUTLET,
                        call -> {
                            pause(200); // an agent that takes its time
                            call.open();
                            call.line(list(2, false, "DRAINING", worker));
                        },
                        c -> c,
                        text -> text.replace("\"ask\"", "\"push\""),
                        worker);
                Loopback.Client client = here.new Client()) {
            Call ready = client.send("GET /ready HTTP/1.1\r\nHost: t\r\n\r\n").answer();
            assertEquals(503, ready.head.status());
            assertNull(worker.calls.poll());
        }
    }

    @Test
    void theProtocolsClockLeavesTimeForACallAmongMany() {
        WatchTimeouts clock = WatchTimeouts.ofProtocol();
        assertTrue(clock.silenceMs() > 2000, "a line is due every 2 s");
        assertTrue(clock.silenceMs() + clock.spreadMs() + clock.renewMs() <= 6000);
        assertTrue(clock.renewMs() >= 2000, "discovery answers a hundred callers one after another");
    }

    /** What the end of a watch or call tells: whether discovery went, was not there, or said nothing. */
    @Test
    void eachEndOfAWatchIsToldAsWhatItIs() throws Exception {
        Loopback.Script speaks = call -> {
            call.open();
            call.line(list(2, false, "SERVING"));
        };
        Map<Loopback.Script, EndpointWatchFailure> ends = new LinkedHashMap<>();
        ends.put(
                call -> {
                    speaks.answer(call);
                    call.link.close();
                },
                EndpointWatchFailure.ENDED);
        ends.put(call -> call.link.close(), EndpointWatchFailure.NO_ANSWER);
        ends.put(call -> call.raw("HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n"), EndpointWatchFailure.NO_ANSWER);
        ends.put(
                call -> {
                    speaks.answer(call);
                    call.line("no JSON"); // discovery is there, and what it says cannot be read
                },
                EndpointWatchFailure.NO_ANSWER);
        for (Map.Entry<Loopback.Script, EndpointWatchFailure> end : ends.entrySet()) {
            losses.clear();
            try (Peer discovery = new Peer(end.getKey());
                    DiscoveryClient routes = routes(discovery, false)) {
                routes.start();
                routes.watch();
                until("the end", () -> !losses.isEmpty());
                assertEquals(end.getValue(), losses.get(0));
            }
        }
        losses.clear();
        Peer gone = new Peer(MUTE);
        gone.close();
        try (DiscoveryClient routes = routes(gone, false)) {
            routes.start();
            routes.watch();
            until("the refusal", () -> !losses.isEmpty());
            assertEquals(EndpointWatchFailure.REFUSED, losses.get(0));
        }
    }

    /** A silence and a move put the list in doubt at once; the address left behind confirms nothing. */
    @Test
    void aSilenceAndAMovePutTheListInDoubt() throws Exception {
        Loopback.Script speaks = call -> {
            call.open();
            call.line(list(2, false, "SERVING"));
        };
        List<Call> watches = new CopyOnWriteArrayList<>();
        try (Peer first = new Peer(call -> {
                    watches.add(call);
                    speaks.answer(call);
                });
                Peer second = new Peer(MUTE);
                DiscoveryClient routes = routes(first, false)) {
            routes.start();
            routes.watch();
            until("the silence is told", () -> doubts.contains(EndpointListDoubt.SILENT));
            until("it is begun anew", () -> watches.size() >= 2);
            routes.moveTo(new InetSocketAddress("127.0.0.1", second.socket.getLocalPort()));
            until("the move is told", () -> doubts.contains(EndpointListDoubt.MOVED));
            first.script = call -> { // silent again and again, it is watched again and again
                call.open();
                call.line(list(3, false, "DRAINING"));
            };
            until(
                    "the old address is still obeyed",
                    () -> !news.isEmpty() && news.get(news.size() - 1).version() == 3);
            assertFalse(news.get(news.size() - 1).confirmed(), "but it vouches for nothing");
        }
    }
}
