package maplespread.lab.rig;

import com.google.gson.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/**
 * A release of all dispatchers and workers of a rig, with an operator who calls and a deployer who
 * restarts; or the same without agreement, each part of the fleet moved by somebody who keeps to the limits
 * alone.
 */
public final class ReleasePlay implements Closeable {
    /**
     * {@code out}, {@code workersOut}, {@code zoneOut}: the limits; {@code step}: members a step; {@code
     * warmMs}: until a worker is warm; {@code agree}: false is the control.
     */
    public record Plan(
            int dispatchers,
            int workers,
            long seed,
            int out,
            int workersOut,
            int zoneOut,
            int step,
            long warmMs,
            double load,
            boolean agree) {}

    private static final long MOST_MS = 60_000; // for one thing that is waited for, at 5 dispatchers
    private static final int PARTS = 3; // of a fleet without agreement
    private final Plan plan;
    final Rig rig;
    final UnavailabilityChecker count;
    final Deployer deployer; // null without agreement
    private final List<Thread> alone = new ArrayList<>();
    private final List<String> thrown = new ArrayList<>();
    private Thread storm;
    private volatile String wanted = "DONE"; // its end
    private int halts;
    private int asked;

    public ReleasePlay(Plan plan) throws IOException, InterruptedException {
        this.plan = plan;
        rig = new Rig(new Rig.Plan(
                plan.dispatchers,
                plan.workers,
                plan.seed,
                0,
                plan.agree ? this::operator : Rig.Operator.same(null),
                plan.load,
                plan.warmMs));
        count = new UnavailabilityChecker(
                rig, new UnavailabilityChecker.Limits(plan.out, plan.workersOut, plan.zoneOut), plan.agree);
        deployer = plan.agree ? new Deployer(rig) : null;
    }

    private String operator(int d, String version, Rig of) throws IOException {
        // More than twice the limit: electors that restart are blind until a majority of the others is not.
        return ("{" + of.group(d, version, 250, 80) + ",'release':{'dispatchers_out':" + plan.out
                        + ",'workers_out':" + plan.workersOut + ",'workers_out_zone':" + plan.zoneOut
                        + ",'least_capacity':0.4,'quiet_ms':300,'back_ms':120000,'worse_refused':1,'worse_errors':1,"
                        + "'worse_wait':1000}}")
                .replace('\'', '"');
    }

    // ------------------------------------------------------------ the operator

    /** Calls instance after instance until one has done it; what it says. */
    private String call(String target, String body) throws IOException, InterruptedException {
        String last = "";
        for (long end = mostNanos(); System.nanoTime() < end; asked++) {
            ServeProcess p = rig.dispatchers.get(asked % plan.dispatchers);
            if (!p.out()) {
                try {
                    last = p.call("POST", target, body);
                    if (last.startsWith("200 ")) {
                        return last;
                    }
                } catch (IOException gone) {
                    last = gone.toString();
                }
                Thread.sleep(50);
            }
        }
        throw new IOException(target + " was not done: " + last);
    }

    /** Begins it, once all members are known to all. */
    public void begin() throws IOException, InterruptedException {
        await(() -> agreed("members") == plan.dispatchers + plan.workers, "all members known");
        call(
                "/admin/release",
                "{'id':'r1','from':'1','to':'2','dispatchers':true,'workers':true,'steps':[".replace('\'', '"')
                        + plan.step + "]}");
    }

    /**
     * Halts it, waits until so many more jobs are served, and goes on. Until how long after the halt was
     * heard by a majority a dispatcher still left, by leave from before it, in ms; a wrong where leave was
     * granted after it.
     */
    public long halt(int jobs) throws IOException, InterruptedException {
        call("/admin/release/halt?why=a+look", "");
        long at = System.nanoTime();
        await(() -> deployer.phase().equals("HALTED"), "the halt");
        long grants = deployer.agreed().getAsJsonObject("agreed").get("grants").getAsLong();
        long served = rig.ledger.served.sum();
        await(() -> rig.ledger.served.sum() >= served + jobs && deployer.agreed() != null, "service in the halt");
        long then = deployer.agreed().getAsJsonObject("agreed").get("grants").getAsLong();
        if (then != grants) {
            rig.ledger.wrong("leave was granted while halted: " + grants + ", then " + then);
        }
        long late = ms(count.begunAt() - at);
        call("/admin/release/go-on?why=looked", "");
        return late;
    }

    /**
     * One halt out of many: {@code heard}: from its call to the answer that a majority has it; from that
     * answer on: {@code told}: until all consoles say it; {@code late}: until the last dispatcher began to
     * leave; {@code back}: until nobody has leave any more but those who left. All in ms.
     */
    public record Halted(long heard, long told, long late, long back) {}

    /** Halts a release of the dispatchers so long from now, and lifts that; begins one where none is on. */
    public Halted haltOne(int number, long laterMs) throws IOException, InterruptedException {
        boolean[] on = new boolean[1];
        await(
                () -> {
                    JsonObject now = deployer.agreed();
                    on[0] = now != null && now.get("phase").getAsString().equals("RUNNING");
                    return now != null
                            && now.getAsJsonObject("agreed")
                                            .getAsJsonObject("members")
                                            .size()
                                    == plan.dispatchers + plan.workers;
                },
                "all members known");
        if (!on[0]) {
            call(
                    "/admin/release",
                    ("{'id':'h" + number + "','dispatchers':true,'steps':[" + plan.step + "]}").replace('\'', '"'));
        }
        Thread.sleep(laterMs);
        long start = System.nanoTime();
        call("/admin/release/halt?why=a+look", "");
        long at = System.nanoTime();
        List<ServeProcess> asks = new ArrayList<>(rig.dispatchers);
        await(
                () -> asks.removeIf(p -> !p.serving() || says(p).contains("\"halt\": {")) && asks.isEmpty(),
                "the halt at all consoles");
        long told = System.nanoTime();
        await(
                () -> {
                    JsonObject now = deployer.agreed();
                    return now != null
                            && now.getAsJsonObject("agreed").has("halt")
                            && now.getAsJsonObject("agreed").getAsJsonObject("leaves").keySet().stream()
                                    .allMatch(m -> rig.dispatchers
                                            .get(Integer.parseInt(m.substring(1)))
                                            .out());
                },
                "those that had leave to be called back");
        Halted all = new Halted(ms(at - start), ms(told - at), ms(count.begunAt() - at), ms(System.nanoTime() - at));
        call("/admin/release/go-on?why=looked", "");
        return all;
    }

    private static long ms(long nanos) {
        return Math.max(0, nanos) / 1_000_000;
    }

    private static String says(ServeProcess p) {
        try {
            return p.call("GET", "/admin/release", "");
        } catch (IOException down) {
            return "";
        }
    }

    /** How many members, leaves or accidents are agreed; -1: not known now. */
    int agreed(String what) {
        JsonObject all = deployer.agreed();
        return all == null
                ? -1
                : all.getAsJsonObject("agreed").getAsJsonObject(what).size();
    }

    /** Waits until the fleet counts this dispatcher as out by accident. */
    void awaitAccident(int d) throws IOException, InterruptedException {
        await(
                () -> {
                    JsonObject all = deployer.agreed();
                    return all != null
                            && all.getAsJsonObject("agreed")
                                    .getAsJsonObject("accidents")
                                    .has("n" + d);
                },
                "n" + d + " to count as out");
        count.known(d);
    }

    /** Whether it is done; goes on where it has halted by itself and what it halted for is over. */
    boolean done() {
        if (!plan.agree) {
            return alone.stream().noneMatch(Thread::isAlive);
        }
        String phase = deployer.phase();
        boolean struck = rig.dispatchers.stream().anyMatch(p -> p.struckAt() != 0);
        if (phase.equals("HALTED") && !struck && agreed("accidents") == 0) {
            halts++;
            try {
                call("/admin/release/go-on?why=over", "");
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        return phase.equals(wanted);
    }

    private long mostNanos() {
        return System.nanoTime() + MOST_MS * Math.max(1, plan.dispatchers / 5) * 1_000_000;
    }

    /** Waits until dispatchers have begun to leave. */
    public void awaitDispatchers() throws IOException, InterruptedException {
        await(() -> done() || count.dispatchers() > 0, "a dispatcher to leave");
    }

    void await(BooleanSupplier condition, String what) throws IOException, InterruptedException {
        long end = mostNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                rig.ledger.wrong("in vain for " + what); // and so the logs are kept
                JsonObject all = deployer == null ? null : deployer.agreed();
                if (all != null) {
                    all.getAsJsonObject("agreed").remove("members");
                }
                throw new IOException(
                        "in vain for " + what + ": " + rig.ledger + "; " + all + "; logs in " + rig.folder());
            }
            Thread.sleep(10);
        }
    }

    /** Waits until dispatchers are changed too, and has all taken back. */
    public void rollBack() throws IOException, InterruptedException {
        await(
                () -> done()
                        || IntStream.range(0, plan.dispatchers)
                                .anyMatch(d -> rig.version(d).equals("2")
                                        && !rig.dispatchers.get(d).out()),
                "a dispatcher that is changed");
        call("/admin/release/roll-back?why=no+good", "");
        wanted = "ROLLED_BACK";
    }

    /** Waits for its end; then all must be what it was to make of them. */
    public void end() throws IOException, InterruptedException {
        await(this::done, "the end of the release");
        if (storm != null) {
            storm.join();
            await(this::done, "the end of the release, still");
        }
        for (int d = 0; d < plan.dispatchers && plan.agree; d++) {
            if (!rig.version(d).equals(wanted.equals("DONE") ? "2" : "1")) {
                rig.ledger.wrong("n" + d + " is at version " + rig.version(d) + ", and it is " + wanted);
            }
        }
        rig.workers.stream()
                .filter(RigWorker::first)
                .forEach(w -> rig.ledger.wrong(w.name + " was not restarted by the release"));
    }

    /** How often it halted by itself. */
    public int halts() {
        return halts;
    }

    // ------------------------------------------------------------ what befalls it

    /**
     * Throws faults of all kinds until it is done, or for so long; and whoever drives the release, the
     * first of those that serve, is killed at every step. Returns at once.
     */
    public void storm(long mostMs, long gapMs) {
        storm = LoopbackListeners.daemon("storm", () -> {
            try {
                thrown.addAll(blow(mostMs, gapMs));
            } catch (IOException | RuntimeException e) {
                rig.ledger.wrong("the storm could not go on: " + e);
            }
        });
    }

    /** What befell it; once it has ended. */
    public List<String> thrown() {
        return thrown;
    }

    private List<String> blow(long mostMs, long gapMs) throws IOException, InterruptedException {
        long end = System.nanoTime() + mostMs * 1_000_000;
        FaultSchedule storm =
                new FaultSchedule(rig, plan.seed, plan.agree ? FaultSchedule.Kinds.LINKS : FaultSchedule.Kinds.ALONE);
        int[] step = {-1};
        return storm.blow(
                i -> {
                    JsonObject now = plan.agree ? deployer.agreed() : null;
                    if (now != null && now.get("step").getAsInt() != step[0]) {
                        step[0] = now.get("step").getAsInt();
                        IntStream.range(0, plan.dispatchers)
                                .filter(d -> !rig.dispatchers.get(d).out())
                                .boxed()
                                .min(java.util.Comparator.comparing(d -> "n" + d))
                                .ifPresent(storm::killSoon);
                    }
                    boolean over = plan.agree ? deployer.phase().equals(wanted) : done();
                    return !over && System.nanoTime() < end;
                },
                gapMs);
    }

    // ------------------------------------------------------------ the control

    /** Without agreement: each of some parts of the fleet is moved by one who keeps to the limits alone. */
    public void beginAlone() {
        for (int p = 0; p < PARTS; p++) {
            int part = p;
            alone.add(LoopbackListeners.daemon("alone dispatchers", () -> {
                for (int d = part; d < plan.dispatchers; d += PARTS * plan.out) {
                    for (int i = d; i < Math.min(plan.dispatchers, d + PARTS * plan.out); i += PARTS) {
                        drain(i);
                    }
                    for (int i = d; i < Math.min(plan.dispatchers, d + PARTS * plan.out); i += PARTS) {
                        restart(i);
                    }
                }
            }));
            alone.add(LoopbackListeners.daemon("alone workers", () -> {
                for (int w = part; w < plan.workers; w += PARTS * plan.workersOut) {
                    List<RigWorker> mine = new ArrayList<>();
                    for (int i = w; i < Math.min(plan.workers, w + PARTS * plan.workersOut); i += PARTS) {
                        mine.add(rig.workers.get(i));
                    }
                    mine.forEach(rig::drain);
                    for (RigWorker x : mine) {
                        await(x::idle, "an idle worker");
                        x.restart();
                        rig.discovery.set(x, "SERVING");
                    }
                    await(() -> mine.stream().noneMatch(RigWorker::moved), "warm workers");
                }
            }));
        }
    }

    private void drain(int d) throws InterruptedException {
        ServeProcess p = rig.dispatchers.get(d);
        while (!p.drained()) {
            try {
                p.call("POST", "/admin/quiesce", "");
            } catch (IOException down) {
                // struck; it is asked again
            }
            Thread.sleep(50);
        }
    }

    private void restart(int d) throws IOException, InterruptedException {
        ServeProcess p = rig.dispatchers.get(d);
        await(() -> !p.drained() || p.serving() && rig.clients.inHand(d) == 0, "a drained dispatcher");
        if (p.drained()) {
            p.retire();
            rig.restart(d);
        }
        await(() -> !p.out(), "a dispatcher");
    }

    // ------------------------------------------------------------ what came of it

    /** The most dispatchers, workers and workers of a zone out by leave at once, by the rig's count. */
    public int[] most() {
        return new int[] {count.dispatchers(), count.workers(), count.zone()};
    }

    /** The least share of the workers' capacity at an instant. */
    public double least() {
        return count.least();
    }

    /** Jobs asked for, and the shares of them that were answered in their aim and refused. */
    public double[] served() {
        double all = Math.max(1, rig.ledger.asked.sum());
        return new double[] {all, rig.ledger.inAim.sum() / all, rig.ledger.refused.sum() / all};
    }

    public List<String> wrongs() {
        return rig.wrongs();
    }

    /** All links between dispatchers lose this share of the packets from now on. */
    public void drop(double share) {
        rig.links.all(new GroupLinks.Trouble(false, share, 0, 0, 0));
    }

    /** Packets between dispatchers that were lost, repeated, and overtaken. */
    public long[] links() {
        return new long[] {rig.links.lost.sum(), rig.links.repeated.sum(), rig.links.overtaken.sum()};
    }

    @Override
    public void close() throws IOException {
        if (deployer != null) {
            deployer.close();
        }
        alone.forEach(Thread::interrupt);
        count.close();
        rig.close();
    }
}
