package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Three dispatchers in one group hand checkouts on to the owner of their key. The open connections between them fall
 * silent once; new ones work. The checkouts after that have bodies of 65,000 bytes. Each request has to get its
 * final answer, half a second after its time at the latest.
 */
final class SilentHandOn {
    private static final int DISPATCHERS = 3;
    private static final int BODY_BYTES = 65_000;
    private static final int REMAINING_MS = 3000;
    private static final int PATIENCE_MS = 20_000;
    /** After the stated time: half a second, and 50 ms of the rules on sockets; 50 ms for the request's own writing. */
    private static final long LATE_MS = 500 + 50 + 50;
    private static final int WORK_MS = 100;

    private SilentHandOn() {}

    public static void main(String[] args) {
        Rig.main(args, SilentHandOn::run);
    }

    private static int run(Rig rig) throws Exception {
        Discovery discovery = new Discovery(rig, "discovery", 2000);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            workers.add(new Worker(rig, "s-" + (char) ('a' + i)));
            discovery.put(workers.get(i), "SERVING");
        }
        int[] udp = new int[DISPATCHERS];
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            udp[i] = Rig.freePort();
            seeds.add("\"127.0.0.1:" + udp[i] + "\"");
        }
        List<Rig.Dispatcher> dispatchers = new ArrayList<>();
        List<Rig.SilentProxy> ways = new ArrayList<>();
        for (int i = 0; i < DISPATCHERS; i++) {
            Rig.Dispatcher dispatcher = rig.dispatcher("n" + i);
            Rig.SilentProxy way = rig.silentProxy(dispatcher.port);
            dispatcher.configure(Rig.config(dispatcher.name, dispatcher.port, discovery.port, DISPATCHERS, i));
            Path operator = rig.temp.resolve("operator-" + i + ".json");
            Files.writeString(operator, "{\"group\": {\"listen\": \"127.0.0.1:" + udp[i] + "\", \"address\": \"127.0.0.1:"
                    + udp[i] + "\", \"seeds\": " + seeds + ", \"electors\": [\"n0\", \"n1\", \"n2\"],"
                    + " \"key_files\": [\"deploy/group.key\"]},\n"
                    + " \"partition\": {\"table\": {\"rules\": [{\"name\": \"orders\", \"when\": {\"class\": \"checkout\","
                    + " \"entity\": {\"prefix\": \"\"}}, \"order\": \"by_key\", \"key\": \"entity\", \"runs_ms\": 400}, {}]},\n"
                    + "  \"address\": \"127.0.0.1:" + way.port + "\", \"lease_ms\": 300, \"ask_ms\": 75, \"silent_ms\": 250,"
                    + " \"gone_ms\": 700, \"drift\": 0.01, \"slots\": 64}}\n");
            dispatcher.start(operator.toString());
            dispatchers.add(dispatcher);
            ways.add(way);
        }
        for (Rig.Dispatcher dispatcher : dispatchers) {
            if (!dispatcher.awaitReady(30_000)) {
                rig.say("a dispatcher was not ready in 30 s");
                return Rig.COULD_NOT_RUN;
            }
        }
        Rig.sleep(4000);
        Clients clients = new Clients(rig);
        clients.entities = 60;
        clients.patienceMs = PATIENCE_MS;
        for (Rig.Dispatcher dispatcher : dispatchers) {
            for (int i = 0; i < 12; i++) {
                clients.start(dispatcher.port, WORK_MS, REMAINING_MS, 250, "checkout");
            }
        }
        Rig.sleep(8000);
        long silentMs = rig.ms();
        if (rig.trouble) {
            for (Rig.SilentProxy way : ways) {
                way.silence();
            }
            rig.log("case", "the open connections between the dispatchers have fallen silent");
        }
        clients.longBodyBytes = BODY_BYTES;
        Rig.sleep(12_000);
        clients.end(REMAINING_MS + PATIENCE_MS + 2000);
        long servedBefore = clients.calls().stream()
                .filter(call -> call.status() == 200 && call.endedMs() < silentMs).count();
        long servedAfter = clients.calls().stream()
                .filter(call -> call.status() == 200 && call.sentMs() > silentMs).count();
        int lost = 0;
        for (Clients.Call call : clients.calls()) {
            long tookMs = call.endedMs() - call.sentMs();
            if (call.status() == 0 || tookMs > REMAINING_MS + LATE_MS) {
                lost++;
                rig.log("verdict", "lost: " + call + ", " + tookMs + " ms after it was sent");
            }
        }
        boolean allLive = dispatchers.stream().allMatch(Rig.Dispatcher::alive);
        rig.say(servedBefore + " requests served before, " + servedAfter + " after " + silentMs + "; each states "
                + REMAINING_MS + " ms; without an answer " + LATE_MS + " ms after their time: " + lost
                + "; all dispatchers live: " + allLive);
        if (servedBefore < 50 || servedAfter < 50 || !allLive) {
            return Rig.COULD_NOT_RUN;
        }
        return lost > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
