package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A dispatcher's process is replaced under load, as the platform does it. All the time a bad client sends requests that
 * carry the ids of other clients' open checkouts. It is owed an error, and no checkout may run twice.
 */
final class CopiedIds {
    private static final int WORK_MS = 1500;
    private static final int REMAINING_MS = 4000;
    /** After SIGTERM, to SIGKILL: the longest deadline, counted as 3 s where it is longer, and 0.7 s. */
    private static final long KILL_AFTER_MS = 3700;
    private static final int UPGRADES = 2;

    private CopiedIds() {}

    public static void main(String[] args) {
        Rig.main(args, CopiedIds::run);
    }

    private static int run(Rig rig) throws Exception {
        Discovery discovery = new Discovery(rig, "discovery", 2000);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            workers.add(new Worker(rig, "s-" + (char) ('a' + i)));
            discovery.put(workers.get(i), "SERVING");
        }
        Rig.Dispatcher process = rig.dispatcher("n0");
        process.configure(Rig.config("n0", process.port, discovery.port, 1, 0, REMAINING_MS));
        process.start(null);
        if (!process.awaitReady(30_000)) {
            rig.say("the dispatcher was not ready in 30 s");
            return Rig.COULD_NOT_RUN;
        }
        Clients clients = new Clients(rig);
        for (int i = 0; i < 8; i++) {
            clients.start(process.port, WORK_MS, REMAINING_MS, 100, "checkout");
        }
        Map<Integer, AtomicInteger> copyAnswers = new ConcurrentHashMap<>();
        boolean[] ended = new boolean[1];
        int port = process.port;
        Thread badClient = Rig.daemon(() -> copyIds(rig, clients, port, copyAnswers, ended));
        Rig.sleep(6000);
        for (int i = 0; i < UPGRADES && rig.trouble; i++) {
            Rig.Dispatcher next = rig.successor(process);
            next.start(null);
            if (!next.awaitHealthy(6000)) {
                rig.say("the new process did not say yes within 6 s");
                return Rig.COULD_NOT_RUN;
            }
            process.signal("TERM");
            Rig.sleep(KILL_AFTER_MS);
            process.stop();
            process = next;
            Rig.sleep(3000);
        }
        Rig.sleep(rig.trouble ? 1000 : 10_000);
        ended[0] = true;
        badClient.join(8000);
        clients.end();
        int twice = 0;
        for (Map.Entry<String, List<Worker.Arrival>> checkout : Worker.taken(workers, "checkout").entrySet()) {
            if (checkout.getValue().size() > 1) {
                twice++;
                rig.log("verdict", "taken twice: " + checkout + ", answered: " + clients.byId.get(checkout.getKey()));
            }
        }
        long served = clients.calls().stream().filter(call -> call.status() == 200).count();
        rig.say(clients.calls().size() + " checkouts, " + served + " served; answers to copied ids by status: " + copyAnswers
                + "; checkouts taken by workers more than once: " + twice);
        if (served < 20 || copyAnswers.isEmpty()) {
            return Rig.COULD_NOT_RUN;
        }
        return twice > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** The bad client: on a connection of its own for each, a copy of every open checkout that it has not yet copied. */
    private static void copyIds(
            Rig rig, Clients clients, int port, Map<Integer, AtomicInteger> answers, boolean[] ended) {
        Set<String> copied = ConcurrentHashMap.newKeySet();
        List<Thread> calls = new ArrayList<>();
        while (!ended[0]) {
            for (String id : clients.open(300)) {
                if (!copied.add(id)) {
                    continue;
                }
                calls.add(Rig.daemon(() -> {
                    try (Http.Client connection = new Http.Client(port)) {
                        int status = connection.job("checkout", id, null, WORK_MS, REMAINING_MS, 0, REMAINING_MS + 600).status;
                        answers.computeIfAbsent(status, s -> new AtomicInteger()).incrementAndGet();
                        rig.log("bad client", "copy of " + id + " answered " + status);
                    } catch (IOException e) {
                        rig.log("bad client", "copy of " + id + ": " + e);
                    }
                }));
            }
            Rig.sleep(20);
        }
    }
}
