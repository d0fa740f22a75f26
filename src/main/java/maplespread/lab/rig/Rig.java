package maplespread.lab.rig;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import maplespread.lab.fleet.WorkerModel;

/** N dispatcher processes, their stand-ins and what lies between them. */
public final class Rig implements Closeable {
    /** The operators' file of one dispatcher at a version, or null. */
    public interface Operator {
        String text(int dispatcher, String version, Rig rig) throws IOException;

        /** One text for all; null: no file. */
        static Operator same(String text) {
            return (dispatcher, version, rig) -> text;
        }
    }

    /**
     * {@code told}: the count of dispatchers that their settings name, 0: the true one; {@code load}: jobs a
     * second over all, 0: by capacity; {@code warmMs}: until a worker is warm; {@code paced}: whether
     * the rig's own clients send.
     */
    public record Plan(
            int dispatchers,
            int workers,
            long seed,
            int told,
            Operator operator,
            double load,
            long warmMs,
            boolean paced) {
        public Plan(int dispatchers, int workers, long seed, int told, Operator operator, double load, long warmMs) {
            this(dispatchers, workers, seed, told, operator, load, warmMs, true);
        }

        public Plan(int dispatchers, int workers, long seed, int told, Operator operator, double load) {
            this(dispatchers, workers, seed, told, operator, load, WARM_MS);
        }
    }

    /** What a client asks for. */
    static final String[] ORGS = {"acme", "brio", "cove"};

    static final double[] SHARES = {0.5, 0.3, 0.2};
    static final double MEAN_MS = 100; // of work
    private static final String KEY = "1 00112233445566778899aabbccddeeff\n";
    static final int ELECTORS = 9; // at most
    private static final int SLOTS = 4;
    private static final double FALL = 4;
    private static final double COLD_FROM = 0.12;
    private static final long WARM_MS = 20_000;
    final Plan plan;
    final EventRecord ledger = new EventRecord();
    final List<ServeProcess> dispatchers = new ArrayList<>();
    final List<RigWorker> workers = new ArrayList<>();
    final RigDiscovery discovery;
    final GroupLinks links;
    final FaultProxies relays;
    final RigClients clients;
    private final String[] versions; // of the dispatchers
    private final LoopbackListeners doors = new LoopbackListeners();
    private final Path folder = Files.createTempDirectory("maplespread-rig");
    private final SplittableRandom random;

    /** Starts all of it and waits until every dispatcher serves. */
    public Rig(Plan plan) throws IOException, InterruptedException {
        this.plan = plan;
        random = new SplittableRandom(plan.seed());
        links = new GroupLinks(plan.dispatchers(), plan.seed());
        relays = new FaultProxies(this, doors);
        versions = new String[plan.dispatchers()];
        Arrays.fill(versions, "1");
        double capacity = 0;
        for (int w = 0; w < plan.workers(); w++) {
            double speed = 0.8 + random.nextDouble() * 0.8;
            capacity += speed * SLOTS;
            workers.add(worker("w-" + w, w % 2 == 0 ? "a" : "b", speed));
        }
        discovery = new RigDiscovery(plan.dispatchers(), doors, ledger);
        workers.forEach(w -> discovery.set(w, "SERVING"));
        try {
            for (int d = 0; d < plan.dispatchers(); d++) {
                dispatchers.add(new ServeProcess("n" + d, folder));
                restart(d);
            }
            for (ServeProcess d : dispatchers) {
                d.awaitServing();
            }
        } catch (IOException | InterruptedException e) {
            close();
            throw e;
        }
        double rate = plan.load() > 0 ? plan.load() : 0.5 * capacity * 1000 / MEAN_MS;
        clients = new RigClients(this, rate, plan.seed());
    }

    private RigWorker worker(String name, String zone, double speed) throws IOException {
        return new RigWorker(
                name,
                zone,
                new WorkerModel.Kind(SLOTS, speed, COLD_FROM, plan.warmMs(), FALL, 1000),
                plan.dispatchers(),
                plan.warmMs(),
                doors,
                ledger);
    }

    /** The settings of a dispatcher, with what discovery would tell now as the list known from before. */
    String config(int d) {
        int told = plan.told() > 0 ? plan.told() : plan.dispatchers();
        StringBuilder orgs = new StringBuilder();
        for (int i = 0; i < ORGS.length; i++) {
            orgs.append(i == 0 ? "" : ",")
                    .append("{'name':'")
                    .append(ORGS[i])
                    .append("','allowancePerS':")
                    .append(Math.max(1, SHARES[i] * 1.2 * Math.max(10, plan.load())))
                    .append('}');
        }
        return ("{'name':'n" + d + "','listen':'127.0.0.1:0','discovery':'" + discovery.doors[d]
                        + "','seed':'" + Long.toHexString(plan.seed() * 1000 + d) + "',"
                        + "'limits':{'sockets':512,'memory_mb':192},'known':@,'settings':{'balancers':" + told
                        + ",'index':" + d % told + ",'zone':" + d % 2 + ",'areas':['a','b'],'models':['m'],"
                        + "'discovery':'ask','classes':["
                        + "{'name':'page','aimMs':500,'deadlineMs':4000,'effect':'read_like','worth':2},"
                        + "{'name':'order','aimMs':500,'deadlineMs':4000,'effect':'non_idempotent','worth':10}],"
                        + "'customers':[" + orgs + "],"
                        + "'domain':{'tellsStart':true,'progressMs':2000,'queueOrder':'fifo'},"
                        + "'permissions':{'probing':true,'dialTimeoutMs':250,'connIdleMs':20000,'cancel':true,"
                        + "'tryLimit':4,'maxRetryAfterMs':2000},'rules':{'askWithinMs':10000,'answerSlackMs':8,"
                        + "'drainGraceMs':250,'coldFrom':" + COLD_FROM + ",'warmWithinMs':" + plan.warmMs()
                        + ",'fallMultiple':" + FALL + ",'fallMs':1000}}}")
                .replace('\'', '"')
                .replace("@", discovery.whole(d));
    }

    /** The group's part of a dispatcher's operators' file; the first of them are electors. */
    String group(int d, String version, int periodMs, int ackMs) throws IOException {
        return group(
                d,
                IntStream.range(0, Math.min(ELECTORS, plan.dispatchers()))
                        .mapToObj(i -> "'n" + i + "'")
                        .collect(Collectors.joining(",")),
                version,
                periodMs,
                ackMs);
    }

    /** With these electors, by name in single quotes. */
    synchronized String group(int d, String electors, String version, int periodMs, int ackMs) throws IOException {
        Path key = folder.resolve("group.key");
        if (!Files.exists(key)) { // once: another one may be reading it
            Files.writeString(key, KEY);
        }
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < Math.min(4, plan.dispatchers()); i++) {
            if (i != d) {
                seeds.add("'" + links.address(i) + "'");
            }
        }
        return "'group':{'listen':'" + links.listen(d) + "','address':'" + links.address(d) + "','seeds':"
                + seeds + ",'electors':[" + electors + "],'key_files':['" + key + "'],'version':'" + version
                + "','period_ms':" + periodMs + ",'ack_ms':" + ackMs + "}";
    }

    /** Kills a dispatcher with no warning, or starts it again. */
    void kill(int d) throws InterruptedException {
        dispatchers.get(d).kill();
    }

    void restart(int d) throws IOException {
        dispatchers.get(d).start(config(d), plan.operator().text(d, versions[d], this));
    }

    /** What a dispatcher is started at from now on. */
    void version(int d, String version) {
        versions[d] = version;
    }

    /**
     * The worker's process ends; it comes back cold under the same name, and the list says when it started.
     */
    void restartWorker(int w) {
        workers.get(w).restart();
        discovery.set(workers.get(w), "SERVING");
    }

    String version(int d) {
        return versions[d];
    }

    /** The worker is to get nothing new, and to come back as another run, or as it is. */
    void drain(RigWorker w) {
        w.move(true);
        discovery.set(w, "DRAINING");
    }

    void takeBack(RigWorker w) {
        discovery.set(w, "SERVING");
        w.move(false);
    }

    /**
     * The most that a cold worker was sent within the rule's window, over what fells it: above 1 it falls.
     */
    public double overshoot() {
        return workers.stream().mapToDouble(RigWorker::worst).max().orElse(0) / FALL;
    }

    /** All that went against a rule, in words; and whether any process is left, which none may be. */
    public List<String> wrongs() {
        List<String> all = new ArrayList<>(ledger.wrongs());
        workers.stream()
                .filter(w -> w.worst() > FALL)
                .forEach(w -> all.add(w.name + " was sent " + w.worst() + " times what it could do while cold"));
        return all;
    }

    @Override
    public void close() throws IOException {
        boolean gone = true;
        if (clients != null) {
            clients.stop();
        }
        try {
            for (ServeProcess d : dispatchers) {
                gone &= d.end();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        doors.close();
        links.close();
        if (!gone) {
            throw new IOException("a dispatcher process could not be ended");
        }
        if (wrongs().isEmpty()) { // else its logs are wanted
            try (Stream<Path> all = Files.walk(folder)) {
                all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        }
    }

    /** Where the logs are kept when a rule was broken. */
    public Path folder() {
        return folder;
    }
}
