package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Discovery is down for some seconds, as its ended watches and failing calls show. Meanwhile a new configuration comes
 * with SIGHUP. Long after discovery's return a worker drains. The dispatcher has a subset of the workers, as the
 * operators' file in deploy has it.
 */
final class ReloadInOutage {
    private static final long DOWN_MS = 8000;
    private static final long RELOAD_AFTER_MS = 4000;
    private static final long DRAIN_AFTER_RETURN_MS = 15_000;
    /** The longest time by which a change counts as told, the grace, the slack of sockets, and 0.15 s of a hold-up. */
    private static final long TOLD_MS = 6000;
    private static final long GRACE_MS = 250 + 50 + 150;
    private static final long WATCHED_MS = 15_000;
    private static final int WORK_MS = 200;

    private ReloadInOutage() {}

    public static void main(String[] args) {
        Rig.main(args, ReloadInOutage::run);
    }

    private static int run(Rig rig) throws Exception {
        Discovery discovery = new Discovery(rig, "discovery", 2000);
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Worker worker = new Worker(rig, "s-" + (char) ('a' + i));
            discovery.put(worker, "SERVING");
            workers.add(worker);
        }
        Path operator = rig.temp.resolve("operator.json");
        Files.writeString(operator, "{\"subset\": {\"sharers\": 10, \"least\": 20}}\n");
        Rig.Dispatcher dispatcher = rig.dispatcher("n0");
        String config = Rig.config("n0", dispatcher.port, discovery.port, 1, 0);
        dispatcher.configure(config);
        dispatcher.start(operator.toString());
        if (!dispatcher.awaitReady(30_000)) {
            rig.say("the dispatcher was not ready in 30 s");
            return Rig.COULD_NOT_RUN;
        }
        Clients clients = new Clients(rig);
        for (int i = 0; i < 6; i++) {
            clients.start(dispatcher.port, WORK_MS, 4000, 50, "catalogue-page", "checkout", "stock-sync");
        }
        Rig.sleep(4000);
        if (rig.trouble) {
            discovery.mode(Discovery.Mode.FAILS);
            discovery.endWatches();
        }
        Rig.sleep(RELOAD_AFTER_MS);
        dispatcher.configure(config.replace("\"maxRetryAfterMs\":2000", "\"maxRetryAfterMs\":1500"));
        dispatcher.signal("HUP");
        Rig.sleep(DOWN_MS - RELOAD_AFTER_MS);
        discovery.mode(Discovery.Mode.UP);
        long backMs = rig.ms();
        Rig.sleep(DRAIN_AFTER_RETURN_MS);
        Worker drained = workers.get(0);
        long callsSinceReturn = discovery.lastCallMs >= backMs ? 1 : 0;
        rig.log("case", "last call for a watch at " + discovery.lastCallMs + ", open watches " + discovery.openWatches());
        discovery.put(drained, "DRAINING");
        long drainMs = rig.ms();
        Rig.sleep(WATCHED_MS);
        clients.end();
        long allowedUntilMs = drainMs + TOLD_MS + GRACE_MS;
        long late = drained.arrivals().stream().filter(arrival -> arrival.atMs() > allowedUntilMs).count();
        long before = drained.arrivals().stream().filter(arrival -> arrival.atMs() < drainMs).count();
        long others = workers.stream().skip(1).flatMap(worker -> worker.arrivals().stream())
                .filter(arrival -> arrival.atMs() > allowedUntilMs).count();
        rig.say("after its return at " + backMs + " discovery was " + (callsSinceReturn > 0 ? "" : "not ")
                + "called; " + drained.name + " drains from " + drainMs + " on, new jobs may come until " + allowedUntilMs
                + "; jobs there before the drain " + before + ", later than allowed " + late
                + "; at the other workers in that time " + others);
        if (before < 10 || late + others < 10) {
            return Rig.COULD_NOT_RUN;
        }
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }
}
