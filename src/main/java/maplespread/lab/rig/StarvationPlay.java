package maplespread.lab.rig;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import maplespread.lab.rig.GroupLinks.Trouble;

/**
 * Dispatchers that tell which tenant is starved while links are cut and instances stall, die and come back.
 * Workers let one tenant's jobs lie, for all dispatchers or for one. All that any of them says is looked at
 * all the time: of that tenant alone may it be said that it is starved, and not before it is; of nobody that
 * it asks too much or that its jobs are long.
 */
public final class StarvationPlay implements Closeable {
    /** {@code load}: jobs a second over all. */
    public record Plan(int dispatchers, int workers, long seed, double load) {}

    private static final int LAST = 2; // the tenant concerned
    private static final long MOST_MS = 60_000; // for one thing that is waited for
    private static final int WINDOW_MS = 300;
    private final Plan plan;
    final Rig rig;
    private final Thread watcher;
    private volatile boolean begun;
    private int looks;
    private int crowded;

    public StarvationPlay(Plan plan) throws IOException, InterruptedException {
        this.plan = plan;
        rig = new Rig(new Rig.Plan(
                plan.dispatchers,
                plan.workers,
                plan.seed,
                0,
                (d, version, of) -> ("{" + of.group(d, version, 250, 80) + ",'starvation':{'window_ms':" + WINDOW_MS
                                + ",'windows':8," + "'verdicts':'both','relief':{}}}")
                        .replace('\'', '"'),
                plan.load));
        watcher = LoopbackListeners.daemon("watcher", () -> {
            while (true) {
                for (int d = 0; d < plan.dispatchers; d++) {
                    look(d);
                }
                Thread.sleep(WINDOW_MS / 3);
            }
        });
    }

    /** What stands at a dispatcher, each as scope, verdict and tenant; null: it says nothing now. */
    private Set<String> look(int d) {
        if (rig.dispatchers.get(d).out()) {
            return null;
        }
        Set<String> all = new TreeSet<>();
        try {
            String told = rig.dispatchers.get(d).call("GET", "/admin/starvation", "");
            if (!told.startsWith("200 ")) {
                return null;
            }
            JsonObject body = JsonParser.parseString(told.substring(4)).getAsJsonObject();
            for (JsonElement e : body.getAsJsonArray("verdicts")) {
                JsonObject v = e.getAsJsonObject().getAsJsonObject("verdict");
                String kind = v.get("kind").getAsString();
                int tenant = v.get("tenant").getAsInt();
                if (kind.equals("CROWDED")) { // by a machine that is slow, too
                    crowded++;
                } else if (!kind.equals("NOT_KNOWN") && !(kind.equals("STARVED") && tenant == LAST && begun)) {
                    rig.ledger.wrong("n" + d + " says " + e);
                }
                all.add(e.getAsJsonObject().get("scope").getAsString() + " " + kind + " " + tenant);
            }
            for (JsonElement e : body.getAsJsonArray("relief")) {
                if (e.getAsJsonObject().get("tenant").getAsInt() != LAST) {
                    rig.ledger.wrong("n" + d + " relieves " + e);
                }
                all.add("relief");
            }
            looks++;
            return all;
        } catch (IOException | IllegalStateException gone) {
            return null; // struck meanwhile
        }
    }

    private boolean says(int d, String what) {
        Set<String> all = look(d);
        return all != null && (what.isEmpty() ? all.stream().allMatch(s -> s.contains("CROWDED")) : all.contains(what));
    }

    /** Waits until each of these dispatchers says so; how long that took. */
    public long await(String what, int... whom) throws IOException, InterruptedException {
        long start = System.nanoTime();
        await(() -> IntStream.of(whom).allMatch(d -> says(d, what)), "'" + what + "'");
        return (System.nanoTime() - start) / 1_000_000;
    }

    private void await(BooleanSupplier condition, String what) throws IOException, InterruptedException {
        long end = System.nanoTime() + MOST_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                rig.ledger.wrong("in vain for " + what); // and so the logs are kept
                throw new IOException("in vain for " + what + ": " + rig.ledger + "; logs in " + rig.folder());
            }
            Thread.sleep(20);
        }
    }

    /** Waits until so many more jobs were served, whatever is said meanwhile. */
    void served(int jobs) throws IOException, InterruptedException {
        long from = rig.ledger.served.sum();
        await(() -> rig.ledger.served.sum() >= from + jobs, "service");
    }

    /** The tenant's jobs lie, where they come from these dispatchers; nowhere: no more. */
    void starve(int... from) {
        begun |= from.length > 0;
        rig.workers.forEach(w -> {
            for (int d = 0; d < plan.dispatchers; d++) {
                int at = d;
                w.ways[d].last = IntStream.of(from).anyMatch(x -> x == at) ? Rig.ORGS[LAST] : "";
            }
        });
    }

    private int[] all() {
        return IntStream.range(0, plan.dispatchers).toArray();
    }

    /**
     * The story: all is well; then it is starved, and meanwhile one is cut off, one stalls and one dies;
     * then all is well again. How long it took until all named it, in ms.
     */
    public long play() throws IOException, InterruptedException {
        int last = plan.dispatchers - 1;
        await("", all());
        served((int) (3 * plan.load));
        starve(all());
        long named = await("fleet STARVED " + LAST, all());
        await("relief", all());
        for (int d = 0; d < last; d++) {
            rig.links.set(d, last, Trouble.CUT);
            rig.links.set(last, d, Trouble.CUT);
        }
        await("fleet NOT_KNOWN -1", last); // it hears nobody
        await("fleet STARVED " + LAST, 0); // the others go on
        rig.links.all(new Trouble(false, 0.2, 0.2, 0, 200));
        rig.dispatchers.get(1).signal("STOP");
        rig.kill(0);
        served((int) (2 * plan.load));
        rig.restart(0);
        rig.dispatchers.get(1).signal("CONT");
        rig.links.all(Trouble.NONE);
        rig.dispatchers.get(0).awaitServing();
        await("fleet STARVED " + LAST, all());
        starve();
        await("", all());
        return named;
    }

    /** One dispatcher's jobs of the tenant lie; how long until it says so itself, in ms. */
    public long unfair() throws IOException, InterruptedException {
        int d = plan.dispatchers - 1;
        starve(d);
        long named = await("dispatcher STARVED " + LAST, d);
        starve();
        await("", all());
        return named;
    }

    /** How often it was looked at what one of them says. */
    public int looks() {
        return looks;
    }

    /** How often a place was called slow for all: on a machine that does much else, that may be so. */
    public int crowded() {
        return crowded;
    }

    public java.util.List<String> wrongs() {
        return rig.wrongs();
    }

    @Override
    public void close() throws IOException {
        watcher.interrupt();
        rig.close();
    }
}
