package maplespread.lab.rig;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What an operator's deployer does beside a release. A dispatcher that has drained, and holds nothing any
 * more, is ended and started at the version that the release goes to. Workers that the release wants
 * drained by hand are listed as draining, restarted cold when they hold nothing, and listed again. It goes
 * by what the newest of a majority of consoles says, so that one that has slept does not move it.
 */
final class Deployer implements Closeable {
    private static final long POLL_MS = 150;
    private static final long ACT_MS = 20;
    private static final long FRESH_MS = 2_000;
    private static final long IDLE_MS = 300; // holds nothing for so long

    /** What one console said, and when. */
    private record Said(long atNanos, JsonObject release) {
        /** Of what is agreed: epoch and version in one. */
        long number() {
            String[] parts = release.get("version").getAsString().split("\\.");
            return parts.length < 2 ? 0 : (Long.parseLong(parts[0]) << 32) + Long.parseLong(parts[1]);
        }
    }

    private final Rig rig;
    private final Said[] said;
    private final Map<String, Long> idleSince = new HashMap<>();
    private volatile boolean over;

    Deployer(Rig rig) {
        this.rig = rig;
        said = new Said[rig.dispatchers.size()];
        for (int d = 0; d < said.length; d++) {
            int whose = d;
            LoopbackListeners.daemon("deployer asks n" + d, () -> ask(whose));
        }
        LoopbackListeners.daemon("deployer", () -> {
            while (!over) {
                act();
                Thread.sleep(ACT_MS);
            }
        });
    }

    private void ask(int d) throws InterruptedException {
        while (!over) {
            try {
                String answer = rig.dispatchers.get(d).call("GET", "/admin/release", "");
                if (answer.startsWith("200 ")) {
                    JsonObject release =
                            JsonParser.parseString(answer.substring(4)).getAsJsonObject();
                    synchronized (said) {
                        said[d] = new Said(System.nanoTime(), release);
                    }
                }
            } catch (IOException | JsonParseException down) {
                // it is asked again
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** The answers of those that know the newest; empty without a majority of fresh ones. */
    private List<JsonObject> newest() {
        List<Said> fresh = new ArrayList<>();
        synchronized (said) {
            for (Said s : said) {
                if (s != null && System.nanoTime() - s.atNanos < FRESH_MS * 1_000_000) {
                    fresh.add(s);
                }
            }
        }
        if (fresh.size() * 2 <= said.length) {
            return List.of();
        }
        long newest = fresh.stream().mapToLong(Said::number).max().orElse(0);
        return fresh.stream()
                .filter(s -> s.number() == newest)
                .map(Said::release)
                .toList();
    }

    /** The release's phase, as the newest know it; empty where there is none, or no majority. */
    String phase() {
        List<JsonObject> all = newest();
        return all.isEmpty() ? "" : all.get(0).get("phase").getAsString();
    }

    /** What the newest know, in full; null without a majority. */
    JsonObject agreed() {
        List<JsonObject> all = newest();
        return all.isEmpty() ? null : all.get(0);
    }

    private boolean idle(String name, boolean is) {
        if (!is) {
            idleSince.remove(name);
            return false;
        }
        long since = idleSince.computeIfAbsent(name, n -> System.nanoTime());
        return System.nanoTime() - since > IDLE_MS * 1_000_000;
    }

    private void act() throws IOException, InterruptedException {
        List<JsonObject> all = newest();
        for (int d = 0; d < said.length; d++) {
            ServeProcess p = rig.dispatchers.get(d);
            if (idle("n" + d, p.drained() && p.serving() && rig.clients.inHand(d) == 0) && !all.isEmpty()) {
                JsonObject release = all.get(0).getAsJsonObject("agreed").getAsJsonObject("release");
                boolean back = release.get("moves").getAsString().equals("ROLLING_BACK");
                rig.version(
                        d,
                        release.getAsJsonObject("plan")
                                .get(back ? "from" : "to")
                                .getAsString());
                idleSince.remove("n" + d);
                p.retire();
                rig.restart(d);
            }
        }
        Map<String, String> wanted = new HashMap<>();
        for (JsonObject one : all) {
            JsonObject hand = one.getAsJsonObject("wanted_by_hand");
            hand.keySet().forEach(w -> wanted.merge(w, hand.get(w).getAsString(), (a, b) -> a.equals("serve") ? a : b));
        }
        for (RigWorker w : rig.workers) {
            boolean serves = rig.discovery.state(w).equals("SERVING");
            String what = wanted.getOrDefault(w.name, "");
            if (serves && what.equals("drain")) {
                rig.drain(w);
            } else if (!serves && what.equals("serve")) {
                rig.takeBack(w);
            } else if (idle(w.name, !serves && w.idle())) {
                idleSince.remove(w.name);
                w.restart();
                rig.discovery.set(w, "SERVING");
            }
        }
    }

    @Override
    public void close() {
        over = true;
    }
}
