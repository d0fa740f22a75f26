package review2;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sound clients: one request at a time on kept connections, a fresh id for each, no retries but
 * the one that the protocol page asks for when a connection ends between two requests.
 */
final class Clients {
    /** A request with its answer; status 0: none came. */
    record Call(String id, String lane, int port, long sentMs, long endedMs, int status, String body) {}

    /** The length of bodies from now on; 0: short ones. */
    volatile int longBodyBytes;
    /** How many things the requests concern; 0: none is named. */
    int entities;
    /** How long a client waits for an answer beyond the time that it has stated. */
    int patienceMs = 600;
    private final Rig rig;
    private final AtomicLong ids = new AtomicLong();
    private final List<Call> calls = new ArrayList<>();
    final Map<String, Call> byId = new ConcurrentHashMap<>();
    private final Map<String, Long> sent = new ConcurrentHashMap<>();
    private volatile boolean ended;
    private final List<Thread> threads = new ArrayList<>();

    Clients(Rig rig) {
        this.rig = rig;
    }

    /** A client that sends its next request {@code pauseMs} after the last answer; {@code lanes} are drawn. */
    void start(int port, int workMs, int remainingMs, long pauseMs, String... lanes) {
        Random random = new Random(threads.size());
        threads.add(Rig.daemon(() -> {
            Http.Client connection = null;
            while (!ended) {
                String lane = lanes[random.nextInt(lanes.length)];
                String id = String.format("%016x", 0x9b1f000000000000L + ids.incrementAndGet());
                long sentMs = rig.ms();
                int status = 0;
                String body = "";
                String entity = entities == 0 ? null : "e" + random.nextInt(entities);
                int bodyBytes = longBodyBytes;
                sent.put(id, sentMs);
                for (int tries = 0; tries < 2 && status == 0; tries++) {
                    boolean kept = connection != null;
                    try {
                        if (connection == null) {
                            connection = new Http.Client(port);
                        }
                        if (tries == 0) {
                            sentMs = rig.ms();
                        }
                        Http.Message answer = connection.job(
                                lane, id, entity, workMs, remainingMs, bodyBytes, remainingMs + patienceMs);
                        status = answer.status;
                        body = answer.text().strip();
                        if (answer.closes()) {
                            connection.close();
                            connection = null;
                        }
                    } catch (IOException e) {
                        body = (kept ? "kept connection: " : "new connection: ") + e;
                        connection = closed(connection);
                        // The close of a kept connection may have crossed the request, which is then sent once more.
                        if (!kept || e instanceof SocketTimeoutException) {
                            break;
                        }
                        rig.log("client", id + " " + body);
                    }
                }
                sent.remove(id);
                Call call = new Call(id, lane, port, sentMs, rig.ms(), status, body);
                rig.log("client", lane + " " + id + " of " + bodyBytes + " bytes sent " + sentMs + " answered " + status + " " + body);
                byId.put(id, call);
                synchronized (calls) {
                    calls.add(call);
                }
                Rig.sleep(status == 200 ? pauseMs : Math.max(50, pauseMs));
            }
        }));
    }

    private static Http.Client closed(Http.Client connection) {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // it has ended
        }
        return null;
    }

    /** The ids of the requests that were sent at least so long ago and have no answer yet. */
    List<String> open(long sinceMs) {
        long nowMs = rig.ms();
        return sent.entrySet().stream().filter(entry -> nowMs - entry.getValue() >= sinceMs).map(Map.Entry::getKey).toList();
    }

    List<Call> calls() {
        synchronized (calls) {
            return List.copyOf(calls);
        }
    }

    void end() {
        end(8000);
    }

    /** Sends nothing new, and waits for what is out. */
    void end(long limitMs) {
        ended = true;
        long endMs = rig.ms() + limitMs;
        for (Thread thread : threads) {
            try {
                thread.join(Math.max(1, endMs - rig.ms()));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
