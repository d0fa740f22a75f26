package maplespread.lab.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;

/**
 * Discovery as the protocol's page has it: the list by worker, each dispatcher told the addresses of its own
 * ways, a watch with the whole list first and changes after it.
 */
final class RigDiscovery {
    private static final long HOLD_MS = 60_000;
    private static final long BLANK_MS = 2000;
    final String[] doors; // by dispatcher
    private final Map<RigWorker, String> states = new LinkedHashMap<>();
    private final List<Map<RigWorker, String>> news = new ArrayList<>(); // by generation
    private final EventRecord ledger;
    private volatile boolean down;
    private volatile long lateMs;

    RigDiscovery(int dispatchers, LoopbackListeners doors, EventRecord ledger) throws IOException {
        this.ledger = ledger;
        this.doors = new String[dispatchers];
        for (int d = 0; d < dispatchers; d++) {
            int whose = d;
            this.doors[d] = doors.open(link -> {
                try {
                    serve(link, whose);
                } catch (InterruptedException ended) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    /** The worker is listed so from now on; watchers are told. */
    synchronized void set(RigWorker worker, String lifecycle) {
        if (lifecycle.equals("DELETED")) {
            states.remove(worker);
        } else {
            states.put(worker, lifecycle);
        }
        news.add(Map.of(worker, lifecycle));
        notifyAll();
    }

    /** As it is listed. */
    synchronized String state(RigWorker worker) {
        return states.getOrDefault(worker, "DELETED");
    }

    /** Watches end and calls fail as long as it is down. */
    synchronized void down(boolean now) {
        down = now;
        notifyAll();
    }

    /** Each call's first line takes so long. */
    void late(long ms) {
        lateMs = ms;
    }

    /** Its data is lost: it comes back empty, and counts its generations from the start again. */
    synchronized void wipe() {
        states.clear();
        news.clear();
        notifyAll();
    }

    private void serve(HttpConnection link, int dispatcher) throws IOException, InterruptedException {
        while (link.fill(HOLD_MS)) {
            HttpParser parser = HttpParser.request((bytes, at, length) -> {});
            link.receive(parser, HOLD_MS);
            ledger.lists.increment();
            if (lateMs > 0) {
                Thread.sleep(lateMs);
            }
            if (down) {
                link.send(HttpWriter.response(503).body(new byte[0]));
                return;
            }
            follow(link, dispatcher);
            return;
        }
    }

    private void follow(HttpConnection link, int dispatcher) throws IOException, InterruptedException {
        link.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        int told = -1;
        while (!down) {
            String line;
            synchronized (this) {
                if (told > news.size()) {
                    return; // wiped under the watch
                }
                if (told == news.size()) {
                    wait(BLANK_MS);
                }
                if (told > news.size() || down) {
                    return;
                }
                Map<RigWorker, String> changed = new LinkedHashMap<>(told < 0 ? states : Map.of());
                for (int g = Math.max(0, told); told >= 0 && g < news.size(); g++) {
                    changed.putAll(news.get(g));
                }
                line = told == news.size() ? "" : object(dispatcher, told < 0, changed);
                told = news.size();
            }
            line += "\n";
            link.send((Integer.toHexString(line.length()) + "\r\n" + line + "\r\n").getBytes());
        }
    }

    /** What a dispatcher would be told now, as a whole; also what it may know from before. */
    synchronized String whole(int dispatcher) {
        return object(dispatcher, true, states);
    }

    private synchronized String object(int dispatcher, boolean reset, Map<RigWorker, String> of) {
        StringBuilder all = new StringBuilder();
        of.forEach((w, state) -> all.append(all.length() == 0 ? "" : ",")
                .append("{\"instanceId\":\"")
                .append(w.name)
                .append("\",\"hostPort\":\"")
                .append(w.doors[dispatcher])
                .append("\",\"zone\":\"")
                .append(w.zone)
                .append("\",\"machineType\":\"m\",\"cell\":1,\"lifecycle\":\"")
                .append(state)
                .append("\",\"weight\":1.0,\"startedAtMs\":")
                .append(w.startedAtMs())
                .append('}'));
        return "{\"generation\":" + news.size() + ",\"reset\":" + reset + ",\"instances\":[" + all + "]}";
    }
}
