package maplespread.net;

import static maplespread.net.Loopback.job;
import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import maplespread.http.HttpConnection;
import maplespread.net.Loopback.Call;
import maplespread.net.Loopback.Client;
import maplespread.net.Loopback.Peer;
import org.junit.jupiter.api.Test;

/** What the operators' staff do with a running dispatcher, over loopback. */
class OperationStoriesTest {
    private static final Loopback.Script DONE = call -> {
        call.open();
        call.done("ok " + call.id());
    };

    @Test
    void theCallsAnswerUnderTheirNamesAndTheRestIsAnError() throws Exception {
        try (Peer worker = new Peer(DONE); Loopback here = new Loopback(Loopback::console, worker)) {
            String[][] table = {{"GET /admin/health", "200", null}, {"GET /admin/stats", "200", null},
                {"POST /admin/quiesce", "200", null}, {"POST /admin/quiesce", "200", null},
                {"GET /admin/health", "200", null}, {"POST /admin/resume", "200", null},
                {"POST /admin/resume", "200", null}, {"POST /admin/health", "405", "GET"},
                {"GET /admin/quiesce", "405", "POST"}, {"GET /admin/none", "404", null}, {"GET /", "404", null},
                {"nonsense", "400", null}, {"GET  /admin/health", "400", null}};
            for (String[] row : table) {
                Call answer = here.call(row[0]);
                assertEquals(Integer.parseInt(row[1]), answer.head.status(), row[0]);
                assertEquals(row[2], answer.head.get("Allow"), row[0]);
                assertTrue(answer.head.lists("Connection", "close"), "one call a connection");
            }
        }
    }

    /** Guards the operators against callers that hold connections with half a call, however many they are. */
    @Test
    void halfCallsKeepNobodyWaiting() throws Exception {
        try (Peer worker = new Peer(DONE); Loopback here = new Loopback(Loopback::console, worker)) {
            List<HttpConnection> half = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                HttpConnection link = here.dialConsole();
                link.send("GET /admin/hea".getBytes());
                half.add(link);
                assertEquals(200, here.call("GET /admin/health").head.status());
            }
            until("the first gave way", () -> ended(half.get(0)));
            half.forEach(HttpConnection::close);
        }
    }

    private static boolean ended(HttpConnection link) {
        try {
            return !link.fill(1);
        } catch (java.net.SocketTimeoutException open) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** An audit: peers keep their own count through every kind of end, and the figures agree when all is quiet. */
    @Test
    void theFiguresAgreeWithWhatThePeersSaw() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        Loopback.Script mixed = call -> {
            switch (turn.getAndIncrement() % 6) {
                case 1 -> call.raw("HTTP/1.1 503 S\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
                case 2 -> call.link.close();
                case 3 -> {
                    call.open();
                    call.state("failed", "");
                    call.raw("0\r\n\r\n");
                }
                default -> DONE.answer(call);
            }
        };
        String[] lanes = {"page", "order"};
        try (Peer one = new Peer(mixed); Peer two = new Peer(mixed);
             Loopback here = new Loopback(Loopback::console, one, two)) {
            assertEquals(0, here.figure("app_calls{tier=\"order\",code=\"busy\"}"), "shown from the start");
            AtomicIntegerArray seen = new AtomicIntegerArray(6);
            AtomicInteger left = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < 4; c++) {
                int me = c;
                Thread t = new Thread(() -> {
                    Random random = new Random(me);
                    for (int i = 0; i < 30; i++) {
                        int lane = random.nextInt(2);
                        try (Client client = here.new Client()) {
                            client.send(job(lanes[lane], "c" + me + '-' + i, 4000));
                            if (random.nextInt(10) == 0) {
                                left.incrementAndGet();          // goes without its answer
                                continue;
                            }
                            int status = client.answer().head.status();
                            seen.incrementAndGet(lane * 3 + (status == 200 ? 0 : status == 503 ? 1 : 2));
                        } catch (IOException e) {
                            throw new AssertionError(e);
                        }
                    }
                });
                t.start();
                clients.add(t);
            }
            for (Thread t : clients) {
                t.join();
            }
            assertEquals(400, here.new Client().status("BAD\r\n\r\n"), "no job, and not counted as one");
            until("all is quiet", () -> here.figure("app_inflight") == 0
                && here.figure("app_backend_calls") == one.calls.size() + two.calls.size());
            String[] codes = {"success", "busy", "failure"};
            int over = 0;
            for (int i = 0; i < 6; i++) {
                long told = here.figure("app_calls{tier=\"" + lanes[i / 3] + "\",code=\"" + codes[i % 3] + "\"}");
                assertTrue(told >= seen.get(i), lanes[i / 3] + ' ' + codes[i % 3] + ": " + told + " of " + seen);
                over += told - seen.get(i);
            }
            assertTrue(over <= left.get(), "beyond those who left: " + over);
            until("both are listed", () -> here.figure("app_hosts_listed") == 2);
        }
    }
}
