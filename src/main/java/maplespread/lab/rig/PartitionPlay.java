package maplespread.lab.rig;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import maplespread.lab.rig.GroupLinks.Trouble;
import maplespread.lab.rig.OrderingChecker.Asked;
import maplespread.lab.rig.OrderingChecker.Got;
import maplespread.partition.SlotAssignment;

/**
 * Ordered partitions over processes: clients that wait for each answer, at dispatchers drawn anew for each
 * job, a third of them on one key; tables that come and go, and whatever the rig can throw.
 */
public final class PartitionPlay implements Closeable {
    /**
     * {@code rate}: jobs a second over all clients, where answers do not hold them up; {@code workMs}: of
     * a job; {@code faults}: jobs are handed on over the rig's relays, which cost time themselves, and some
     * run much longer.
     */
    public record Plan(
            int dispatchers,
            int workers,
            int keys,
            int clients,
            double rate,
            double workMs,
            long seed,
            boolean faults) {}

    /** Figures of a while without faults, in milliseconds and jobs a second. */
    public record Pace(double perS, double p50, double p99, double hotP50, double hotP99) {}

    /** Of what a dispatcher is struck with. */
    public enum Strike {
        KILLED,
        FROZEN,
        CUT_OFF
    }

    private static final int SLOTS = 64;
    private static final int LONG = 20; // times the work of others, one in 60
    private static final long MOST_MS = 60_000; // for one thing that is waited for
    private static final long PROBE_MS = 60;
    private static final long CHANGE_MS = 3_000;
    private static final String HOT = "hot";
    /** Each orders each entity: alone, with others of its tenant, or by another rule, at other workers. */
    private static final String[] ORDERED = {
        "{'rules':[{'name':'sync','when':{'entity':{'prefix':''}},'order':'by_key','runs_ms':@},{}]}",
        "{'partitions':{'a':{'zones':['a']},'b':{'zones':['b']}},'rules':[{'name':'half','when':{'entity':"
                + "{'share':[0,0.5]}},'to':'a','order':'by_key','runs_ms':@},{'name':'sync','when':{'entity':"
                + "{'prefix':''}},'to':'b','order':'by_key','runs_ms':@},{}]}",
        "{'partitions':{'a':{'zones':['a']}},'rules':[{'name':'acme','when':{'tenant':'acme'},'to':'a',"
                + "'order':'by_key','key':'tenant','runs_ms':@},{'name':'sync','when':{'entity':{'prefix':''}},"
                + "'order':'by_key','runs_ms':@},{}]}"
    };

    private static final String NONE = "{'rules':[{}]}";

    private final Plan plan;
    final Rig rig;
    private final SplittableRandom random;
    private final List<Thread> clients = new ArrayList<>();
    private final List<String> thrown = new ArrayList<>();
    private volatile String keys = ""; // how their names begin; empty: stop
    private volatile boolean over;
    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger asking = new AtomicInteger();
    private volatile int changes;
    private long runsMs;

    /** Starts all of it; {@code runsMs}: what the first table says of the longest job. */
    public PartitionPlay(Plan plan, long runsMs) throws IOException, InterruptedException {
        this.plan = plan;
        this.runsMs = runsMs;
        random = new SplittableRandom(plan.seed ^ 0x0cde5);
        rig = new Rig(
                new Rig.Plan(plan.dispatchers, plan.workers, plan.seed, 0, this::operator, 2 * plan.rate, 3000, false));
        // However late this process is: nothing runs later than the rules say.
        rig.workers.forEach(w -> Arrays.stream(w.ways).forEach(way -> way.mostMs = runsMs / 2));
        for (int c = 0; c < plan.clients; c++) {
            int mine = c;
            clients.add(LoopbackListeners.daemon("ordered client", () -> client(mine)));
        }
    }

    private String operator(int d, String version, Rig of) throws IOException {
        return "{" + of.group(d, version, 100, 40).replace('\'', '"') + ",\"partition\":{"
                + (plan.faults ? "\"address\":\"" + of.relays.address(d) + "\"," : "")
                + "\"lease_ms\":300,\"ask_ms\":60,\"silent_ms\":200,\"gone_ms\":600,\"slots\":" + SLOTS
                + ",\"table\":" + table(ORDERED[0]) + "}}";
    }

    private String table(String text) {
        return text.replace("@", Long.toString(runsMs)).replace('\'', '"');
    }

    // ------------------------------------------------------------ clients

    private void client(int c) throws InterruptedException {
        SplittableRandom mine = new SplittableRandom(plan.seed * 7919 + c);
        double every = plan.clients / plan.rate * 1e9;
        double next = System.nanoTime() + mine.nextDouble() * every;
        for (long n = 0; !over; n++) {
            next = Math.max(next, System.nanoTime() - every); // what was held up is not made up for
            TimeUnit.NANOSECONDS.sleep(Math.max(0, (long) next - System.nanoTime()));
            next += every;
            asking.incrementAndGet(); // before the look: who waits sees it
            String of = keys;
            if (!of.isEmpty()) {
                String key = of + (mine.nextInt(3) == 0 ? HOT : mine.nextInt(plan.keys));
                double work = plan.workMs * (plan.faults && mine.nextInt(60) == 0 ? LONG : 1);
                ask("c" + c + "-" + n, key, mine.nextInt(plan.dispatchers), mine.nextInt(3) > 0, work);
            }
            asking.decrementAndGet();
        }
    }

    private String id() {
        return "x-" + ids.incrementAndGet();
    }

    /** Each entity is one tenant's, so that its order is kept where its tenant's is. */
    private Asked ask(String id, String key, int first, boolean once, double work) {
        int org = key.endsWith(HOT) ? 0 : Math.floorMod(key.hashCode(), Rig.ORGS.length);
        Asked a = rig.clients.ask(id, first, org, once, work, key);
        rig.ledger.asks.add(a);
        return a;
    }

    // ------------------------------------------------------------ the operator

    /** What each console says; null in the place of one that says nothing. */
    private List<JsonObject> consoles() {
        return consoles("");
    }

    private List<JsonObject> consoles(String query) {
        return rig.dispatchers.parallelStream()
                .map(p -> {
                    try {
                        String said = p.call("GET", "/admin/partition" + query, "");
                        return said.startsWith("200 ")
                                ? JsonParser.parseString(said.substring(4)).getAsJsonObject()
                                : null;
                    } catch (IOException | JsonParseException down) {
                        return null;
                    }
                })
                .toList();
    }

    /** Whether these dispatchers have leases and each slot is open at one of them. */
    private boolean ready(IntStream which) {
        List<JsonObject> all = consoles();
        int[] open = new int[SLOTS];
        boolean[] leases = {true};
        which.forEach(d -> {
            leases[0] &= all.get(d) != null && all.get(d).get("lease").getAsBoolean();
            if (leases[0]) {
                for (JsonElement slot : all.get(d).getAsJsonArray("open")) {
                    open[slot.getAsInt()]++;
                }
            }
        });
        return leases[0] && Arrays.stream(open).allMatch(n -> n == 1);
    }

    /** Waits until all dispatchers act and every slot is served. */
    public void awaitReady() throws IOException, InterruptedException {
        await(() -> ready(IntStream.range(0, plan.dispatchers)), "every slot to be open at one dispatcher");
    }

    /** Who owns the hot key now, as another one says. */
    int hotOwner() throws IOException, InterruptedException {
        int[] owner = {-1};
        await(
                () -> {
                    String key = "entity=" + keys + HOT;
                    for (JsonObject c : consoles("?key=" + key.replace("=", "%3D"))) {
                        String name = c == null || !c.get("lease").getAsBoolean()
                                ? ""
                                : c.get("owner").getAsString();
                        owner[0] = name.isEmpty() ? owner[0] : Integer.parseInt(name.substring(1));
                    }
                    return owner[0] >= 0;
                },
                "an owner of the hot key");
        return owner[0];
    }

    /** Asks for a long job of the hot key at another than its owner until it has begun; who owns the key. */
    int longJob(double ms) throws IOException, InterruptedException {
        String name = id();
        int owner = hotOwner();
        LoopbackListeners.daemon("long job", () -> {
            for (int n = 0; !over && !began(name); n++) {
                ask(name + '-' + n, keys + HOT, (owner + 1) % plan.dispatchers, true, ms);
            }
        });
        await(() -> began(name), "a long job to begin");
        return owner;
    }

    private boolean began(String name) {
        return rig.ledger.ran().stream().anyMatch(r -> r.id().startsWith(name + '-'));
    }

    /** Waits until so many more jobs of the hot key have come to workers. */
    void hotRan(int more) throws IOException, InterruptedException {
        long had = hot();
        await(() -> hot() >= had + more, more + " jobs of the hot key to run");
    }

    private long hot() {
        return rig.ledger.ran().stream().filter(r -> r.key().endsWith(HOT)).count();
    }

    /** Waits until a dispatcher owns slots by the word of the others, or none. */
    void awaitOwned(int d, boolean some) throws IOException, InterruptedException {
        await(
                () -> {
                    JsonObject c = consoles().get((d + 1) % plan.dispatchers);
                    return c != null
                            && some
                                    == c.getAsJsonArray("slots").asList().stream()
                                            .anyMatch(o -> o.getAsString().equals("n" + d));
                },
                "n" + d + (some ? " to own slots" : " to own nothing"));
    }

    /** Has another table agreed on; waits until it is, and for nothing more. */
    public void change(int to, long longestMs) throws IOException, InterruptedException {
        runsMs = longestMs;
        change(table(ORDERED[to % ORDERED.length]));
    }

    private void change(String table) throws IOException, InterruptedException {
        String[] last = {""};
        await(
                () -> {
                    try {
                        ServeProcess p = rig.dispatchers.get(random.nextInt(plan.dispatchers));
                        last[0] = p.out() ? "out" : p.call("POST", "/admin/partition/table", table);
                    } catch (IOException gone) {
                        last[0] = gone.toString();
                    }
                    return last[0].startsWith("200 ");
                },
                "a table, " + table);
        changes++;
    }

    /** Waits until the change is over: nothing is decided by the table before any more. */
    private void awaitSettled() throws IOException, InterruptedException {
        await(
                () -> consoles().stream()
                        .allMatch(c -> c != null && c.get("may_change").getAsBoolean()),
                "the change to be over");
    }

    void await(BooleanSupplier condition, String what) throws IOException, InterruptedException {
        long end = System.nanoTime() + MOST_MS * Math.max(1, plan.dispatchers / 5) * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                rig.ledger.wrong("in vain for " + what); // and so the logs are kept
                throw new IOException(
                        "in vain for " + what + "; " + rig.ledger + "; logs in " + rig.folder() + "; " + consoles());
            }
            Thread.sleep(10);
        }
    }

    // ------------------------------------------------------------ what is played

    /** Jobs are asked for from now on, of keys of their own for each name. */
    public void begin(String name) {
        keys = name + "-";
    }

    /** Waits until so many more jobs have been served. */
    public void served(int jobs) throws IOException, InterruptedException {
        long from = rig.ledger.served.sum();
        await(() -> rig.ledger.served.sum() >= from + jobs, jobs + " jobs to be served");
    }

    /** A while without faults under the load, with order or without. */
    public Pace pace(boolean ordered, long ms, int round) throws IOException, InterruptedException {
        keys = "";
        await(() -> asking.get() == 0, "clients to have their answers");
        change(ordered ? table(ORDERED[0]) : NONE.replace('\'', '"'));
        awaitSettled();
        String name = (ordered ? "k" : "none") + round;
        begin(name);
        served(plan.clients); // each has got going
        long from = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(ms);
        long to = System.nanoTime();
        List<Asked> all = rig.ledger.asks.stream()
                .filter(a -> a.got() == Got.DONE
                        && a.sent() >= from
                        && a.answered() <= to
                        && a.key().startsWith(name + "-"))
                .toList();
        double[] hot = ms(all.stream().filter(a -> a.key().endsWith(HOT)));
        double[] cold = ms(all.stream().filter(a -> !a.key().endsWith(HOT)));
        return new Pace(
                all.size() * 1e9 / (to - from), part(cold, 0.5), part(cold, 0.99), part(hot, 0.5), part(hot, 0.99));
    }

    private static double[] ms(Stream<Asked> of) {
        return of.mapToDouble(a -> (a.answered() - a.sent()) / 1e6).toArray();
    }

    /** The value that this share of them does not pass. */
    public static double part(double[] of, double share) {
        double[] sorted = of.clone();
        Arrays.sort(sorted);
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.min(sorted.length - 1, share * sorted.length)];
    }

    /**
     * Strikes a dispatcher until all that it owned is served by others, and puts it back. For each of its
     * slots, how long it took from the stroke until a job sent after it was done, in milliseconds.
     */
    public double[] strike(Strike how, int d) throws IOException, InterruptedException {
        awaitReady();
        JsonArray owners = consoles().get((d + 1) % plan.dispatchers).getAsJsonArray("slots");
        int[] slots = IntStream.range(0, SLOTS)
                .filter(s -> owners.get(s).getAsString().equals("n" + d))
                .toArray();
        SlotAssignment hash = SlotAssignment.initial(SLOTS, "");
        IntFunction<String> key = slot -> IntStream.iterate(0, i -> i + 1)
                .mapToObj(i -> "p" + i)
                .filter(k -> hash.slotOf("entity=" + k) == slot)
                .findFirst()
                .orElseThrow();
        ServeProcess victim = rig.dispatchers.get(d);
        long[] at = {0};
        double[] unserved = new double[slots.length];
        List<Thread> all = new ArrayList<>();
        for (int i = 0; i < slots.length; i++) {
            int mine = i;
            String probed = key.apply(slots[i]);
            all.add(LoopbackListeners.daemon(
                    "prober",
                    () -> { // does not wait for answers: some are late
                        for (int n = 0; unserved(unserved, mine) == 0 && !over; n++) {
                            int first = (d + 1 + (mine + n) % (plan.dispatchers - 1)) % plan.dispatchers;
                            LoopbackListeners.daemon("probe", () -> {
                                Asked a = ask(id(), probed, first, false, plan.workMs);
                                synchronized (unserved) {
                                    if (a.got() == Got.DONE && at[0] != 0 && a.sent() > at[0]) {
                                        double ms = (a.answered() - at[0]) / 1e6;
                                        unserved[mine] = unserved[mine] == 0 ? ms : Math.min(ms, unserved[mine]);
                                    }
                                }
                            });
                            Thread.sleep(PROBE_MS);
                        }
                    }));
        }
        served(2 * slots.length + 20);
        synchronized (unserved) {
            at[0] = System.nanoTime();
        }
        switch (how) {
            case KILLED -> rig.kill(d);
            case FROZEN -> victim.signal("STOP");
            default -> cutOff(d, Trouble.CUT);
        }
        await(() -> all.stream().noneMatch(Thread::isAlive), "the slots of n" + d + " to be served, " + how);
        switch (how) {
            case KILLED -> rig.restart(d);
            case FROZEN -> victim.signal("CONT");
            default -> cutOff(d, Trouble.NONE);
        }
        await(victim::serving, "n" + d + " to be back");
        awaitReady();
        return unserved;
    }

    private static double unserved(double[] of, int slot) {
        synchronized (of) {
            return of[slot];
        }
    }

    /** All ways between this dispatcher and the others. */
    void cutOff(int d, Trouble trouble) {
        for (int i = 0; i < plan.dispatchers; i++) {
            rig.links.set(d, i, trouble);
            rig.links.set(i, d, trouble);
        }
    }

    /**
     * So many faults of all kinds, and another table every few seconds; then peace, in which all must be
     * served again.
     */
    public void storm(int faults, long gapMs, long longestMs) throws IOException, InterruptedException {
        CountDownLatch peaceful = new CountDownLatch(1);
        Thread operator = LoopbackListeners.daemon("tables", () -> {
            for (int i = 1; peaceful.getCount() > 0; i++) {
                change(i, longestMs);
                peaceful.await(CHANGE_MS, TimeUnit.MILLISECONDS);
            }
        });
        thrown.addAll(new FaultSchedule(rig, plan.seed, FaultSchedule.Kinds.ORDER).blow(faults, gapMs));
        peaceful.countDown();
        operator.join();
        peace();
    }

    /** What befell it. */
    public List<String> thrown() {
        return thrown;
    }

    public int changes() {
        return changes;
    }

    /** Waits until all is well, and until jobs of many keys are done. */
    public void peace() throws IOException, InterruptedException {
        awaitReady();
        for (int k = 0; k < SLOTS; k++) {
            int key = k;
            await(
                    () -> ask(id(), "q" + key, random.nextInt(plan.dispatchers), true, plan.workMs)
                                    .got()
                            == Got.DONE,
                    "service in peace");
        }
    }

    /** No more is asked for; what came of it all, but for what was asked for without order. */
    public OrderingChecker.Verdict end() throws InterruptedException {
        over = true;
        keys = "";
        for (Thread t : clients) {
            t.join(10_000);
        }
        OrderingChecker.Verdict v = OrderingChecker.judge(
                rig.ledger.ran().stream()
                        .filter(r -> !r.key().startsWith("none"))
                        .toList(),
                rig.ledger.asks.stream()
                        .filter(a -> !a.key().startsWith("none"))
                        .toList());
        v.words().forEach(rig.ledger::wrong);
        return v;
    }

    /** Where the logs are where something was wrong. */
    public java.nio.file.Path folder() {
        return rig.folder();
    }

    public List<String> wrongs() {
        return rig.wrongs();
    }

    @Override
    public void close() throws IOException {
        over = true;
        rig.close();
    }
}
