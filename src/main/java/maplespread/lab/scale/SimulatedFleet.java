package maplespread.lab.scale;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.StringJoiner;
import java.util.TreeMap;
import maplespread.config.Config;
import maplespread.config.ConfigException;
import maplespread.config.ConfigReader;
import maplespread.config.OperatorConfig;
import maplespread.config.OperatorReader;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.membership.client.ChannelTrafficMeter;

/** Hollow members of one group on loopback, all in this process. */
public final class SimulatedFleet implements Closeable {
    /** Which parts are on beside the group itself. */
    public record Features(boolean release, boolean partition, boolean starvation) {
        /** What the operators' file has after the group. */
        String text() {
            return (release ? ",\"release\":{}" : "")
                    + (partition ? ",\"partition\":{\"table\":" + TABLE + "}" : "")
                    + (starvation ? ",\"starvation\":{\"verdicts\":\"console\"}" : "");
        }
    }

    private static final String TABLE = "{\"rules\":[{\"name\":\"all\",\"when\":{\"class\":\"page\"},"
            + "\"order\":\"by_key\",\"key\":\"entity\",\"runs_ms\":400},{}]}";
    private static final int MOST_ELECTORS = 6;
    private static final int SEEDS = 3;
    private static final long JOIN_MS = 60_000;
    private static final long LOOK_MS = 50;
    private static final long PUMP_MS = 100;

    /** What one member has sent and received since its start, by channel, and the part it plays. */
    public record Sample(String member, boolean elector, Map<Integer, ChannelTrafficMeter.ChannelTraffic> channels) {}

    private final FleetPlan plan;
    private final Features features;
    private final List<SimulatedMember> members = new ArrayList<>();
    private final List<String> names = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final Path key;
    private final Thread pump;
    private volatile boolean over;

    /** Starts so many members at once. */
    public SimulatedFleet(int size, FleetPlan plan, Features features, long seed) throws IOException {
        this.plan = plan;
        this.features = features;
        key = Files.createTempFile("scale", ".key");
        Files.writeString(key, "1 " + "5a".repeat(32));
        EndpointUpdate workers = workers(plan, new SplittableRandom(seed));
        ports.addAll(freePorts(size));
        try {
            for (int i = 0; i < size; i++) {
                names.add("n" + i);
                members.add(new SimulatedMember(config(i, size, seed), operator(i, size), workers));
            }
        } catch (ConfigException e) {
            throw new IOException(e.getMessage(), e);
        }
        pump = new Thread(this::pump, "scale jobs");
        pump.setDaemon(true);
        pump.start();
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<DatagramSocket> held = new ArrayList<>(); // all at once, so that none comes twice
        for (int i = 0; i < count; i++) {
            held.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
        }
        List<Integer> ports = held.stream().map(DatagramSocket::getLocalPort).toList();
        held.forEach(DatagramSocket::close);
        return ports;
    }

    private static EndpointUpdate workers(FleetPlan plan, SplittableRandom random) {
        List<Endpoint> routes = new ArrayList<>();
        for (int i = 0; i < plan.workers(); i++) {
            routes.add(new Endpoint(
                    "w" + i,
                    "127.0.0.1:" + (20_000 + i),
                    Endpoint.State.SERVING,
                    1,
                    0,
                    random.nextInt(20),
                    i % plan.zones(),
                    0));
        }
        return new EndpointUpdate(EndpointUpdate.Kind.FULL_SNAPSHOT, 1, routes);
    }

    private Config config(int index, int size, long seed) throws ConfigException {
        StringJoiner zones = new StringJoiner("','", "['", "']");
        for (int z = 0; z < plan.zones(); z++) {
            zones.add("z" + z);
        }
        StringJoiner tenants = new StringJoiner(",", "[", "]");
        for (int t = 0; t < plan.tenants(); t++) {
            tenants.add("{'name':'team" + t + "','allowancePerS':" + plan.startsPerS() / plan.tenants() + "}");
        }
        String text = "{'name':'n" + index + "','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','seed':'"
                + Long.toHexString(seed * 1_000_003 + index) + "',"
                + "'limits':{'sockets':1024,'memory_mb':192},'settings':{'balancers':" + size + ",'index':" + index
                + ",'zone':" + index % plan.zones() + ",'areas':" + zones + ",'models':['m'],'discovery':'ask',"
                + "'classes':[{'name':'page','aimMs':1000,'deadlineMs':20000,'effect':'read_like',"
                + "'dedupScope':'all','worth':2}],'customers':" + tenants + ","
                + "'domain':{'tellsStart':true,'progressMs':2000},"
                + "'permissions':{'probing':true,'tryLimit':5,'dialTimeoutMs':250,'maxRetryAfterMs':2000,"
                + "'connIdleMs':30000,'cancel':true},'rules':{'drainGraceMs':250,'askWithinMs':10000,"
                + "'coldFrom':0.12,'warmWithinMs':24000,'fallMultiple':4,'fallMs':1000,'answerSlackMs':8}}}";
        return ConfigReader.read(text.replace('\'', '"'), Map.of());
    }

    private OperatorConfig operator(int index, int size) throws ConfigException {
        StringJoiner seeds = new StringJoiner("\",\"", "[\"", "\"]");
        for (int i = 0; i < Math.min(SEEDS, size); i++) {
            seeds.add("127.0.0.1:" + ports.get(i));
        }
        StringJoiner electors = new StringJoiner("\",\"", "[\"", "\"]");
        for (int i = 0; i < Math.min(MOST_ELECTORS, size); i++) {
            electors.add("n" + i);
        }
        return OperatorReader.text("{\"group\":{\"listen\":\"127.0.0.1:" + ports.get(index) + "\",\"seeds\":" + seeds
                + ",\"electors\":" + electors + ",\"key_files\":[\"" + key + "\"]}" + features.text() + "}");
    }

    /** Blocks until every member knows that all are there. */
    public void awaitJoined() throws InterruptedException {
        await(JOIN_MS, member -> {
            int alive = 0;
            for (JsonElement m : member.group().getAsJsonArray("members")) {
                alive += m.getAsJsonObject().get("state").getAsString().equals("ALIVE") ? 1 : 0;
            }
            return alive == members.size();
        });
    }

    /** How long it takes until every member knows that one has begun to drain, in ms. */
    public long drainKnownMs(int drained) throws InterruptedException {
        long from = System.nanoTime();
        members.get(drained).serving(false);
        await(JOIN_MS, member -> phase(member, names.get(drained)).equals("DRAINING"));
        long took = (System.nanoTime() - from) / 1_000_000;
        members.get(drained).serving(true);
        return took;
    }

    /** How long it takes until every member knows a decision of the fleet, from the call that asks for it, in ms. */
    public long decisionKnownMs() throws InterruptedException {
        long before = version(members.get(0));
        long from = System.nanoTime();
        String said = members.get(members.size() - 1)
                .call("POST", "/admin/release/halt?why=measured")
                .text();
        if (version(members.get(members.size() - 1)) <= before) {
            throw new IllegalStateException("nothing was decided: " + said);
        }
        await(JOIN_MS, member -> version(member) > before);
        return (System.nanoTime() - from) / 1_000_000;
    }

    private static long version(SimulatedMember member) {
        return member.group().get("version").getAsLong();
    }

    private static String phase(SimulatedMember member, String of) {
        for (JsonElement e : member.group().getAsJsonArray("members")) {
            JsonObject m = e.getAsJsonObject();
            if (m.get("name").getAsString().equals(of) && m.has("phase")) {
                return m.get("phase").getAsString();
            }
        }
        return "";
    }

    /** Looks at each member until it holds there once. */
    private void await(long mostMs, java.util.function.Predicate<SimulatedMember> holds) throws InterruptedException {
        long end = System.nanoTime() + mostMs * 1_000_000;
        List<SimulatedMember> open = new ArrayList<>(members);
        while (true) {
            open.removeIf(holds);
            if (open.isEmpty()) {
                return;
            }
            if (System.nanoTime() > end) {
                throw new IllegalStateException(
                        open.size() + " of " + members.size() + " members do not know after " + mostMs + " ms");
            }
            Thread.sleep(LOOK_MS);
        }
    }

    private void pump() {
        long last = System.nanoTime();
        long runsNanos = (long) (plan.runsMs() * 1_000_000);
        while (!over) {
            try {
                Thread.sleep(PUMP_MS);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            for (SimulatedMember member : members) {
                member.jobs(plan.startsPerS() / members.size(), (now - last) / 1e9, runsNanos, now, plan.tenants());
            }
            last = now;
        }
    }

    /** What every member has sent and received so far. */
    public List<Sample> sample() {
        List<Sample> all = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            Map<Integer, ChannelTrafficMeter.ChannelTraffic> channels = new TreeMap<>();
            JsonObject traffic = members.get(i).group().getAsJsonObject("traffic");
            for (Map.Entry<String, JsonElement> e : traffic.entrySet()) {
                JsonObject line = e.getValue().getAsJsonObject();
                channels.put(
                        Integer.valueOf(e.getKey()),
                        new ChannelTrafficMeter.ChannelTraffic(count(line, "in"), count(line, "out")));
            }
            all.add(new Sample(names.get(i), i < MOST_ELECTORS, channels));
        }
        return all;
    }

    private static ChannelTrafficMeter.TrafficCount count(JsonObject line, String direction) {
        JsonObject count = line.getAsJsonObject(direction);
        return new ChannelTrafficMeter.TrafficCount(
                count.get("packets").getAsLong(), count.get("bytes").getAsLong());
    }

    /** Processor time of this process's threads so far, by their names, in nanoseconds. */
    public static Map<String, Long> processorNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Map<String, Long> all = new TreeMap<>();
        for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
            long nanos = info == null ? -1 : threads.getThreadCpuTime(info.getThreadId());
            if (nanos >= 0) {
                all.merge(info.getThreadName(), nanos, Long::sum);
            }
        }
        return all;
    }

    /** Heap in use after a collection, in bytes. */
    public static long liveHeap() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    @Override
    public void close() throws IOException {
        over = true;
        pump.interrupt();
        members.parallelStream().forEach(SimulatedMember::close);
        Files.deleteIfExists(key);
    }
}
